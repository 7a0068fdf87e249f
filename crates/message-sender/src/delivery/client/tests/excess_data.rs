//! Endpoints that send data which belongs to no response.

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use delivery_control::AttemptOutcome;
use tokio::io::AsyncWriteExt;
use tokio::time::{advance, sleep};

use super::{
    bind, call_to, client, client_with, outcome, outcome_of, receive, run_local_before_idle_timeout,
    wait_for_idle_connection, ENDPOINT, OK_RESPONSE, OTHER_ENDPOINT,
};
use crate::delivery::attempt::{AttemptPhase, Call, Target};
use crate::delivery::excess_data::ExcessDataTracker;
use crate::metrics::DeliveryCounters;

/// What an endpoint may send after a response although no request waits.
fn excess_data() -> Vec<String> {
    let error_response = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    vec![
        OK_RESPONSE.to_owned(),
        error_response.to_owned(),
        "noise".to_owned(),
        "\r\n".to_owned(),
        OK_RESPONSE.repeat(2_000),
    ]
}

/// Runs an endpoint that answers the first call with 200, and each further call, for which it expects a new
/// connection, with 500. On the first connection it sends `excess_data` when it is told to, and confirms that.
fn start_endpoint_with_excess_data(
    excess_data: String,
) -> (SocketAddr, mpsc::Sender<()>, mpsc::Receiver<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (send_excess, excess_requested) = mpsc::channel();
    let (confirm, excess_sent) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut first, _) = listener.accept().unwrap();
        assert!(first.read(&mut [0; 4096]).unwrap() > 0);
        first.write_all(OK_RESPONSE.as_bytes()).unwrap();
        excess_requested.recv().unwrap();
        first.write_all(excess_data.as_bytes()).unwrap();
        confirm.send(()).unwrap();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
            stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").unwrap();
        }
    });
    (address, send_excess, excess_sent)
}

/// Guards against a message that counts as delivered although its endpoint answered 500: what the endpoint had
/// sent after its last response, between the choice of the connection and the first byte of the request, was
/// read as the response.
#[tokio::test]
async fn data_that_arrives_before_a_request_is_not_its_response() {
    let test = async {
        for data in excess_data() {
            let (address, send_excess, excess_sent) = start_endpoint_with_excess_data(data);
            let client = client();
            assert_eq!(outcome(&client, address).await, AttemptOutcome::Delivered);
            wait_for_idle_connection(&client).await;
            let phases = Rc::new(RefCell::new(Vec::new()));
            let recorded = phases.clone();
            let on_phase = Box::new(move |phase| {
                if recorded.borrow().is_empty() {
                    send_excess.send(()).unwrap();
                    excess_sent.recv().unwrap();
                }
                recorded.borrow_mut().push(phase);
                true
            });
            let call = Call { on_phase, ..call_to(address) };
            assert_eq!(outcome_of(&client, call).await, AttemptOutcome::Error);
            let expected = [AttemptPhase::Starting, AttemptPhase::NotStarted, AttemptPhase::Starting];
            assert_eq!(*phases.borrow(), expected);
            assert_eq!(client.attempts_written.get(), 2);
            // Each further call gets a connection of its own.
            assert_eq!(outcome(&client, address).await, AttemptOutcome::Error);
            assert!(client.pool.is_empty());
        }
    };
    run_local_before_idle_timeout(test).await;
}

/// Guards against a connection that is used again although its endpoint has sent data on it while it was idle or
/// together with a response, and against an endpoint that is not remembered for that.
#[tokio::test]
async fn an_endpoint_that_sends_excess_data_gets_each_request_on_a_new_connection() {
    let test = async {
        for delay in [None, Some(Duration::from_millis(20))] {
            let (listener, address) = bind().await;
            let connections = Rc::new(Cell::new(0));
            let accepted = connections.clone();
            tokio::task::spawn_local(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    accepted.set(accepted.get() + 1);
                    receive(&mut stream).await;
                    match delay {
                        None => stream.write_all(OK_RESPONSE.repeat(2).as_bytes()).await.unwrap(),
                        Some(delay) => {
                            stream.write_all(OK_RESPONSE.as_bytes()).await.unwrap();
                            sleep(delay).await;
                            // Fails if the connection is not kept open.
                            let _ = stream.write_all(OK_RESPONSE.as_bytes()).await;
                        }
                    }
                    receive(&mut stream).await;
                }
            });
            let counters = DeliveryCounters::default();
            let client = client_with(counters.clone());
            for _ in 0..5 {
                assert_eq!(outcome(&client, address).await, AttemptOutcome::Delivered);
                sleep(Duration::from_millis(30)).await;
            }
            assert_eq!(connections.get(), 5, "a connection was used again");
            // What comes together with a response ends its connection, and says nothing about others.
            assert_eq!(counters.excess_data.get() > 0, delay.is_some());
        }
    };
    run_local_before_idle_timeout(test).await;
}

/// Guards against an endpoint whose connections are never used again because it once sent excess data.
#[tokio::test(start_paused = true)]
async fn excess_data_is_forgotten_after_a_while() {
    let tracker = ExcessDataTracker::new(Rc::default());
    tracker.record(Target { endpoint: ENDPOINT, address: SocketAddr::from(([127, 0, 0, 1], 9)) });
    assert!(tracker.avoids_reuse(ENDPOINT) && !tracker.avoids_reuse(OTHER_ENDPOINT));
    advance(Duration::from_secs(4)).await;
    tracker.expire();
    assert!(tracker.avoids_reuse(ENDPOINT));
    advance(Duration::from_secs(1)).await;
    tracker.expire();
    assert!(!tracker.avoids_reuse(ENDPOINT));
}

/// Guards against an endpoint whose early responses are doubted for ever, or not at all, after it has sent excess data.
#[tokio::test(start_paused = true)]
async fn early_responses_are_doubted_for_a_while_after_excess_data() {
    let tracker = ExcessDataTracker::new(Rc::default());
    assert!(!tracker.is_remembered(ENDPOINT));
    tracker.record(Target { endpoint: ENDPOINT, address: SocketAddr::from(([127, 0, 0, 1], 9)) });
    advance(Duration::from_secs(59)).await;
    tracker.expire();
    assert!(tracker.is_remembered(ENDPOINT) && !tracker.is_remembered(OTHER_ENDPOINT));
    advance(Duration::from_secs(1)).await;
    tracker.expire();
    assert!(!tracker.is_remembered(ENDPOINT));
}
