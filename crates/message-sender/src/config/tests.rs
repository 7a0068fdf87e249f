//! Tests of the decoding of the configuration file, and of the division of file descriptors.

use std::path::PathBuf;

use serde_json::{json, Value};

use super::error::ConfigError;
use super::limits::Limits;
use super::Config;

/// The content of a valid configuration file.
fn file() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "settings": {
            "balancers": 1, "ordinal": 0,
            "categories": [{"name": "notice", "effect": "token", "aimMs": 1, "deadlineMs": 2, "worth": 1}],
            "familyInfo": {"maxCalls": 1}, "membershipMode": "automatic", "resolutionMs": 5.0,
            "limits": {"mostHeld": 1, "sendCap": 1}, "rules": {},
        },
    })
}

fn decode(file: &Value) -> Result<Config, ConfigError> {
    Config::decode(file.to_string().as_bytes(), PathBuf::from("state"))
}

/// The error for a configuration file in which the field at a JSON pointer is replaced by `value`.
fn error_text(field: &str, value: Value) -> String {
    let mut file = file();
    *file.pointer_mut(field).expect("existing field") = value;
    let Err(error) = decode(&file) else { panic!("{field} was accepted") };
    error.to_string()
}

/// Guards against a seed in text form that is read as a decimal number, and against rejecting a file whose
/// seed is a number.
#[test]
fn seeds_are_hexadecimal_text_or_numbers() {
    let mut file = file();
    assert_eq!(decode(&file).expect("valid configuration").seed, 0x8c1f);
    file["seed"] = json!(17);
    assert_eq!(decode(&file).expect("valid configuration").seed, 17);
}

/// Guards against sending the next message of an order key before the platform has acknowledged the notice of
/// how the previous one ended.
#[test]
fn a_message_ends_once_its_notice_is_acknowledged() {
    assert!(decode(&file()).expect("valid configuration").settings.notices_are_acknowledged);
}

/// Guards against an error that does not say what is wrong with the file: a process that rejects its
/// configuration prints only this text.
#[test]
fn errors_name_the_field() {
    assert!(error_text("/seed", json!("xyz")).contains("seed is not a hexadecimal number"));
    assert!(error_text("/settings/categories/0/effect", json!("maybe")).contains("unknown effect \"maybe\""));
    assert!(error_text("/listen", json!("nowhere")).contains("the configuration file is malformed"));
    assert!(error_text("/settings/rules", json!(null)).contains("the configuration file is malformed"));
    assert!(error_text("/limits", json!({})).contains("memory_mb"));
}

/// Guards against more connections than the process has file descriptors or memory for, and against a share
/// of 0 connections, with which no client could connect.
#[test]
fn descriptors_are_divided_without_exceeding_the_limit() {
    let shares = |sockets| Limits { memory_mb: 192.0, sockets, disk_mb: 1.0 }.shares(12);
    assert_eq!((shares(256).clients, shares(256).idle), (104, 52));
    assert_eq!((shares(0).clients, shares(0).idle), (1, 0));
    let low_memory = Limits { memory_mb: 1.0, sockets: 1_000, disk_mb: 1.0 }.shares(12);
    assert_eq!(low_memory.clients, 10, "limited by the memory");
    assert_eq!(low_memory.idle, 7, "limited by the memory");
}
