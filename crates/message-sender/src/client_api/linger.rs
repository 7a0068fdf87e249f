//! Closes a connection on which an error was answered before all of the request had been read.
//!
//! A close over bytes that were not read resets the connection, and the answer may be lost with it. So what
//! the client still sends is read and dropped for a while, until it closes too.

use std::io;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::instrumented_stream::should_retry_io;

/// How long the client has to read the answer and close.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Most that is read; a client that sends more does not wait for an answer.
const MAX_LINGER_BYTES: usize = 512 * 1024;
const BUFFER_BYTES: usize = 16 * 1024;

/// Reads what the client still sends until it closes, for a bounded time and amount.
pub async fn linger(stream: &TcpStream) {
    // Fails only where the connection has ended.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    // Without the client's close the connection is closed all the same.
    let _ = timeout(LINGER_TIME, read_to_end(stream)).await;
}

async fn read_to_end(stream: &TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut bytes_read = 0;
    while bytes_read < MAX_LINGER_BYTES {
        stream.readable().await?;
        match stream.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(bytes) => bytes_read += bytes,
            Err(error) if should_retry_io(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
