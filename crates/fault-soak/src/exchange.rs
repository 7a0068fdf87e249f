//! One request of a client on an open connection, and how it ended.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::history::{ConnectionEnd, ConnectionUse, EndedRequest};
use crate::http::{read_message, HttpMessage};

/// Time limit of a client for a connection, and for a response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// How a client sends a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendStyle {
    /// Pause after the first half of the request; without one it is written at once.
    pub pause: Option<Duration>,
    /// Whether the client ends its sending side after the request.
    pub half_closes: bool,
    /// The client closes the connection this long after the request, without waiting for the response.
    pub abandons_after: Option<Duration>,
}

/// How an exchange ended.
pub enum Exchange {
    /// The response, with the connection if another request can be sent on it.
    Response(HttpMessage, Option<BufReader<TcpStream>>),
    /// The client closed the connection without a response.
    Abandoned,
    /// The connection ended without a complete response.
    Ended(EndedRequest),
}

/// Sends a request and waits for the response.
pub async fn exchange(
    sender: usize,
    mut connection: BufReader<TcpStream>,
    text: &str,
    connection_use: ConnectionUse,
    style: SendStyle,
) -> Exchange {
    let first_byte_at = Instant::now();
    let written = write_request(connection.get_mut(), text, style).await;
    let ended = |end| {
        let ended_at = Instant::now();
        Exchange::Ended(EndedRequest { sender, connection_use, first_byte_at, ended_at, end })
    };
    if written.is_err() {
        return ended(ConnectionEnd::BeforeLastByte);
    }
    if let Some(after) = style.abandons_after {
        sleep(after).await;
        return Exchange::Abandoned;
    }
    match timeout(RESPONSE_TIMEOUT, read_message(&mut connection)).await {
        Err(_) => Exchange::Abandoned,
        Ok(Ok(Some(response))) => {
            let is_kept = response.header("connection") != "close" && !style.half_closes;
            Exchange::Response(response, is_kept.then_some(connection))
        }
        Ok(Ok(None)) => ended(ConnectionEnd::Closed),
        Ok(Err(error)) if error.kind() == io::ErrorKind::UnexpectedEof => ended(ConnectionEnd::Closed),
        Ok(Err(_)) => ended(ConnectionEnd::Reset),
    }
}

async fn write_request(stream: &mut TcpStream, text: &str, style: SendStyle) -> io::Result<()> {
    let (first, second) = text.as_bytes().split_at(style.pause.map_or(text.len(), |_| text.len() / 2));
    stream.write_all(first).await?;
    if let Some(pause) = style.pause {
        sleep(pause).await;
        stream.write_all(second).await?;
    }
    if style.half_closes {
        stream.shutdown().await?;
    }
    Ok(())
}
