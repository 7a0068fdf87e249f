//! The listener that operators call: one call a connection. It has seats and a way to the driver of its own, so
//! that no call waits behind traffic, and callers that say nothing hold up no other.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::connection_limiter::{ConnectionLimiter, ConnectionSlot};
use crate::instrumented_stream::InstrumentedStream;
use crate::metrics::Metrics;
use crate::serving_state::ServingState;

/// Callers at once; a silent one makes room for the next.
pub const MAX_CONNECTIONS: usize = 16;
/// Orders that wait for the driver.
pub const ORDERS: usize = MAX_CONNECTIONS;
const HEAD_BYTES: usize = 8 * 1024;
const ID_BYTES: usize = 256;
/// A caller waits 1 s: later, a yes would not be heard.
const PATIENCE: Duration = Duration::from_millis(900);

/// What an operator tells the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    Drain(String),
    Restore(String),
}

/// What the driver says to that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandResult {
    /// It stands.
    Done,
    /// Nobody has that name.
    UnknownEndpoint,
    /// It could not be kept.
    NotPersisted,
}

pub type Order = (OperatorCommand, oneshot::Sender<CommandResult>);

/// What all callers' connections share.
pub struct OperatorApi {
    pub serving_state: Rc<watch::Sender<ServingState>>,
    /// Messages can be taken on.
    pub ready: Rc<Cell<bool>>,
    pub metrics: Rc<Metrics>,
    pub orders: mpsc::Sender<Order>,
}

impl OperatorApi {
    pub async fn serve(self: Rc<Self>, listener: TcpListener, limiter: Rc<ConnectionLimiter>) {
        limiter
            .clone()
            .serve(listener, |stream, slot| self.clone().converse(stream, limiter.clone(), slot))
            .await;
    }

    async fn converse(
        self: Rc<Self>,
        stream: TcpStream,
        limiter: Rc<ConnectionLimiter>,
        slot: Rc<ConnectionSlot>,
    ) {
        let io = TokioIo::new(InstrumentedStream::new(Rc::new(stream), slot.clone()));
        let service = service_fn(move |request| {
            let (this, limiter, slot) = (self.clone(), limiter.clone(), slot.clone());
            async move {
                let mut response = Response::new(Full::<Bytes>::default());
                match this.answer(request, &slot).await {
                    Ok(text) => *response.body_mut() = text.into(),
                    Err(status) => *response.status_mut() = status,
                }
                limiter.answered(&slot);
                Ok::<_, Infallible>(response)
            }
        });
        let mut server = http1::Builder::new();
        // The seat keeps the time, for head and body together.
        server.header_read_timeout(None).max_buf_size(HEAD_BYTES).keep_alive(false);
        if let Err(error) = server.serve_connection(io, service).await {
            tracing::debug!(%error, "an operator's call broke");
        }
    }

    async fn answer(&self, request: Request<Incoming>, slot: &ConnectionSlot) -> Result<String, StatusCode> {
        let (head, body) = request.into_parts();
        let (wanted, path) = match head.uri.path() {
            path @ ("/status" | "/status/metrics") => (Method::GET, path),
            path @ ("/maintenance/enter" | "/maintenance/exit" | "/standby" | "/active") => {
                (Method::POST, path)
            }
            _ => return Err(StatusCode::NOT_FOUND),
        };
        if head.method != wanted {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = Limited::new(body, ID_BYTES).collect().await.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
        slot.open();
        match path {
            "/status/metrics" => Ok(self.metrics.render()),
            "/status" if self.is_serving() => Ok("serving\n".to_owned()),
            "/status" => Err(StatusCode::SERVICE_UNAVAILABLE),
            "/standby" => self.change_duty(ServingState::Standby),
            "/active" => self.change_duty(ServingState::Serving),
            "/maintenance/enter" => self.tell(OperatorCommand::Drain(id(&body.to_bytes())?)).await,
            _ => self.tell(OperatorCommand::Restore(id(&body.to_bytes())?)).await,
        }
    }

    fn is_serving(&self) -> bool {
        self.ready.get() && *self.serving_state.borrow() == ServingState::Serving
    }

    /// Clients' connections and `/healthz` follow it at once.
    fn change_duty(&self, to: ServingState) -> Result<String, StatusCode> {
        if !self.ready.get() || *self.serving_state.borrow() == ServingState::ShuttingDown {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if self.serving_state.send_replace(to) != to {
            tracing::info!(?to, "an operator changed the serving_state");
        }
        Ok(format!("{to:?}\n").to_lowercase())
    }

    async fn tell(&self, command: OperatorCommand) -> Result<String, StatusCode> {
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        if !self.ready.get() {
            return Err(unavailable);
        }
        let asked = async {
            let (reply, verdict) = oneshot::channel();
            self.orders.send((command, reply)).await.map_err(|_| unavailable)?;
            verdict.await.map_err(|_| unavailable)
        };
        // Whoever gives up here drops `verdict`: the driver then leaves undone what it has not begun.
        match timeout(PATIENCE, asked).await.map_err(|_| unavailable)?? {
            CommandResult::Done => Ok("done\n".to_owned()),
            CommandResult::UnknownEndpoint => Err(StatusCode::NOT_FOUND),
            CommandResult::NotPersisted => Err(StatusCode::INSUFFICIENT_STORAGE),
        }
    }
}

/// The endpoint that a body names.
fn id(body: &Bytes) -> Result<String, StatusCode> {
    let text = std::str::from_utf8(body).map_err(|_| StatusCode::BAD_REQUEST)?.trim();
    let plain = !text.is_empty() && !text.contains(char::is_control);
    plain.then(|| text.to_owned()).ok_or(StatusCode::BAD_REQUEST)
}
