//! Error reports of a sender that cannot start.

use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output};

/// Starts a sender that is expected to exit by itself, and waits for that.
fn start(config: Option<&Path>, state: Option<&Path>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_message-sender"));
    for (name, value) in [("ROUTER_CONFIG", config), ("ROUTER_STATE", state)] {
        match value {
            Some(value) => command.env(name, value),
            None => command.env_remove(name),
        };
    }
    command
        .env_remove("ROUTER_MANAGEMENT")
        .env("RUST_BACKTRACE", "1")
        .output()
        .expect("the sender could not be started")
}

/// Checks that a sender exited with status 1 after one line of output, besides `INFO` lines, that contains
/// all these texts.
fn assert_fails_with(output: &Output, words: &[&str]) {
    let text = String::from_utf8_lossy(&output.stderr);
    let lines: Vec<_> = text.lines().filter(|line| !line.contains(" INFO ")).collect();
    assert_eq!(lines.len(), 1, "expected one line: {text}");
    assert!(words.iter().all(|word| lines[0].contains(word)), "not all of {words:?} in {text}");
    assert_eq!(output.status.code(), Some(1));
}

/// Guards against an error that does not name the missing environment variable.
#[test]
fn a_missing_variable_of_the_environment_is_named() {
    let folder = tempfile::tempdir().unwrap();
    assert_fails_with(&start(Some(&folder.path().join("config.json")), None), &["ROUTER_STATE"]);
    assert_fails_with(&start(None, Some(folder.path())), &["ROUTER_CONFIG"]);
}

/// Guards against an error that does not say why the configuration cannot be read: a missing file or invalid
/// JSON.
#[test]
fn a_configuration_that_cannot_be_read_is_reported_with_its_cause() {
    let folder = tempfile::tempdir().unwrap();
    let config = folder.path().join("config.json");
    assert_fails_with(&start(Some(&config), Some(folder.path())), &["configuration", "No such file"]);
    std::fs::write(&config, "{").unwrap();
    assert_fails_with(&start(Some(&config), Some(folder.path())), &["configuration", "EOF while parsing"]);
}

/// Guards against an error that states neither which of the sender's addresses is in use nor that it is.
#[test]
fn a_listening_address_that_is_taken_is_reported_with_its_cause() {
    let folder = tempfile::tempdir().unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = folder.path().join("config.json");
    let text = serde_json::json!({
        "name": "n0", "listen": taken.local_addr().unwrap().to_string(), "discovery": "127.0.0.1:9", "seed": 1,
        "limits": {"memory_mb": 192, "sockets": 256, "disk_mb": 3.0},
        "settings": {
            "balancers": 1, "ordinal": 0, "kinds": ["big"], "zones": ["here"], "zone": "here",
            "categories": [{"name": "notice", "effect": "token", "windowMs": 15000.0, "aimMs": 2500.0,
                "deadlineMs": 24000.0, "worth": 1.0, "lateShare": 0.3}],
            "familyInfo": {"ownLimits": [false], "maxCalls": 10}, "membershipMode": "automatic",
            "resolutionMs": 5.0, "limits": {"mostHeld": 50, "sendCap": 12}, "rules": {},
        },
    });
    std::fs::write(&config, text.to_string()).unwrap();
    let output = start(Some(&config), Some(&folder.path().join("state")));
    assert_fails_with(&output, &["listening address", "Address already in use"]);
}
