//! Answers of endpoints that break the protocol.

mod support;

use std::time::{Duration, Instant};

use support::client::ACCEPTED;
use support::configuration::{Idempotency, SenderOptions};
use support::endpoint::{Reply, OK};
use support::environment::Environment;

/// An environment in which messages may not be repeated once they may have taken effect.
fn with_non_idempotent_messages(script: Vec<Reply>) -> Environment {
    let options = SenderOptions { idempotency: Idempotency::Never, ..SenderOptions::default() };
    Environment::with_options(script, options)
}

/// A message answered like this is delivered.
fn assert_delivered_by(answer: &'static str) {
    Environment::new(vec![Reply::Raw(answer), OK]).assert_first_call_delivers();
}

/// Guards against a retry of a message that a status line has confirmed.
#[test]
fn status_line_with_200_counts_as_delivery_whatever_follows() {
    assert_delivered_by("HTTP/1.1 200 OK\r\n\u{0} no header\r\n\r\n");
    assert_delivered_by("HTTP/1.1 200 OK\r\nX-Endless: aaaaaaaaaa");
    assert_delivered_by("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxxxx");
    assert_delivered_by("HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

/// Guards against taking a malformed answer as proof that the call had no effect: a non-idempotent message
/// would be retried, or rejected.
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

/// Guards against a message that ends because a malformed answer said so.
#[test]
fn malformed_terminal_answer_is_not_terminal() {
    let answer = "HTTP/1.1 410 Gone\r\nContent-Length: 50\r\n\r\nshort";
    let environment = Environment::new(vec![Reply::Raw(answer), OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
}

/// Guards against response heads that keep their call in flight until its time-out.
#[test]
fn endless_response_head_is_abandoned_soon() {
    let environment =
        with_non_idempotent_messages(vec![Reply::Raw("HTTP/1.1 500 Oops\r\nX-Endless: aaaa"), OK]);
    let sender = environment.start_sender();
    let start = Instant::now();
    assert_eq!(sender.submit("m1", 24_000, "x"), ACCEPTED);
    assert_eq!(environment.discovery.next_notice()["result"], "dead");
    // Its time-out would be all of the 24 s.
    assert!(start.elapsed() < Duration::from_secs(12), "{:?}", start.elapsed());
}

/// Guards against a second copy of an answer being taken for the answer to the next call.
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
    // The call whose connection closed was not answered by the bytes left over.
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
}

/// Guards against an answer in single bytes being taken for a reset, and against its connection not being
/// reused.
#[test]
fn answer_in_single_bytes_is_accepted() {
    let environment = with_non_idempotent_messages(vec![Reply::ByteByByte, OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    let first = environment.endpoint.next_call();
    sender.await_metric("passed.notice", 1);
    // The answer counts from its status line on; its connection is free once all of it has arrived.
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().peer, first.peer);
    sender.await_metric("passed.notice", 2);
    assert!(environment.discovery.notices.try_recv().is_err());
}
