//! Tests of the HTTP client for discovery.

use std::future::Future;
use std::io::{Read, Write};
use std::pin::pin;
use std::sync::mpsc;
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::discovery::client::DiscoveryClient;
use crate::discovery::poll::Poll;
use crate::endpoint_list::EndpointList;
use crate::http_connection::REUSE_DELAY;

/// Guards against a new connection after each 503 response: its handshake would load an overloaded discovery
/// even more.
#[tokio::test]
async fn a_rejected_poll_leaves_its_connection_open() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = DiscoveryClient::new(listener.local_addr().unwrap());
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            drop(listener);
            while stream.read(&mut [0; 4096]).await.is_ok_and(|bytes| bytes > 0) {
                let response = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(response).await.unwrap();
            }
        });
        for _ in 0..3 {
            let error = Poll::new_watch(None).send(&mut client).await.unwrap_err();
            assert!(error.to_string().contains("503"), "{error}");
            assert!(client.is_connected());
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A response with a list of this version that has one endpoint.
fn list_response(version: u64) -> String {
    let body = format!(
        r#"{{"index":{version},"snapshot":false,"endpoints":[{{"name":"s-1","address":"127.0.0.1:9","zone":"a",
        "type":"m2","group":3,"status":"up","weight":1.0,"since_ms":0}}]}}"#
    );
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Guards against a second copy of a list that is applied as the response to a later poll: it arrives between
/// the last look at the connection and the first byte of the poll.
#[tokio::test]
async fn a_list_that_arrives_before_a_poll_is_not_its_response() {
    let test = async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = DiscoveryClient::new(listener.local_addr().unwrap());
        let (send_excess, excess_requested) = mpsc::channel();
        let (confirm, excess_sent) = mpsc::channel();
        std::thread::spawn(move || {
            let (mut first, _) = listener.accept().unwrap();
            assert!(first.read(&mut [0; 4096]).unwrap() > 0);
            first.write_all(list_response(5).as_bytes()).unwrap();
            excess_requested.recv().unwrap();
            first.write_all(list_response(5).as_bytes()).unwrap();
            confirm.send(()).unwrap();
            for version in 6.. {
                let (mut stream, _) = listener.accept().unwrap();
                assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
                stream.write_all(list_response(version).as_bytes()).unwrap();
            }
        });
        assert_eq!(Poll::new_watch(None).send(&mut client).await.unwrap().version, 5);
        sleep(REUSE_DELAY).await;
        {
            let poll = Poll::new_watch(Some(5));
            let mut sent = pin!(poll.send(&mut client));
            // The connection is chosen here, and the poll is written once other tasks run.
            assert!(sent.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending());
            send_excess.send(()).unwrap();
            excess_sent.recv().unwrap();
            assert_eq!(sent.await.unwrap().version, 6);
        }
        // The next poll goes over a connection of its own, as discovery may do this again.
        assert!(!client.is_connected());
        assert_eq!(Poll::new_watch(Some(6)).send(&mut client).await.unwrap().version, 7);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a copy of the known list that arrives after a poll was sent and is taken for news.
#[test]
fn a_list_no_newer_than_the_known_one_is_stale_if_it_brings_entries() {
    let list = |response: String| {
        let (_, body) = response.split_once("\r\n\r\n").unwrap();
        serde_json::from_str::<EndpointList>(body).unwrap()
    };
    let known = list(list_response(5));
    let without_entries = EndpointList { endpoints: Vec::new(), ..known.clone() };
    assert!(Poll::new_watch(Some(5)).is_stale(&known));
    assert!(!Poll::new_watch(Some(5)).is_stale(&without_entries), "the wait for a change has passed");
    assert!(!Poll::new_watch(Some(5)).is_stale(&list(list_response(6))));
    assert!(!Poll::new_watch(None).is_stale(&known));
}

/// Guards against a second acknowledgement that is taken for that of the next notices, which discovery has not
/// taken yet: it arrives shortly after the first one.
#[tokio::test]
async fn an_acknowledgement_shortly_after_another_is_not_that_of_the_next_notices() {
    const ACKNOWLEDGEMENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
    const COPY_DELAY: Duration = Duration::from_millis(2);
    const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = DiscoveryClient::new(listener.local_addr().unwrap());
        tokio::task::spawn_local(async move {
            let (mut first, _) = listener.accept().await.unwrap();
            assert!(first.read(&mut [0; 4096]).await.unwrap() > 0);
            first.write_all(ACKNOWLEDGEMENT).await.unwrap();
            sleep(COPY_DELAY).await;
            first.write_all(ACKNOWLEDGEMENT).await.unwrap();
            let (mut second, _) = listener.accept().await.unwrap();
            assert!(second.read(&mut [0; 4096]).await.unwrap() > 0);
            second.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        });
        let acknowledged = client.post("/status", Bytes::new(), RESPONSE_TIMEOUT).await.unwrap();
        assert!(acknowledged.into_body(StatusCode::NO_CONTENT).is_ok());
        let rejected = client.post("/status", Bytes::new(), RESPONSE_TIMEOUT).await.unwrap();
        assert!(rejected.into_body(StatusCode::NO_CONTENT).is_err());
    };
    LocalSet::new().run_until(test).await;
}
