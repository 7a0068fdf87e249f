//! Runs the adapter's binary on input of several batches, and checks its replies and errors.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings of an instance. They have an unknown field, `unknown`, which the adapter must ignore.
const CONFIG: &str = r#"{"balancers":2,"ordinal":0,"categories":[
{"name":"order","effect":"token","dedupScope":"all","windowMs":9000.0,"aimMs":1000.0,"deadlineMs":8000.0,
"worth":1.0,"lateShare":0.5,"stream":false,"unknown":1},
{"name":"charge","effect":"side_effect","aimMs":1000.0,"deadlineMs":8000.0,"worth":1.0}],
"familyInfo":{"ownLimits":[false],"bundleMax":[1],"decay":"line","maxCalls":4},"kinds":["big"],
"zones":["here"],"zone":"here","orgs":[{"name":"acme","allowancePerS":5.0}],"overShareWorth":0.2,
"membershipMode":"automatic","weights":"none","resolutionMs":5.0,
"limits":{"mostHeld":20,"sendCap":4,"cancel":true},
"rules":{"answerSlackMs":20.0,"drainGraceMs":1000.0,"overloadFactor":2.0,"startCapacity":0.2,
"warmWithinMs":9000.0}}"#;

/// Runs the adapter on this input and waits until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // Write errors are ignored: on invalid input the adapter may exit before it has read everything, which
    // breaks the pipe.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// The lines of a batch with this number, time in milliseconds and events.
fn batch(number: u32, at_ms: f64, events: &[String]) -> String {
    let begin = format!("{{\"event_type\":\"round\",\"tMs\":{at_ms},\"round\":{number}}}\n");
    let mut events = events.join("\n");
    if !events.is_empty() {
        events.push('\n');
    }
    begin + &events + "{\"event_type\":\"overToYou\"}\n"
}

/// The line that starts an instance with the settings in [`CONFIG`].
fn attach(instance: u32) -> String {
    let config = CONFIG.replace('\n', "");
    format!("{{\"event_type\":\"attach\",\"i\":{instance},\"initSeed\":9,\"config\":{config}}}")
}

/// The line that defines a catalog, which [`update`] refers to by its number, with one endpoint of
/// destination 5.
fn catalog(buffer: u32, endpoint: u32) -> String {
    format!(
        "{{\"event_type\":\"catalog\",\"buffer\":{buffer},\"nodesList\":[\
         {{\"destination\":5,\"state\":\"live\",\"capacityHint\":1,\"model\":\"big\",\"site\":\"here\",\
         \"onlineSinceMs\":null,\"endpoint\":{endpoint}}}]}}"
    )
}

/// The line that reports the endpoint list in this catalog to an instance.
fn update(instance: u32, how: &str, buffer: u32) -> String {
    format!("{{\"event_type\":\"update\",\"i\":{instance},\"how\":\"{how}\",\"gen\":1,\"buffer\":{buffer}}}")
}

/// The line that submits a message of a class to an instance.
fn message_submitted(instance: u32, id: u32, class: &str) -> String {
    format!(
        "{{\"event_type\":\"jobIn\",\"i\":{instance},\"req\":{id},\"service\":\"{class}\",\"resent\":false,\
         \"mutates\":true,\"farEnd\":5,\"returned\":false,\"project\":\"acme\",\"timeLeftMs\":8000.0,\
         \"costGuessMs\":null,\"entity\":null}}"
    )
}

/// The line that reports to instance 1 how the first attempt of a message ended. `extra` is empty or a comma
/// and further JSON fields.
fn attempt_ended(id: u32, code: &str, extra: &str) -> String {
    format!(
        "{{\"event_type\":\"completed\",\"i\":1,\"req\":{id},\"endpoint\":70,\"attempt\":0,\"last\":false,\
         \"elapsedMs\":3.5,\"code\":\"{code}\"{extra}}}"
    )
}

/// The first batch, in five lines: it starts instance 1 and lists endpoint 70.
fn first_batch() -> String {
    batch(1, 1000.0, &[attach(1), catalog(0, 70), update(1, "disk", 0)])
}

/// Output of the adapter as text.
fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

/// Guards against faults in the whole path from submission to final answer: two messages are sent, the
/// rejected one waits for its Retry-After, the one that failed and must not be repeated is reported as
/// failed, and every batch gets its reply.
#[test]
fn messages_are_sent_and_ended_over_three_batches() {
    let input = first_batch()
        + &batch(2, 1005.0, &[message_submitted(1, 8, "order"), message_submitted(1, 9, "charge")])
        + &batch(
            3,
            1010.25,
            &[attempt_ended(8, "F", ",\"holdMs\":300"), attempt_ended(9, "E", ",\"telemetry\":{\"x0\":1}")],
        );
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let reply = text(&output.stdout);
    let lines: Vec<serde_json::Value> =
        reply.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    let events_of_type =
        |name: &str| lines.iter().filter(|line| line["event_type"] == name).collect::<Vec<_>>();
    let attempts = events_of_type("try");
    assert_eq!(attempts.len(), 2);
    assert!(attempts.iter().all(|line| line["i"] == 1 && line["endpoint"] == 70));
    assert!(attempts.iter().all(|line| line["withinMs"].as_f64().is_some_and(|ms| ms > 0.0)));
    let failures = events_of_type("reportFailure");
    assert_eq!(failures.iter().map(|line| line["req"].as_u64()).collect::<Vec<_>>(), [Some(9)]);
    let next_timer =
        events_of_type("timer").last().and_then(|line| line["fireAtMs"].as_f64()).expect("a timer");
    assert!(next_timer >= 1310.0, "not before the Retry-After is over: {next_timer}");
    let batches = events_of_type("ready");
    let numbers: Vec<_> = batches.iter().map(|line| line["round"].as_u64()).collect();
    assert_eq!(numbers, [Some(1), Some(2), Some(3)]);
}

/// Guards against a killed instance that still acts on events of the same batch, against a new instance that
/// uses an endpoint list which a later catalog with the same number has replaced, and against an empty batch
/// without reply.
#[test]
fn empty_batches_restarts_and_redefined_endpoint_lists_are_handled() {
    let power_off = "{\"event_type\":\"powerOff\",\"i\":1}".to_owned();
    let events = [
        message_submitted(1, 8, "order"),
        power_off,
        attach(1),
        catalog(0, 71),
        update(1, "disk", 0),
        message_submitted(1, 10, "order"),
    ];
    let input = batch(1, 1.0, &[]) + &first_batch() + &batch(3, 1100.0, &events);
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let reply = text(&output.stdout);
    assert!(reply.starts_with("{\"event_type\":\"ready\",\"round\":1}\n"));
    let attempts: Vec<_> = reply.lines().filter(|line| line.contains("\"try\"")).collect();
    assert_eq!(attempts.len(), 1, "the killed instance does nothing: {reply}");
    assert!(attempts[0].contains("\"req\":10") && attempts[0].contains("\"endpoint\":71"));
}

/// Guards against state that instances of one process share: an instance must act the same with and without a
/// second one in the same process.
#[test]
fn instances_share_no_state() {
    let both =
        batch(1, 1000.0, &[attach(1), attach(2), catalog(3, 70), update(1, "disk", 3), update(2, "disk", 3)])
            + &batch(2, 1005.0, &[message_submitted(1, 8, "order"), message_submitted(2, 9, "order")]);
    let alone = batch(1, 1000.0, &[attach(1), catalog(3, 70), update(1, "disk", 3)])
        + &batch(2, 1005.0, &[message_submitted(1, 8, "order")]);
    let lines_of_instance_1 = |output: Output| -> Vec<String> {
        text(&output.stdout).lines().filter(|line| line.contains("\"i\":1,")).map(str::to_owned).collect()
    };
    let both = lines_of_instance_1(run_adapter(&both));
    let alone = lines_of_instance_1(run_adapter(&alone));
    assert!(!alone.is_empty());
    assert_eq!(both, alone);
}

/// Guards against invalid input that is skipped, or that is reported without its line number and reason. The
/// replies to the batches before it are still written.
#[test]
fn invalid_input_ends_the_adapter_with_one_error_line() {
    let begin = "{\"event_type\":\"round\",\"tMs\":2.0,\"round\":2}\n";
    let cases = [
        ("{not json\n".to_owned(), 6, "key must be a string"),
        ("{\"event_type\":\"surprise\",\"i\":1}\n".to_owned(), 6, "surprise"),
        ("{\"event_type\":\"elapsed\",\"i\":1}\n".to_owned(), 6, "ctx"),
        ("{\"event_type\":\"elapsed\",\"i\":1,\"ctx\":\"x\"}\n".to_owned(), 6, "invalid type"),
        ("{\"event_type\":\"elapsed\",\"i\":4,\"ctx\":1}\n".to_owned(), 6, "instance 4 is not attached"),
        (update(1, "diff", 9) + "\n", 6, "unknown catalog number 9"),
        (message_submitted(1, 3, "parcel") + "\n", 6, "unknown class"),
        (String::new(), 5, "input ends inside a batch"),
    ];
    // The first batch ends on line 5 and the second begins on line 6, so an event of the second is on line 7.
    for (event, lines_before, reason) in cases {
        let output = run_adapter(&(first_batch() + begin + &event));
        let error = text(&output.stderr);
        assert!(!output.status.success(), "{reason}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains(&format!("line {}", lines_before + 1)) && error.contains(reason), "{error}");
        assert_eq!(text(&output.stdout).lines().filter(|line| line.contains("ready")).count(), 1);
    }
}

/// Guards against settings that are not valid being accepted, or reported without naming the wrong value.
#[test]
fn invalid_settings_are_named_in_the_error() {
    let invalid = attach(1).replace("side_effect", "maybe");
    let output = run_adapter(&batch(1, 1.0, &[invalid]));
    assert!(!output.status.success());
    assert!(text(&output.stderr).contains("unknown effect \"maybe\""), "{}", text(&output.stderr));
}
