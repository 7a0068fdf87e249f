//! Tests for data that belongs to an earlier request on the connection.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::advance;

use super::{EarlyData, Exchange};

const COPY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const ERROR: &[u8] = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
const REJECTION: &[u8] = b"HTTP/1.1 429 Wait\r\nX-Come-Back-Ms: 250\r\nContent-Length: 0\r\n\r\n";
const REQUEST_LENGTH: u64 = 100;
const WITHIN: Duration = Duration::from_millis(25);
/// Early data of an endpoint that has sent excess data.
const DOUBTED: EarlyData = EarlyData { within: WITHIN, doubted_status: Some(200) };
/// Early data of an endpoint that has sent none.
const NOT_DOUBTED: EarlyData = EarlyData { within: WITHIN, doubted_status: None };

fn written_exchange(early_data: Option<EarlyData>) -> Rc<Exchange> {
    let exchange = Exchange::new(REQUEST_LENGTH, &Rc::default(), early_data);
    exchange.begin_write();
    exchange.record_written(REQUEST_LENGTH as usize);
    exchange
}

/// Guards against copies of an earlier response, parts of one, or noise that are read as the response although another
/// one follows, and against a doubted response that does not count although none does.
#[tokio::test(start_paused = true)]
async fn a_doubted_response_counts_until_another_follows() {
    let exchange = written_exchange(Some(DOUBTED));
    for part in [COPY, b"a part of a body".as_slice(), COPY.repeat(100).as_slice(), b"\r\n"] {
        exchange.record_read(part);
        assert!(exchange.has_premature_data() && !exchange.is_status_line_complete());
        assert_eq!(exchange.response_status(), Some(200));
    }
    assert!(exchange.awaits_delayed_head());
    assert_eq!(exchange.unreplaced_response_time(), Some(Duration::ZERO));
    advance(WITHIN).await;
    exchange.record_read(ERROR);
    assert_eq!(exchange.response_status(), Some(500));
    assert_eq!(exchange.delayed_head().unwrap().status, 500);
    assert_eq!(exchange.unreplaced_response_time(), None);
}

/// Guards against a response that is discarded or waited for because it is early, although its endpoint has sent no
/// excess data and may have become faster, and against noise that is read as the response.
#[tokio::test(start_paused = true)]
async fn an_early_response_without_earlier_excess_data_is_the_response() {
    let exchange = written_exchange(Some(NOT_DOUBTED));
    exchange.record_read(COPY);
    assert_eq!((exchange.has_premature_data(), exchange.response_status()), (false, Some(200)));
    let after_noise = written_exchange(Some(NOT_DOUBTED));
    after_noise.record_read(b"noise");
    assert_eq!((after_noise.has_premature_data(), after_noise.response_status()), (true, None));
    after_noise.record_read(COPY);
    assert_eq!(after_noise.delayed_head().unwrap().status, 200);
}

/// Guards against a rejection that is taken for premature: an endpoint can reject a message at once.
#[tokio::test(start_paused = true)]
async fn an_early_response_with_another_status_is_the_response() {
    let exchange = written_exchange(Some(DOUBTED));
    exchange.record_read(REJECTION);
    assert_eq!((exchange.has_premature_data(), exchange.response_status()), (false, Some(429)));
    let after_copy = written_exchange(Some(DOUBTED));
    after_copy.record_read(COPY);
    let (start, end) = REJECTION.split_at(30);
    after_copy.record_read(start);
    after_copy.record_read(end);
    assert_eq!(after_copy.response_status(), Some(429));
    assert_eq!(after_copy.delayed_head().unwrap().headers["x-come-back-ms"], "250");
}

/// Guards against a response on a new connection that is discarded because it is early, and against one that counts
/// as the response although the request was not written in full.
#[tokio::test(start_paused = true)]
async fn only_responses_on_used_connections_are_premature() {
    let exchange = written_exchange(None);
    exchange.record_read(COPY);
    assert_eq!((exchange.has_premature_data(), exchange.response_status()), (false, Some(200)));
    let exchange = Exchange::new(REQUEST_LENGTH, &Rc::default(), Some(DOUBTED));
    exchange.begin_write();
    exchange.record_written(1);
    advance(2 * WITHIN).await;
    exchange.record_read(COPY);
    assert!(exchange.has_premature_data());
    assert_eq!(exchange.response_status(), None);
}

/// Guards against the first bytes of a status line that are skipped as noise, so that the rest of it is malformed: the
/// response arrives in pieces from an endpoint that has become faster.
#[tokio::test(start_paused = true)]
async fn the_first_bytes_of_an_early_response_are_no_noise() {
    for split in 1..REJECTION.len() {
        let exchange = written_exchange(Some(DOUBTED));
        let (start, end) = REJECTION.split_at(split);
        exchange.record_read(start);
        exchange.record_read(end);
        let response = (exchange.has_premature_data(), exchange.response_status());
        assert_eq!(response, (false, Some(429)), "{split} bytes first");
    }
}

/// Guards against a response that is discarded, and against an endpoint that counts as slow, because the process was
/// held up between the write of a request and the reading of its clock.
#[tokio::test(start_paused = true)]
async fn a_hold_after_the_write_makes_no_response_early_and_no_endpoint_slow() {
    let exchange = Exchange::new(REQUEST_LENGTH, &Rc::default(), Some(DOUBTED));
    exchange.begin_write();
    advance(WITHIN).await;
    exchange.record_written(REQUEST_LENGTH as usize);
    exchange.record_read(COPY);
    assert_eq!((exchange.has_premature_data(), exchange.response_status()), (false, Some(200)));
    assert_eq!(exchange.response_time(), Some(Duration::ZERO));
}
