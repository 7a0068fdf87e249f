//! Serves operators' connections and handles their requests.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::command::{CommandResult, OperatorCommand, OperatorRequest};
use super::error::OperatorError;
use super::route::Route;
use crate::connection_limiter::{ConnectionLimiter, ConnectionSlot, Phase};
use crate::instrumented_stream::InstrumentedStream;
use crate::metrics::Metrics;
use crate::serving_state::{ServingState, ServingStateControl};

/// Maximum number of open connections. Beyond it, a connection that has sent nothing is closed for a new one.
pub const MAX_CONNECTIONS: usize = 16;
/// Maximum number of requests that wait for the event loop: one for each connection.
pub const REQUEST_QUEUE_CAPACITY: usize = MAX_CONNECTIONS;
/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of an endpoint's name, and so of a request's body, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// How long a command may take. Callers wait 1 s, so they would not receive a later answer.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);

const SERVING: &str = "serving\n";
const STANDBY: &str = "standby\n";
const DONE: &str = "done\n";

/// The operator API, shared by the handlers of all connections.
pub struct OperatorApi {
    /// The serving state, which operators set to standby and back.
    pub serving_state: Rc<ServingStateControl>,
    /// Whether this process is the sender and can accept messages.
    pub ready: Rc<Cell<bool>>,
    /// The metrics that operators fetch.
    pub metrics: Rc<Metrics>,
    /// The channel that passes commands to the event loop.
    pub requests: mpsc::Sender<OperatorRequest>,
}

impl OperatorApi {
    /// Accepts connections until the future is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, limiter: Rc<ConnectionLimiter>) {
        let handle = |stream, slot| self.clone().serve_connection(stream, limiter.clone(), slot);
        limiter.clone().serve(listener, handle).await;
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        limiter: Rc<ConnectionLimiter>,
        slot: Rc<ConnectionSlot>,
    ) {
        let io = TokioIo::new(InstrumentedStream::new(Rc::new(stream), slot.clone()));
        let request_slot = slot.clone();
        let service = service_fn(move |request| {
            let api = self.clone();
            let limiter = limiter.clone();
            let slot = request_slot.clone();
            async move {
                let response = response(api.answer(request, &slot).await);
                limiter.mark_answered(&slot);
                Ok::<_, Infallible>(response)
            }
        });
        let mut server = http1::Builder::new();
        // The slot has a single timeout for head and body together.
        server.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES).keep_alive(false);
        let mut connection = pin!(server.serve_connection(io, service));
        let result = tokio::select! {
            biased;
            result = &mut connection => result,
            // A command that has been read is carried out and answered.
            _ = slot.wait_for_close_request() => match slot.phase() {
                Phase::Processing => connection.await,
                Phase::Idle | Phase::Receiving => Ok(()),
            },
        };
        if let Err(error) = result {
            tracing::debug!(%error, "operator connection failed");
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        slot: &ConnectionSlot,
    ) -> Result<String, OperatorError> {
        let (head, body) = request.into_parts();
        let route = Route::find(&head.method, head.uri.path())?;
        let body = Limited::new(body, MAX_NAME_BYTES).collect().await.map_err(|_| OperatorError::Body)?;
        slot.mark_request_received();
        match route {
            Route::Metrics => Ok(self.metrics.render()),
            Route::Status => self.status(),
            Route::Standby => self.change_serving_state(ServingState::Standby, STANDBY),
            Route::Activate => self.change_serving_state(ServingState::Serving, SERVING),
            Route::DrainEndpoint => {
                self.execute(OperatorCommand::Drain(endpoint_name(&body.to_bytes())?)).await
            }
            Route::RestoreEndpoint => {
                self.execute(OperatorCommand::Restore(endpoint_name(&body.to_bytes())?)).await
            }
        }
    }

    fn status(&self) -> Result<String, OperatorError> {
        if self.ready.get() && self.serving_state.state().is_serving() {
            Ok(SERVING.to_owned())
        } else {
            Err(OperatorError::Unavailable)
        }
    }

    /// Sets the serving state, which takes effect on client connections and health checks at once.
    fn change_serving_state(&self, to: ServingState, answer: &str) -> Result<String, OperatorError> {
        if !self.ready.get() {
            return Err(OperatorError::Unavailable);
        }
        let from = self.serving_state.set_by_operator(to).map_err(|_| OperatorError::Unavailable)?;
        if from != to {
            tracing::info!(?from, ?to, "serving state changed by operator");
        }
        Ok(answer.to_owned())
    }

    /// Has the event loop carry out a command, and waits for the result. On a timeout the receiver of the
    /// reply is dropped, and the event loop then skips the command unless it has already begun it.
    async fn execute(&self, command: OperatorCommand) -> Result<String, OperatorError> {
        if !self.ready.get() {
            return Err(OperatorError::Unavailable);
        }
        let executed = timeout(COMMAND_TIMEOUT, self.request(command)).await;
        match executed.map_err(|_| OperatorError::Unavailable)?? {
            CommandResult::Done => Ok(DONE.to_owned()),
            CommandResult::UnknownEndpoint => Err(OperatorError::UnknownEndpoint),
            CommandResult::NotPersisted => Err(OperatorError::NotPersisted),
        }
    }

    /// Passes a command to the event loop and waits for the result, without a timeout.
    async fn request(&self, command: OperatorCommand) -> Result<CommandResult, OperatorError> {
        let (reply, result) = oneshot::channel();
        let request = OperatorRequest { command, reply };
        self.requests.send(request).await.map_err(|_| OperatorError::Unavailable)?;
        result.await.map_err(|_| OperatorError::Unavailable)
    }
}

fn response(answer: Result<String, OperatorError>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match answer {
        Ok(text) => *response.body_mut() = text.into(),
        Err(error) => *response.status_mut() = error.status(),
    }
    response
}

/// The name of an endpoint that a request's body contains.
pub(super) fn endpoint_name(body: &Bytes) -> Result<String, OperatorError> {
    let name = std::str::from_utf8(body).map_err(|_| OperatorError::EndpointName)?.trim();
    if name.is_empty() || name.contains(char::is_control) {
        return Err(OperatorError::EndpointName);
    }
    Ok(name.to_owned())
}
