//! Tests for the computed length of requests on the wire.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{timeout, Instant};

use super::PreparedRequest;
use crate::delivery::attempt::{Call, Route};
use crate::http_connection::{Connection, Exchange};

const BODY: &[u8] = b"the message";
const TIMEOUT: Duration = Duration::from_secs(20);

fn call_to(address: SocketAddr, idempotency_key: Option<HeaderValue>) -> Call {
    Call {
        endpoint: 1,
        address,
        route: Route { destination: 7, endpoint: None },
        call_id: HeaderValue::from_static("m1"),
        idempotency_key,
        body: Bytes::from_static(BODY),
        timeout: TIMEOUT,
        decided_at: Instant::now(),
        start_deadline: Instant::now(),
        on_phase: Box::new(|_| true),
    }
}

/// Reads a request up to the end of its body, answers it and returns its length.
async fn receive(mut stream: TcpStream) -> u64 {
    let mut request = Vec::new();
    while !request.ends_with(BODY) {
        assert!(
            stream.read_buf(&mut request).await.unwrap() > 0,
            "the connection ended before the whole body arrived"
        );
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
    request.len() as u64
}

async fn assert_length_is_that_on_the_wire(idempotency_key: Option<HeaderValue>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request = PreparedRequest::new(&call_to(address, idempotency_key));
    let mut connection = Connection::open(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let exchange = Exchange::new(request.wire_length(), &Rc::default(), None);
    let (received, sent) = tokio::join!(receive(stream), connection.send(request.to_request(), &exchange));
    assert!(sent.is_ok());
    assert_eq!(request.wire_length(), received);
    assert_eq!(request.wire_length(), exchange.bytes_written());
}

/// Guards against a request that counts as written in full too early or never, because its computed length
/// differs from what is written.
#[tokio::test]
async fn the_length_of_a_request_is_that_on_the_wire() {
    let test = async {
        assert_length_is_that_on_the_wire(None).await;
        assert_length_is_that_on_the_wire(Some(HeaderValue::from_static("key"))).await;
    };
    let finished = timeout(TIMEOUT, LocalSet::new().run_until(test)).await;
    assert!(finished.is_ok(), "not finished within {TIMEOUT:?}");
}
