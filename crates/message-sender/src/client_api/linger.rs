//! Lingering close of a connection on which an error was answered before the whole request had been read.
//!
//! If a socket is closed while received bytes are unread, TCP resets the connection, and the client may lose
//! the answer. Therefore whatever the client still sends is read and discarded for a while, until the client
//! closes the connection too.

use std::io;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::instrumented_stream::should_retry_io;

/// How long the client has to read the answer and close the connection.
pub const LINGER_TIME: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded. A client that sends more does not wait for an answer.
const MAX_LINGER_BYTES: usize = 512 * 1024;
/// Size of the buffer that bytes are read into before they are discarded.
const BUFFER_BYTES: usize = 4 * 1024;

/// Reads and discards what the client still sends until it closes the connection, for at most `limit` and up to
/// a number of bytes.
pub async fn linger(stream: &TcpStream, limit: Duration) {
    // Fails only if the connection has already ended.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    // The connection is closed afterwards, even if the client has not closed it.
    let _ = timeout(limit, read_to_end(stream)).await;
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
