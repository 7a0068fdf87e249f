//! Answers of endpoints that violate HTTP.

mod support;

use std::time::{Duration, Instant};

use support::client::ACCEPTED;
use support::configuration::{Idempotency, SenderOptions};
use support::endpoint::{Reply, OK};
use support::environment::Environment;

/// An environment in which messages that may have taken effect must not be sent again.
fn with_non_idempotent_messages(script: Vec<Reply>) -> Environment {
    let options = SenderOptions { idempotency: Idempotency::Never, ..SenderOptions::default() };
    Environment::with_options(script, options)
}

/// Checks that a message whose call gets this answer is delivered.
fn assert_delivered_by(answer: &'static str) {
    Environment::new(vec![Reply::Raw(answer), OK]).assert_first_call_delivers();
}

/// Guards against retrying a message that a status line with 200 has confirmed, because the rest of the
/// answer is malformed or incomplete, or because an interim response precedes the status line.
#[test]
fn status_line_with_200_counts_as_delivery_whatever_follows() {
    assert_delivered_by("HTTP/1.1 200 OK\r\n\u{0} no header\r\n\r\n");
    assert_delivered_by("HTTP/1.1 200 OK\r\nX-Endless: aaaaaaaaaa");
    assert_delivered_by("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxxxx");
    assert_delivered_by("HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

/// Guards against taking a malformed answer as proof that the call had no effect: a non-idempotent message
/// would be retried or rejected although it may have taken effect.
#[test]
fn malformed_rejection_is_ambiguous() {
    for answer in [
        "HTTP/1.1 429 Busy\r\nX-Come-Back-Ms: 500\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\nnonsense\r\n",
        "HTTP/1.1 504 Late\r\nContent-Length: 3000000000\r\n\r\nxxxx",
        "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nlonger than that",
    ] {
        let environment = with_non_idempotent_messages(vec![Reply::Raw(answer), OK]);
        let sender = environment.start_sender();
        assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
        environment.endpoint.next_call();
        let notice = environment.discovery.next_notice();
        assert_eq!((&notice["ref"], &notice["result"]), (&"m1".into(), &"dead".into()), "{answer}");
        assert!(environment.endpoint.has_no_call());
    }
}

/// Guards against ending a message because of a 410 answer that is malformed.
#[test]
fn malformed_terminal_answer_is_not_terminal() {
    let answer = "HTTP/1.1 410 Gone\r\nContent-Length: 50\r\n\r\nshort";
    let environment = Environment::new(vec![Reply::Raw(answer), OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
}

/// Guards against response heads that never end and keep their call in flight until its timeout.
#[test]
fn endless_response_head_is_abandoned_soon() {
    let environment =
        with_non_idempotent_messages(vec![Reply::Raw("HTTP/1.1 500 Oops\r\nX-Endless: aaaa"), OK]);
    let sender = environment.start_sender();
    let start = Instant::now();
    assert_eq!(sender.submit("m1", 24_000, "x"), ACCEPTED);
    assert_eq!(environment.discovery.next_notice()["result"], "dead");
    // The call's timeout would be the full 24 s.
    assert!(start.elapsed() < Duration::from_secs(12), "{:?}", start.elapsed());
}

/// Guards against taking a second copy of an answer as the answer to the next call on the connection.
#[test]
fn bytes_after_an_answer_do_not_answer_the_next_call() {
    let duplicated =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let environment = Environment::new(vec![Reply::Raw(duplicated), Reply::CloseConnection, OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    let first = environment.endpoint.next_call();
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    let second = environment.endpoint.next_call();
    assert_eq!(second.message_id(), "m2");
    assert_ne!(first.peer, second.peer);
    // The surplus bytes did not answer the call whose connection was closed.
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
}

/// Guards against treating an answer that arrives one byte at a time as a reset, and against not reusing its
/// connection.
#[test]
fn answer_in_single_bytes_is_accepted() {
    let environment = with_non_idempotent_messages(vec![Reply::ByteByByte, OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    let first = environment.endpoint.next_call();
    sender.await_metric("passed.notice", 1);
    // The status line alone counts as delivery; the connection is free once the whole answer has arrived.
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().peer, first.peer);
    sender.await_metric("passed.notice", 2);
    assert!(environment.discovery.notices.try_recv().is_err());
}

/// Guards against a payment that runs twice: an error with a chunked body of more than 64 KiB was taken as proof
/// that the call was never sent.
#[test]
fn an_error_with_an_oversized_body_is_ambiguous() {
    let chunk = format!("3800\r\n{}\r\n", "e".repeat(0x3800));
    let answer =
        format!("HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk.repeat(5));
    let environment = with_non_idempotent_messages(vec![Reply::Raw(answer.leak()), OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    assert_eq!(environment.discovery.next_notice()["result"], "dead");
    assert!(environment.endpoint.has_no_call());
}
