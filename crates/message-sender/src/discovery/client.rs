//! The HTTP client for discovery.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Full, Limited};
use hyper::body::Body;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use tokio::sync::watch;
use tokio::time::timeout;

use super::error::DiscoveryError;
use crate::http_body::read_to_end;
use crate::http_connection::Connection;

/// Longest response body that is read, in bytes: a list of 3,200 endpoints is a third of it.
const MAX_RESPONSE_BYTES: usize = 3 * 1024 * 1024;

/// The address of discovery, which a configuration reload may change while the process runs.
pub type DiscoveryAddress = watch::Receiver<SocketAddr>;

/// A client that keeps one connection to discovery and opens a new one after any failure.
pub struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// A response that was read completely.
pub struct DiscoveryResponse {
    status: StatusCode,
    body: Bytes,
}

impl DiscoveryClient {
    /// A client without a connection; the first request opens it.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
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
        // The connection is taken out of the client, so that any failure or timeout from here on closes it.
        let mut connection = self.take_or_open_connection().await?;
        let request = Request::builder().method(method).uri(path).header(HOST, self.address.to_string());
        let response = connection.send(request.body(Full::new(body))?).await?;
        let status = response.status();
        let body = response.into_body();
        let expected_length = (body.size_hint().lower() as usize).min(MAX_RESPONSE_BYTES);
        let body = read_to_end(Limited::new(body, MAX_RESPONSE_BYTES), expected_length)
            .await
            .map_err(DiscoveryError::Body)?;
        if connection.ready().await {
            self.connection = Some(connection);
        }
        Ok(DiscoveryResponse { status, body })
    }

    async fn take_or_open_connection(&mut self) -> Result<Connection, DiscoveryError> {
        match self.connection.take().filter(Connection::is_reusable) {
            Some(connection) => Ok(connection),
            None => Connection::open(self.address)
                .await
                .map_err(|source| DiscoveryError::Connect { address: self.address, source }),
        }
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
