//! The HTTP client for discovery.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};

use super::error::DiscoveryError;
use crate::http_body::read_to_end;
use crate::http_connection::{Connection, ResponseRemainder, SendError, EXCESS_DATA_MEMORY, REUSE_DELAY};

/// Longest response body that is read, in bytes: a list of 3,200 endpoints is a third of it.
const MAX_RESPONSE_BYTES: usize = 3 * 1024 * 1024;

/// The address of discovery, which a configuration reload may change while the process runs.
pub type DiscoveryAddress = watch::Receiver<SocketAddr>;

/// A client that keeps one connection to discovery and opens a new one after any failure.
pub struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<IdleConnection>,
    /// When discovery last sent data that belonged to no response, if it has.
    excess_data_at: Option<Instant>,
}

/// A connection that has carried a request.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// A response that was read completely.
pub struct DiscoveryResponse {
    status: StatusCode,
    body: Bytes,
}

impl DiscoveryClient {
    /// A client without a connection; the first request opens it.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None, excess_data_at: None }
    }

    /// Sends a GET request and reads the complete response, all within `response_timeout`.
    pub async fn get(
        &mut self,
        path: &str,
        response_timeout: Duration,
    ) -> Result<DiscoveryResponse, DiscoveryError> {
        self.send_within(response_timeout, Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request and reads the complete response, all within `response_timeout`.
    pub async fn post(
        &mut self,
        path: &str,
        body: Bytes,
        response_timeout: Duration,
    ) -> Result<DiscoveryResponse, DiscoveryError> {
        self.send_within(response_timeout, Method::POST, path, body).await
    }

    /// Closes the connection, so that the next request opens a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Records that discovery has sent data that belongs to no response, and closes the connection. For a
    /// while each request goes over a connection of its own.
    pub fn record_excess_data(&mut self) {
        if !self.avoids_reuse() {
            tracing::warn!(address = %self.address, "discovery sends data after its responses");
        }
        self.excess_data_at = Some(Instant::now());
        self.disconnect();
    }

    /// Whether discovery has lately sent data that belonged to no response.
    fn avoids_reuse(&self) -> bool {
        self.excess_data_at.is_some_and(|at| at.elapsed() < EXCESS_DATA_MEMORY)
    }

    /// Whether a connection is kept open for the next request.
    #[cfg(test)]
    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    async fn send_within(
        &mut self,
        response_timeout: Duration,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<DiscoveryResponse, DiscoveryError> {
        match timeout(response_timeout, self.send(method, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(DiscoveryError::TimedOut(response_timeout)),
        }
    }

    async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<DiscoveryResponse, DiscoveryError> {
        let request = Request::builder().method(method).uri(path).header(HOST, self.address.to_string());
        let (mut connection, response) = self.exchange(request.body(Full::new(body))?).await?;
        let status = response.status();
        let body = response.into_body();
        let expected_length = (body.size_hint().lower() as usize).min(MAX_RESPONSE_BYTES);
        let body = read_to_end(Limited::new(body, MAX_RESPONSE_BYTES), expected_length)
            .await
            .map_err(DiscoveryError::Body)?;
        let remainder = connection.finish_exchange().await;
        if remainder == ResponseRemainder::Complete && !self.avoids_reuse() {
            self.connection = Some(IdleConnection { connection, idle_since: Instant::now() });
        }
        Ok(DiscoveryResponse { status, body })
    }

    /// Sends a request on the open connection after a rest, or on a new one if there is none or nothing can be
    /// written to it. Discovery may answer at once, so its responses cannot be told by their time from data that
    /// follows an earlier response. The connection is taken out of the client, so that any failure or timeout
    /// closes it.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), DiscoveryError> {
        if let Some(IdleConnection { mut connection, idle_since }) = self.connection.take() {
            sleep_until(idle_since + REUSE_DELAY).await;
            match connection.send(request.clone(), &Rc::default()).await {
                Err(SendError::NotSent) if connection.has_excess_data() => self.record_excess_data(),
                Err(SendError::NotSent) => {}
                sent => return Ok((connection, sent?)),
            }
        }
        let opened = Connection::open(self.address).await;
        let mut connection =
            opened.map_err(|source| DiscoveryError::Connect { address: self.address, source })?;
        let response = connection.send(request, &Rc::default()).await?;
        Ok((connection, response))
    }
}

impl DiscoveryResponse {
    /// The body of a response whose status is `success`; any other status is an error.
    pub fn into_body(self, success: StatusCode) -> Result<Bytes, DiscoveryError> {
        if self.status == success {
            Ok(self.body)
        } else {
            Err(DiscoveryError::UnexpectedStatus(self.status))
        }
    }
}
