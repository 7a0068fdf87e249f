//! How submissions are handled before any call: validation, withdrawal, resubmission and a full buffer.

mod support;

use std::io::Write;

use support::client::{submission, ACCEPTED};
use support::configuration::SenderOptions;
use support::endpoint::{Reply, OK};
use support::environment::Environment;

/// Guards against invalid requests that reach the controller or an endpoint.
#[test]
fn invalid_requests_are_rejected_and_never_forwarded() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    let good = submission("m1", 20_000, "x");
    let large = "x".repeat(64 * 1024 + 1);
    let cases = [
        (good.replace("X-Call-Id: m1\r\n", ""), "400"),
        (good.replace("Budget-Ms: 20000", "Budget-Ms: soon"), "400"),
        (good.replace("Budget-Ms: 20000", "Budget-Ms: -1"), "400"),
        (good.replace("dest=7", "dest=x"), "400"),
        (good.replace("X-Consignee: dest=7\r\n", ""), "400"),
        (good.replace("Idempotency-Key: key-of-m1\r\n", ""), "400"),
        (good.replace("Call-Class: notice", "Call-Class: other"), "400"),
        (good.replace("/notice", "/other").replace("Call-Class: notice", "Call-Class: other"), "404"),
        (good.replace("POST /notice", "PUT /notice"), "405"),
        ("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), "404"),
        ("nonsense\r\n\r\n".to_owned(), "400"),
        (submission("m1", 20_000, &large), "413"),
    ];
    for (text, status) in cases {
        let start = &text[..text.len().min(200)];
        let answer = sender.request(&text).unwrap_or_else(|| panic!("no answer to {start}"));
        assert_eq!(answer.status(), Some(status), "{start}");
    }
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
    assert!(environment.endpoint.has_no_call());
}

/// Guards against sending a message that its client withdrew by closing the connection before the answer. The
/// sender is suspended during that time, so that it sees the request and the end of the connection at once.
#[test]
fn client_that_closes_before_its_answer_withdraws_the_message() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    sender.suspend();
    let mut stream = sender.connect();
    stream.write_all(submission("m1", 20_000, "x").as_bytes()).unwrap();
    drop(stream);
    sender.resume();
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
    assert!(environment.endpoint.has_no_call());
}

/// Guards against sending a message a second time because its client submitted it again under the same id.
#[test]
fn message_submitted_twice_under_one_id_is_accepted_once() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
}

/// Guards against a tenant that fills the buffer at the expense of others: each request names its tenant, and
/// messages beyond the tenant's quota must be shed first.
#[test]
fn full_buffer_sheds_messages_beyond_their_tenants_quota() {
    let environment = Environment::with_options(
        vec![Reply::Answer("429 Busy\r\nX-Come-Back-Ms: 9000\r\n"), OK],
        SenderOptions { buffer_capacity: 4, ..SenderOptions::default() },
    );
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    // The tenant's quota is so low that it allows only one message during the test.
    for id in ["within", "beyond"] {
        let text = submission(id, 20_000, "x").replace("X-Budget", "X-Caller: small\r\nX-Budget");
        assert_eq!(sender.request(&text).expect("the sender did not answer").start_line, ACCEPTED);
    }
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.discovery.next_notice()["ref"], "beyond");
}
