//! Responses to earlier requests that cross the next request on their connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use delivery_control::AttemptOutcome;
use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

use super::{
    bind, call_to, client, client_with, outcome, outcome_of, receive, run_local_before_idle_timeout,
    wait_for_idle_connection, ENDPOINT, OK_RESPONSE, RATE_LIMIT_REJECTION, SECOND_US,
};
use crate::delivery::attempt::{Call, Target};
use crate::delivery::client::DeliveryClient;
use crate::delivery::response_times::MAX_CROSSING_TIME;
use crate::http_connection::{Connection, IdleState, REUSE_DELAY};
use crate::metrics::DeliveryCounters;

const ERROR_RESPONSE: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
/// Response time of an endpoint whose second copies of responses are recognized by their time.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// Number of deliveries after which the response time of an endpoint is known.
const DELIVERIES: usize = 16;
/// Time from a response to its second copy.
const COPY_DELAY: Duration = Duration::from_millis(2);

/// How an endpoint responds to the request that a second copy of an earlier response crosses.
#[derive(Debug, Clone, Copy)]
enum Response {
    /// With this text.
    Sent(&'static str),
    /// It closes the connection.
    Closed,
    /// Not at all.
    Missing,
}

/// Starts an endpoint that delivers the first message. It sends `data` once the next request arrives, as if they had
/// crossed on the network, and responds to that request after `response_time`.
async fn start_endpoint_with_crossing_data(
    data: &'static str,
    response: Response,
    response_time: Duration,
) -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        receive(&mut stream).await;
        stream.write_all(OK_RESPONSE.as_bytes()).await.unwrap();
        receive(&mut stream).await;
        stream.write_all(data.as_bytes()).await.unwrap();
        sleep(response_time).await;
        match response {
            // Fails if the sender has closed the connection.
            Response::Sent(text) => stream.write_all(text.as_bytes()).await.unwrap_or_default(),
            Response::Closed => return,
            Response::Missing => {}
        }
        receive(&mut stream).await;
    });
    address
}

/// Starts an endpoint whose crossing data is a second copy of its first response.
async fn start_endpoint_with_crossing_copy(response: Response, response_time: Duration) -> SocketAddr {
    start_endpoint_with_crossing_data(OK_RESPONSE, response, response_time).await
}

/// A client with a connection to an endpoint that is known to be slow, and for no excess data. The connection has just
/// become idle.
async fn client_of_sound_endpoint(address: SocketAddr) -> Rc<DeliveryClient> {
    let client = client();
    assert_eq!(outcome(&client, address).await, AttemptOutcome::Delivered);
    wait_for_idle_connection(&client).await;
    // The endpoint of the test has not waited before its first response.
    client.pool.forget_response_times();
    for _ in 0..DELIVERIES {
        client.pool.record_response_time(ENDPOINT, SLOW_RESPONSE_TIME);
    }
    client
}

/// A client with a connection to an endpoint that is known to be slow and to have sent excess data. The connection has
/// been idle for longer than data can cross a request.
async fn client_of_slow_endpoint(address: SocketAddr) -> Rc<DeliveryClient> {
    let client = client_of_sound_endpoint(address).await;
    client.pool.record_past_excess_data(ENDPOINT);
    sleep(2 * MAX_CROSSING_TIME).await;
    client
}

/// Guards against a message that counts as delivered although its endpoint answered 500: a second copy of an earlier
/// response crossed the request on the network, and was read as the response to it. Without another response, nothing
/// tells the copy from the response of an endpoint that has become faster, which counts.
#[tokio::test]
async fn a_second_copy_that_crosses_a_request_is_not_its_response() {
    let rows = [
        (Response::Sent(OK_RESPONSE), AttemptOutcome::Delivered),
        (Response::Sent(ERROR_RESPONSE), AttemptOutcome::Error),
        // Only the head of this response was received, so it is no proof that the message was not processed.
        (Response::Sent(RATE_LIMIT_REJECTION), AttemptOutcome::Error),
        (Response::Sent("noise\r\n\r\n"), AttemptOutcome::Delivered),
        (Response::Closed, AttemptOutcome::Delivered),
        (Response::Missing, AttemptOutcome::Delivered),
    ];
    let test = async {
        for (response, expected) in rows {
            for has_sent_excess_data in [false, true] {
                let address = start_endpoint_with_crossing_copy(response, SLOW_RESPONSE_TIME).await;
                let client = if has_sent_excess_data {
                    client_of_slow_endpoint(address).await
                } else {
                    client_of_sound_endpoint(address).await
                };
                let call = Call { timeout: 3 * SLOW_RESPONSE_TIME, ..call_to(address) };
                let outcome = outcome_of(&client, call).await;
                assert_eq!(outcome, expected, "{response:?}, excess data before: {has_sent_excess_data}");
                assert!(client.pool.is_empty(), "the connection is kept although its responses are delayed");
            }
        }
    };
    run_local_before_idle_timeout(Box::pin(test)).await;
}

/// Guards against a message whose outcome is unknown although its endpoint has answered: noise after an earlier
/// response crossed the request on the network.
#[tokio::test]
async fn noise_that_crosses_a_request_hides_no_response() {
    let test = async {
        for noise in ["noise", "noise\r\n\r\n", "\r\n"] {
            let response = Response::Sent(OK_RESPONSE);
            let address = start_endpoint_with_crossing_data(noise, response, SLOW_RESPONSE_TIME).await;
            let client = client_of_slow_endpoint(address).await;
            assert_eq!(outcome(&client, address).await, AttemptOutcome::Delivered, "{noise:?}");
        }
    };
    run_local_before_idle_timeout(Box::pin(test)).await;
}

/// Guards against a Retry-After that is missed because the rejection follows a second copy of an earlier response.
#[tokio::test]
async fn a_rejection_after_a_second_copy_has_its_retry_after() {
    let test = async {
        let rejection = "HTTP/1.1 429 Wait\r\nX-Come-Back-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
        let address = start_endpoint_with_crossing_copy(Response::Sent(rejection), COPY_DELAY).await;
        let client = client_of_slow_endpoint(address).await;
        let (_cancel_sender, cancelled) = oneshot::channel();
        let result = client.clone().call(call_to(address), cancelled).await;
        assert_eq!((result.outcome, result.retry_after), (AttemptOutcome::Error, 5 * SECOND_US));
        assert_eq!(outcome(&client, address).await, AttemptOutcome::NotSent);
    };
    run_local_before_idle_timeout(Box::pin(test)).await;
}

/// Guards against a 200 that is lost because its attempt is cancelled or times out while another response could still
/// prove that it belongs to an earlier request.
#[tokio::test]
async fn a_doubted_200_counts_if_the_attempt_ends_before_another_response() {
    let test = async {
        let address = start_endpoint_with_crossing_copy(Response::Missing, SLOW_RESPONSE_TIME).await;
        let client = client_of_slow_endpoint(address).await;
        let (cancel_sender, cancelled) = oneshot::channel();
        let cancellation = async {
            sleep(SLOW_RESPONSE_TIME / 2).await;
            drop(cancel_sender);
        };
        let (result, ()) = tokio::join!(client.clone().call(call_to(address), cancelled), cancellation);
        assert_eq!(result.outcome, AttemptOutcome::Delivered);
        assert!(client.pool.is_empty());

        let address = start_endpoint_with_crossing_copy(Response::Missing, SLOW_RESPONSE_TIME).await;
        let client = client_of_slow_endpoint(address).await;
        let call = Call { timeout: SLOW_RESPONSE_TIME / 2, ..call_to(address) };
        assert_eq!(outcome_of(&client, call).await, AttemptOutcome::Delivered);
    };
    run_local_before_idle_timeout(Box::pin(test)).await;
}

/// Guards against a 500 that is overlooked because the attempt is cancelled after it has arrived behind a second copy
/// of an earlier response.
#[tokio::test]
async fn a_call_that_is_cancelled_after_a_second_copy_and_an_error_is_not_delivered() {
    let test = async {
        let error_without_end = Response::Sent("HTTP/1.1 500 No\r\nContent-Length: 0\r\n");
        let address = start_endpoint_with_crossing_copy(error_without_end, SLOW_RESPONSE_TIME / 4).await;
        let client = client_of_slow_endpoint(address).await;
        let (cancel_sender, cancelled) = oneshot::channel();
        let cancellation = async {
            sleep(SLOW_RESPONSE_TIME).await;
            drop(cancel_sender);
        };
        let (result, ()) = tokio::join!(client.clone().call(call_to(address), cancelled), cancellation);
        assert_eq!(result.outcome, AttemptOutcome::Cancelled);
    };
    run_local_before_idle_timeout(Box::pin(test)).await;
}

/// Guards against an endpoint that loses a response because it has become faster, or whose further responses are waited
/// for after the first one has counted.
#[tokio::test]
async fn an_endpoint_that_becomes_faster_loses_no_response() {
    let test = async {
        let address = start_endpoint_with_crossing_copy(Response::Missing, SLOW_RESPONSE_TIME).await;
        let client = client_of_slow_endpoint(address).await;
        assert!(client.pool.early_data(ENDPOINT, Duration::ZERO).is_some());
        let start = Instant::now();
        assert_eq!(outcome(&client, address).await, AttemptOutcome::Delivered);
        let waited = start.elapsed();
        assert!((SLOW_RESPONSE_TIME..6 * SLOW_RESPONSE_TIME).contains(&waited), "{waited:?}");
        assert!(client.pool.early_data(ENDPOINT, Duration::ZERO).is_none());
    };
    run_local_before_idle_timeout(Box::pin(test)).await;
}

/// Guards against a sound endpoint that pays time or a connection because it has become faster, although its connection
/// has been idle for longer than data can cross a request.
#[tokio::test]
async fn an_early_response_on_a_rested_connection_of_a_sound_endpoint_counts_at_once() {
    let test = async {
        let address = start_endpoint_with_crossing_copy(Response::Missing, SLOW_RESPONSE_TIME).await;
        let client = client_of_sound_endpoint(address).await;
        sleep(2 * MAX_CROSSING_TIME).await;
        let start = Instant::now();
        assert_eq!(outcome(&client, address).await, AttemptOutcome::Delivered);
        assert!(start.elapsed() < SLOW_RESPONSE_TIME, "{:?}", start.elapsed());
        wait_for_idle_connection(&client).await;
    };
    run_local_before_idle_timeout(Box::pin(test)).await;
}

/// Guards against permits that are held by doubted responses although other deliveries have shown that the endpoint
/// has become as fast.
#[tokio::test]
async fn a_doubted_response_counts_once_others_are_as_fast() {
    let test = async {
        let address = start_endpoint_with_crossing_copy(Response::Missing, SLOW_RESPONSE_TIME).await;
        let client = client_of_slow_endpoint(address).await;
        let start = Instant::now();
        let others = async {
            sleep(SLOW_RESPONSE_TIME / 4).await;
            client.pool.record_response_time(ENDPOINT, COPY_DELAY);
        };
        let (outcome, ()) = tokio::join!(outcome(&client, address), others);
        assert_eq!(outcome, AttemptOutcome::Delivered);
        assert!(start.elapsed() < SLOW_RESPONSE_TIME, "{:?}", start.elapsed());
    };
    run_local_before_idle_timeout(Box::pin(test)).await;
}

/// Starts an endpoint that answers the first call with `first`, a second copy of which follows shortly after,
/// and calls on further connections with `further`.
async fn start_endpoint_with_late_copy(first: &'static str, further: &'static str) -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        receive(&mut stream).await;
        stream.write_all(first.as_bytes()).await.unwrap();
        sleep(COPY_DELAY).await;
        stream.write_all(first.as_bytes()).await.unwrap();
        while let Ok((mut stream, _)) = listener.accept().await {
            receive(&mut stream).await;
            stream.write_all(further.as_bytes()).await.unwrap();
        }
    });
    address
}

/// Guards against a second copy that is read as the response to a request that was sent right after the first
/// copy: its endpoint may answer so soon that the time does not tell, or rejects messages.
#[tokio::test]
async fn a_second_copy_shortly_after_a_response_is_not_the_response_to_the_next_request() {
    let rows = [
        (OK_RESPONSE, AttemptOutcome::Delivered, ERROR_RESPONSE, AttemptOutcome::Error),
        (RATE_LIMIT_REJECTION, AttemptOutcome::Rejected, OK_RESPONSE, AttemptOutcome::Delivered),
    ];
    let test = async {
        for (first, first_outcome, further, further_outcome) in rows {
            let address = start_endpoint_with_late_copy(first, further).await;
            let counters = DeliveryCounters::default();
            let client = client_with(counters.clone());
            assert_eq!(outcome(&client, address).await, first_outcome);
            wait_for_idle_connection(&client).await;
            assert_eq!(outcome(&client, address).await, further_outcome);
            assert_eq!(counters.excess_data.get(), 1);
        }
    };
    run_local_before_idle_timeout(test).await;
}

async fn open_connection(target: Target) -> Connection {
    let connection = Connection::open(target.address).await.unwrap();
    while connection.idle_state() != IdleState::Reusable {
        tokio::task::yield_now().await;
    }
    connection
}

/// Guards against a second copy that is read as the response to a request that was sent right after the first copy: the
/// connection did not rest as its endpoint is slow. Guards also against idle connections that have rested and are
/// passed over.
#[tokio::test]
async fn all_connections_rest_and_rested_ones_are_used_first() {
    let test = async {
        let (_listener, address) = bind().await;
        let target = Target { endpoint: ENDPOINT, address };
        let client = client();
        client.put_idle(target, open_connection(target).await);
        assert!(!client.pool.take(target).unwrap().remaining_rest.is_zero());
        client.put_idle(target, open_connection(target).await);
        sleep(2 * REUSE_DELAY).await;
        client.put_idle(target, open_connection(target).await);
        let rested = client.pool.take(target).unwrap();
        assert!(rested.remaining_rest.is_zero() && rested.idle_for >= REUSE_DELAY);
        for _ in 0..DELIVERIES {
            client.pool.record_response_time(ENDPOINT, SLOW_RESPONSE_TIME);
        }
        client.put_idle(target, open_connection(target).await);
        assert!(!client.pool.take(target).unwrap().remaining_rest.is_zero());
    };
    run_local_before_idle_timeout(test).await;
}
