//! The answer to a request whose connection has to be closed before the request is complete.
//!
//! The client may have written its last byte already, so a close without an answer would leave it unknown
//! whether the message was accepted.

use std::io;
use std::time::Duration;

use hyper::StatusCode;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::linger::{linger, LINGER_TIME};
use crate::connection_limiter::CloseReason;
use crate::instrumented_stream::should_retry_io;

/// Time for which an evicted connection lingers. It is short, because a new connection waits for the slot.
const EVICTED_LINGER_TIME: Duration = Duration::from_millis(20);

/// Writes the answer and closes the connection for sending. What the client still sends is discarded for a
/// while, so that it does not reset the connection before the client has read the answer.
pub async fn answer_incomplete_request(stream: &TcpStream, reason: CloseReason) {
    let response = format!("HTTP/1.1 {}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n", status(reason));
    let linger_time = linger_time(reason);
    // Fails if the client has closed the connection; it needs no answer then.
    if let Ok(Ok(())) = timeout(linger_time, write_all(stream, response.as_bytes())).await {
        linger(stream, linger_time).await;
    }
}

/// A request that took too long is an error of its client. Otherwise the message may be submitted again, as it
/// was not accepted.
fn status(reason: CloseReason) -> StatusCode {
    match reason {
        CloseReason::RequestTimeout | CloseReason::IdleTimeout => StatusCode::REQUEST_TIMEOUT,
        CloseReason::Evicted | CloseReason::ShuttingDown | CloseReason::MemoryShortage => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

fn linger_time(reason: CloseReason) -> Duration {
    match reason {
        CloseReason::Evicted => EVICTED_LINGER_TIME,
        _ => LINGER_TIME,
    }
}

async fn write_all(stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut written = 0;
    while written < bytes.len() {
        stream.writable().await?;
        match stream.try_write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) if should_retry_io(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
