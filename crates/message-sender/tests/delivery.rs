//! Calls to endpoints, their outcomes, and their connections.

mod support;

use std::time::Duration;

use support::client::{submission, ACCEPTED};
use support::configuration::SenderOptions;
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, Reply, OK};
use support::environment::{Environment, StateDirectory};
use support::http::HttpMessage;
use support::sender_process::SenderProcess;
use support::TIMEOUT;

/// Guards against a call that alters the message's body, id or idempotency key, has another request line, or
/// does not state the time left.
#[test]
fn message_is_forwarded_unchanged() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "any \u{0} bytes"), ACCEPTED);
    let call = environment.endpoint.next_call();
    assert_eq!(call.start_line, "POST /receive HTTP/1.1");
    assert_eq!(call.message_id(), "m1");
    assert_eq!(call.headers["idempotency-key"], "key-of-m1");
    assert_eq!(call.body, "any \u{0} bytes".as_bytes());
    assert!(call.headers["x-budget-ms"].parse::<u64>().unwrap() > 0);
}

/// Guards against giving up a message whose call was reset, and against retrying it with another key.
#[test]
fn reset_call_is_retried_with_the_same_idempotency_key() {
    let environment = Environment::new(vec![Reply::CloseConnection, OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    let first = environment.endpoint.next_call();
    let second = environment.endpoint.next_call();
    assert_eq!(first.headers["idempotency-key"], second.headers["idempotency-key"]);
    assert_eq!(first.message_id(), second.message_id());
}

/// Guards against calls to a destination before its Retry-After has elapsed, for the rejected message or
/// another.
#[test]
fn no_call_is_made_before_the_retry_after_has_elapsed() {
    let environment = Environment::new(vec![Reply::Answer("429 Busy\r\nX-Come-Back-Ms: 1500\r\n"), OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    let rejected = environment.endpoint.next_call();
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    let next = environment.endpoint.next_call();
    // The endpoint read the rejected call before it wrote the Retry-After, so a correct sender's interval is
    // never shorter than the Retry-After.
    assert!(
        next.received_at - rejected.received_at >= Duration::from_millis(1500),
        "{:?}",
        next.received_at - rejected.received_at
    );
}

/// Guards against a notice, or another call, for a message that a 410 answer declares to be ended.
#[test]
fn message_that_the_platform_has_ended_gets_no_call_and_no_notice() {
    let environment = Environment::new(vec![Reply::Answer("410 Gone\r\n"), OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 2_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
    // This wait ends well after the deadline of m1.
    assert!(environment.discovery.notices.recv_timeout(Duration::from_secs(3)).is_err());
    assert!(environment.endpoint.has_no_call());
}

/// Guards against treating an answer with `X-Line-Busy`, which proves that the call had no effect, as an
/// error or as the end of the message.
#[test]
fn call_rejected_by_a_busy_endpoint_is_retried() {
    let environment = Environment::new(vec![Reply::Answer("503 Busy\r\nX-Line-Busy: 1\r\n"), OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
}

/// Guards against losing a notice because the discovery server rejects it at first.
#[test]
fn notice_is_sent_until_it_is_acknowledged() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    environment.discovery.reject_notices(2);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 300, "x"), ACCEPTED);
    let notice = environment.discovery.next_notice();
    assert_eq!((&notice["ref"], &notice["result"]), (&"m1".into(), &"dead".into()));
}

/// Guards against calls to a draining endpoint, and against a watch that ends after its first answer.
#[test]
fn draining_endpoint_gets_no_new_calls() {
    let environment = Environment::new(vec![OK]);
    let other = Endpoint::start(vec![OK]);
    let sender = environment.start_sender();
    environment.discovery.await_watch_after(1);
    environment.discovery.publish(vec![
        endpoint_line("s-1", environment.endpoint.address, 7, "draining"),
        endpoint_line("s-2", other.address, 7, "up"),
    ]);
    environment.discovery.await_watch_after(2);
    for number in 0..10 {
        assert_eq!(sender.submit(&format!("m{number}"), 20_000, "x"), ACCEPTED);
        other.next_call();
    }
    assert!(environment.endpoint.has_no_call());
}

/// Guards against losing a call, or counting an attempt, on a connection that the endpoint closed while it
/// was idle: the endpoint never received the call, which must be made on a new connection.
#[test]
fn connection_closed_while_idle_is_not_reused() {
    let environment = Environment::new(vec![Reply::Answer("200 OK\r\nX-Then: closes\r\n"), OK]);
    let sender = environment.start_sender();
    for id in ["m1", "m2", "m3"] {
        assert_eq!(sender.submit(id, 20_000, "x"), ACCEPTED);
        assert_eq!(environment.endpoint.next_call().message_id(), id);
    }
    assert!(environment.endpoint.has_no_call());
}

/// Guards against calling a new endpoint on connections of the removed endpoint whose address it took over.
#[test]
fn connections_belong_to_an_endpoint_not_to_its_address() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    environment.discovery.await_watch_after(1);
    let mut peers = Vec::new();
    for id in ["m1", "m2"] {
        assert_eq!(sender.submit(id, 20_000, "x"), ACCEPTED);
        peers.push(environment.endpoint.next_call().peer);
    }
    let lines = vec![
        endpoint_line("s-1", environment.endpoint.address, 7, "removed"),
        endpoint_line("s-2", environment.endpoint.address, 7, "up"),
    ];
    environment.discovery.publish(lines);
    environment.discovery.await_watch_after(2);
    assert_eq!(sender.submit("m3", 20_000, "x"), ACCEPTED);
    let third = environment.endpoint.next_call().peer;
    assert!(peers[0] == peers[1] && third != peers[1], "{peers:?} {third:?}");
}

/// Waits for the next call; `None` if a notice arrives first, which means that a message was given up.
fn next_call_before_any_notice(environment: &Environment) -> Option<HttpMessage> {
    loop {
        let call = environment.endpoint.calls.recv_timeout(Duration::from_millis(200));
        if environment.discovery.notices.try_recv().is_ok() {
            return None;
        }
        if let Ok(call) = call {
            return Some(call);
        }
    }
}

/// Guards against starving a destination that rejects a call of a process which has sent almost nothing yet,
/// as after a restart: the rate must follow the demand, not only what was sent.
#[test]
fn one_early_rejection_does_not_starve_a_destination() {
    /// Number of messages that are submitted.
    const MESSAGES: usize = 40;
    let environment = Environment::new(vec![Reply::Answer("503 Busy\r\n"), OK]);
    let sender = environment.start_sender();
    for number in 0..MESSAGES {
        assert_eq!(sender.submit(&format!("m{number}"), 12_000, "x"), ACCEPTED);
    }
    // If no message is given up, there is one rejected call and one more call per message.
    for delivered in 0..=MESSAGES {
        let call = next_call_before_any_notice(&environment);
        assert!(call.is_some(), "a message was given up after {delivered} calls");
    }
}

/// Guards against calls whose answers were lost using up the concurrency limit: a call that is overtaken by
/// answers to later calls must be cancelled before calls to an endpoint that may only be slow.
#[test]
fn call_whose_answer_is_lost_is_cancelled_soon() {
    /// Number of messages that each endpoint confirms before answers are lost.
    const DELIVERED_BEFORE: usize = 20;
    let script = |then: &[Reply]| [vec![OK; DELIVERED_BEFORE], then.to_vec(), vec![OK]].concat();
    let losing =
        Endpoint::start(script(&[Reply::NoAnswer, OK, Reply::NoAnswer, Reply::NoAnswer, Reply::NoAnswer]));
    let unresponsive = Endpoint::start(script(&vec![Reply::NoAnswer; 6]));
    let lines = vec![
        endpoint_line("s-1", losing.address, 7, "up"),
        endpoint_line("s-2", unresponsive.address, 8, "up"),
    ];
    let state = StateDirectory::create();
    let discovery = Discovery::start(lines.clone());
    let sender = SenderProcess::start(&state.path, &discovery, lines, &SenderOptions::default());
    let submit = |destination: &str, id: String| {
        let text = submission(&id, 20_000, "x").replace("dest=7", destination);
        assert_eq!(sender.request(&text).expect("the sender did not answer").start_line, ACCEPTED);
    };
    let (first, second) = ("dest=7", "dest=8");
    for number in 0..DELIVERED_BEFORE {
        submit(first, format!("a{number}"));
        losing.next_call();
        submit(second, format!("b{number}"));
        unresponsive.next_call();
    }
    // Ten calls are in flight: six to the second destination and four to the first, of which only the oldest
    // is overtaken by an answered call.
    for number in 0..6 {
        submit(second, format!("hung{number}"));
        unresponsive.next_call();
    }
    for id in ["lost", "overtakes", "out1", "out2", "out3"] {
        submit(first, id.to_owned());
        losing.next_call();
    }
    submit(first, "waits".to_owned());
    let cancelled = || losing.closed_connections.recv_timeout(TIMEOUT).expect("no call was cancelled");
    assert!(std::iter::repeat_with(cancelled).take(10).any(|id| id == "lost"));
    let ended = unresponsive.closed_connections.try_iter();
    let hung: Vec<_> = ended.filter(|id| id.starts_with("hung")).collect();
    assert!(hung.is_empty(), "{hung:?}");
}

/// Guards against messages about one subject that overtake each other because the subject which the client
/// names does not reach the controller.
#[test]
fn messages_about_one_subject_are_sent_one_at_a_time() {
    let environment = Environment::with_options(
        vec![Reply::NoAnswer, OK],
        SenderOptions { is_ordered: true, ..SenderOptions::default() },
    );
    let sender = environment.start_sender();
    for (subject, id) in [("card1", "m1"), ("card1", "m2"), ("card2", "m3")] {
        assert_eq!(sender.submit_about(subject, id), ACCEPTED);
    }
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    assert_eq!(environment.endpoint.next_call().message_id(), "m3");
    assert!(environment.endpoint.has_no_call());
}
