//! Serves client connections and routes their requests.

use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use delivery_control::Settings;
use deployment_config::Names;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{timeout, Instant};

use super::decision::wait_for_decision;
use super::error::RequestError;
use super::incomplete_request::answer_incomplete_request;
use super::linger::{linger, LINGER_TIME};
use super::request::{body_length, call_id, class_name, decode};
use super::response::{empty, Reply};
use crate::connection_limiter::{CloseReason, ConnectionLimiter, ConnectionSlot, Phase};
use crate::event::SenderEvent;
use crate::http_body::read_to_end;
use crate::instrumented_stream::InstrumentedStream;
use crate::serving_state::ServingState;
use crate::submission::{Submission, SubmissionReply};

/// Maximum size of a request's head, and of the buffer of a connection, in bytes.
pub const MAX_BUFFER_BYTES: usize = 8 * 1024;

/// Path at which load balancers check whether the sender serves.
const HEALTH_PATH: &str = "/healthz";

/// Maximum time to close a connection on which no request is being received. It bounds the wait for a client
/// that does not read its last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A client connection that reports the bytes received to its slot.
type ClientStream = TokioIo<InstrumentedStream<ConnectionSlot>>;

/// The socket of a client connection and the slot that it occupies.
struct ClientConnection {
    stream: Rc<TcpStream>,
    slot: Rc<ConnectionSlot>,
}

/// How the HTTP library's part of a connection ended.
enum ConnectionEnd {
    /// All requests were answered, and the connection was closed.
    Closed,
    /// The connection broke, or the client violated HTTP.
    Failed(hyper::Error),
    /// The limiter asked for a close for this reason while a request was being received.
    IncompleteRequest(CloseReason),
}

impl From<hyper::Result<()>> for ConnectionEnd {
    fn from(served: hyper::Result<()>) -> Self {
        match served {
            Ok(()) => Self::Closed,
            Err(error) => Self::Failed(error),
        }
    }
}

/// Lingers on a connection whose last answer has been written, until a new connection needs its slot.
async fn linger_unless_evicted(stream: &TcpStream, slot: &ConnectionSlot) {
    tokio::select! {
        () = linger(stream, LINGER_TIME) => {}
        () = slot.wait_for_eviction() => {}
    }
}

/// Closes a connection for which the limiter has asked for that. A request that is being processed gets its
/// answer first.
async fn close_connection<S>(
    mut connection: Pin<&mut http1::Connection<ClientStream, S>>,
    phase: Phase,
    reason: CloseReason,
) -> ConnectionEnd
where
    S: Service<Request<Incoming>, Response = Response<Empty<Bytes>>, Error = Infallible>,
{
    match phase {
        Phase::Receiving => return ConnectionEnd::IncompleteRequest(reason),
        Phase::Idle => connection.as_mut().graceful_shutdown(),
        // The answer closes the connection.
        Phase::Processing => {}
    }
    timeout(CLOSE_TIMEOUT, connection).await.map_or(ConnectionEnd::Closed, ConnectionEnd::from)
}

/// The client API, shared by the handlers of all connections.
pub struct ClientApi {
    /// The settings that messages are validated against.
    pub settings: Settings,
    /// The names of classes and tenants.
    pub names: Names,
    /// The channel that submits messages to the event loop.
    pub event_sender: mpsc::Sender<SenderEvent>,
    /// The serving state of the process. While it does not serve, connections are closed as soon as their
    /// requests are answered.
    pub serving_state: watch::Receiver<ServingState>,
    /// Limits the number of open connections.
    pub limiter: Rc<ConnectionLimiter>,
}

impl ClientApi {
    /// Accepts connections until the future is dropped, also while the process drains, because load balancers
    /// notice the drain only after a while.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let limiter = self.limiter.clone();
        limiter.serve(listener, |stream, slot| self.clone().serve_connection(stream, slot)).await;
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream, slot: Rc<ConnectionSlot>) {
        // Without `TCP_NODELAY`, an answer may be delayed until the client acknowledges earlier data. A
        // socket on which the option cannot be set is broken.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = Rc::new(stream);
        let io = TokioIo::new(InstrumentedStream::new(stream.clone(), slot.clone()));
        let api = self.clone();
        let client = Rc::new(ClientConnection { stream: stream.clone(), slot: slot.clone() });
        let service = service_fn(move |request| {
            let api = api.clone();
            let client = client.clone();
            async move { Ok::<_, Infallible>(api.answer(request, &client).await) }
        });
        let mut server = http1::Builder::new();
        // The slot has a single timeout for head and body together. A client that has ended its sending side
        // gets its answer all the same.
        server.header_read_timeout(None).max_buf_size(MAX_BUFFER_BYTES).half_close(true);
        let connection = server.serve_connection(io, service);
        let ended = self.drive_connection(connection, &slot).await;
        if let ConnectionEnd::Failed(error) = &ended {
            tracing::debug!(%error, "client connection failed");
        }
        match ended {
            ConnectionEnd::IncompleteRequest(reason) => {
                answer_incomplete_request(&stream, reason).await;
                self.limiter.mark_answered(&slot);
            }
            ConnectionEnd::Failed(_) => linger_unless_evicted(&stream, &slot).await,
            ConnectionEnd::Closed if slot.has_unread_request() => linger_unless_evicted(&stream, &slot).await,
            // Nothing more is read from a connection that was closed between two requests: a client whose next
            // request crosses the close sends that request again.
            ConnectionEnd::Closed => {}
        }
    }

    /// Drives a connection until it ends. When the process stops serving, or the limiter asks for a close, the
    /// connection is shut down gracefully.
    async fn drive_connection<S>(
        &self,
        connection: http1::Connection<ClientStream, S>,
        slot: &ConnectionSlot,
    ) -> ConnectionEnd
    where
        S: Service<Request<Incoming>, Response = Response<Empty<Bytes>>, Error = Infallible>,
    {
        let mut connection = pin!(connection);
        let mut serving_state = self.serving_state.clone();
        loop {
            tokio::select! {
                // In this order, a request that has arrived is read before its connection is closed.
                biased;
                served = &mut connection => return served.into(),
                reason = slot.wait_for_close_request() => {
                    return close_connection(connection, slot.phase(), reason).await;
                }
                () = ServingState::wait_until_not_serving(&mut serving_state) => {
                    // A connection that is accepted while draining is not shut down here: its first request
                    // is read, and the answer closes it. The same holds for a connection on which part of a
                    // request has been received: hyper would treat it as idle and close it, although its
                    // client may have sent the whole request.
                    if !slot.has_pending_request() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Answers one request. If the request breaks the protocol or its answer is a client error (4xx), the
    /// connection is closed and no further request is read from it.
    async fn answer(&self, request: Request<Incoming>, client: &ClientConnection) -> Response<Empty<Bytes>> {
        let slot = &client.slot;
        let body_length = body_length(request.headers());
        let call_id = call_id(request.headers());
        let routed = match body_length {
            Ok(body_length) => self.route(request, body_length, client).await,
            Err(error) => Err(error),
        };
        let mut response = match routed {
            Ok(reply) => reply.into_response(),
            Err(error) => {
                tracing::debug!(?call_id, %error, "request not accepted");
                empty(error.status())
            }
        };
        tracing::debug!(?call_id, status = response.status().as_u16(), "request answered");
        let is_one_request = body_length.is_ok_and(|length| slot.holds_one_request(length));
        let is_conforming = is_one_request && !response.status().is_client_error();
        if !is_conforming || slot.is_closing() || !self.state().is_serving() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.limiter.mark_answered(slot);
        if !is_conforming {
            slot.mark_unread_request();
        }
        response
    }

    fn state(&self) -> ServingState {
        *self.serving_state.borrow()
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        body_length: u64,
        client: &ClientConnection,
    ) -> Result<Reply, RequestError> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, HEALTH_PATH) => Ok(Reply::Health(self.health())),
            (_, HEALTH_PATH) => Err(RequestError::MethodNotAllowed),
            (&Method::POST, _) => self.receive_message(request, body_length, client).await,
            (_, path) => match self.names.class(class_name(path)) {
                Some(_) => Err(RequestError::MethodNotAllowed),
                None => Err(RequestError::UnknownClass),
            },
        }
    }

    fn health(&self) -> StatusCode {
        if self.state().is_healthy() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    async fn receive_message(
        &self,
        request: Request<Incoming>,
        body_length: u64,
        client: &ClientConnection,
    ) -> Result<Reply, RequestError> {
        let (head, body) = request.into_parts();
        let mut submission = decode(&self.settings, &self.names, &head.uri, &head.headers)?;
        let length = body_length as usize;
        let reservation = self.limiter.reserve_body(&client.slot, length).await;
        submission.reservation = reservation.map(Rc::new);
        submission.body = read_to_end(body, length).await.map_err(|_| RequestError::IncompleteBody)?;
        submission.received_at = Instant::now();
        if !client.slot.holds_one_request(body_length) {
            return Err(RequestError::TrailingBytes);
        }
        client.slot.mark_request_received();
        self.submit(submission, &client.stream).await.map(Reply::Submission)
    }

    async fn submit(
        &self,
        submission: Submission,
        stream: &TcpStream,
    ) -> Result<SubmissionReply, RequestError> {
        let mut state = self.serving_state.clone();
        state.mark_unchanged();
        // If the client disconnects, this future and with it `decision` are dropped, and the event loop finds
        // `reply` closed.
        let (reply, decision) = oneshot::channel();
        let event = SenderEvent::Submitted(Box::new(submission), reply);
        self.event_sender.send(event).await.map_err(|_| RequestError::Unavailable)?;
        wait_for_decision(decision, stream, &mut state).await
    }
}
