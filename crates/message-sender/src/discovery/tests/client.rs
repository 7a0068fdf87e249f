//! Tests of the HTTP client for discovery.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::discovery::client::DiscoveryClient;
use crate::discovery::poll::Poll;

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
