//! Serves clients' connections and routes their requests.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use delivery_control::Settings;
use deployment_config::Names;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use super::error::RequestError;
use super::linger::linger;
use super::request::{body_length, class_name, decode, MAX_BODY_BYTES};
use super::response::{empty, Reply};
use crate::connection_limiter::{ConnectionLimiter, ConnectionSlot};
use crate::event::SenderEvent;
use crate::instrumented_stream::InstrumentedStream;
use crate::serving_state::ServingState;
use crate::submission::{Submission, SubmissionReply};

/// The longest head, and what is buffered of a connection at most.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Where load balancers ask whether the sender serves.
const HEALTH_PATH: &str = "/healthz";

/// A client's connection, whose slot sees what is received.
type ClientStream = TokioIo<InstrumentedStream<ConnectionSlot>>;

/// What the handlers of all connections share.
pub struct ClientApi {
    /// The settings that messages are checked against.
    pub settings: Settings,
    /// The classes and tenants by name.
    pub names: Names,
    /// Where messages are submitted to the event loop.
    pub inbox: mpsc::Sender<SenderEvent>,
    /// While the process does not serve, connections are closed as soon as their requests are answered.
    pub serving_state: watch::Receiver<ServingState>,
    /// Bounds the connections.
    pub limiter: Rc<ConnectionLimiter>,
}

impl ClientApi {
    /// Accepts connections until it is dropped, also while draining: load balancers notice only after a
    /// while.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let limiter = self.limiter.clone();
        limiter.serve(listener, |stream, slot| self.clone().serve_connection(stream, slot)).await;
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream, slot: Rc<ConnectionSlot>) {
        // Without it answers may wait for the client's acknowledgement; a socket that denies it is broken.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = Rc::new(stream);
        let io = TokioIo::new(InstrumentedStream::new(stream.clone(), slot.clone()));
        let api = self.clone();
        let request_slot = slot.clone();
        let service = service_fn(move |request| {
            let api = api.clone();
            let slot = request_slot.clone();
            async move { Ok::<_, Infallible>(api.answer(request, &slot).await) }
        });
        let mut server = http1::Builder::new();
        // The slot has the time-out, one for head and body together.
        server.header_read_timeout(None).max_buf_size(MAX_BUFFER_BYTES);
        let connection = server.serve_connection(io, service);
        let driven = self.drive_connection(connection, &slot).await;
        if let Err(error) = &driven {
            tracing::debug!(%error, "client connection failed");
        }
        // A connection that is closed between requests is not read any more: its client sends what crosses
        // the close again.
        if driven.is_err() || slot.has_unread_request() {
            linger(&stream).await;
        }
    }

    /// Drives a connection to its end, which comes by itself or once the process serves no longer.
    async fn drive_connection<S>(
        &self,
        connection: http1::Connection<ClientStream, S>,
        slot: &ConnectionSlot,
    ) -> hyper::Result<()>
    where
        S: Service<Request<Incoming>, Response = Response<Empty<Bytes>>, Error = Infallible>,
    {
        let mut connection = pin!(connection);
        let mut serving_state = self.serving_state.clone();
        loop {
            tokio::select! {
                served = &mut connection => return served,
                () = ServingState::wait_until_not_serving(&mut serving_state) => {
                    // A connection that is accepted while draining gets its first request read; the answer
                    // closes it. So does one on which part of a request has been received: the library takes
                    // it for idle, and its client may have written all of the request.
                    if !slot.has_pending_request() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Answers one request. Nothing more is read from a client that breaks the protocol.
    async fn answer(&self, request: Request<Incoming>, slot: &ConnectionSlot) -> Response<Empty<Bytes>> {
        let body_length = body_length(request.headers());
        let routed = match body_length {
            Ok(body_length) => self.route(request, body_length, slot).await,
            Err(error) => Err(error),
        };
        let mut response = match routed {
            Ok(reply) => reply.into_response(),
            Err(error) => empty(error.status()),
        };
        let is_one_request = body_length.is_ok_and(|length| slot.holds_one_request(length));
        let is_conforming = is_one_request && !response.status().is_client_error();
        if !is_conforming || !self.state().is_serving() {
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
        slot: &ConnectionSlot,
    ) -> Result<Reply, RequestError> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, HEALTH_PATH) => Ok(Reply::Health(self.health())),
            (_, HEALTH_PATH) => Err(RequestError::MethodNotAllowed),
            (&Method::POST, _) => self.receive_message(request, body_length, slot).await,
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
        slot: &ConnectionSlot,
    ) -> Result<Reply, RequestError> {
        let (head, body) = request.into_parts();
        let mut submission = decode(&self.settings, &self.names, &head.uri, &head.headers)?;
        let body = Limited::new(body, MAX_BODY_BYTES as usize).collect().await;
        let body = body.map_err(|_| RequestError::IncompleteBody)?.to_bytes();
        // A copy: the bytes as read are a slice of a far larger buffer, which they would keep alive.
        submission.body = Bytes::copy_from_slice(&body);
        if !slot.holds_one_request(body_length) {
            return Err(RequestError::TrailingBytes);
        }
        slot.mark_request_received();
        self.submit(submission).await.map(Reply::Submission)
    }

    async fn submit(&self, submission: Submission) -> Result<SubmissionReply, RequestError> {
        // If the client goes away, this future is dropped, and the event loop finds its end of `reply`
        // closed.
        let (reply, answer) = oneshot::channel();
        let event = SenderEvent::Submitted(Box::new(submission), reply);
        self.inbox.send(event).await.map_err(|_| RequestError::Unavailable)?;
        answer.await.map_err(|_| RequestError::Unavailable)
    }
}
