//! Simulated endpoints, whose responses depend on the faults that are active.

use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

use crate::history::{EndpointCall, History, Reply};
use crate::http::{read_message, HttpMessage};
use crate::network::NetworkDelay;
use crate::replies::{draw_reply, excess_data, head_text, response_text};
use crate::response_bodies::{draw_body, PartedResponse};

/// Time for which an endpoint that does not respond keeps the connection open.
const HANG_TIME: Duration = Duration::from_secs(20);
/// First piece of a status line that is sent in pieces, or not to its end.
const PARTIAL_LINE: &[u8] = b"HTTP/1.1 20";
/// Pause within a status line that is sent in pieces.
const PIECES_PAUSE: Duration = Duration::from_millis(40);
/// Time that a fast endpoint takes for a call, in milliseconds.
pub const FAST_SERVICE_MS: Range<u64> = 2..30;
/// How often an endpoint checks whether it accepts connections.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Times after a response at which excess data is sent, in microseconds; 0 is in the same segment.
const EXCESS_DELAYS_US: [u64; 5] = [0, 200, 1_000, 5_000, 50_000];
/// Longest time after a response at which excess data is sent over a network with a delay. Later data can cross a
/// request in a way that no sender can tell from a response.
const MAX_CROSSING_EXCESS_DELAY: Duration = Duration::from_millis(5);
/// Longest pause before the last part of a response, in milliseconds.
const LONGEST_BODY_PAUSE_MS: u64 = 20;
/// Time between two bytes of a response that is sent one byte at a time.
const TRICKLE_PAUSE: Duration = Duration::from_millis(8);

/// Current behaviour of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Behaviour {
    /// Each call is answered with success within 30 ms.
    Healthy,
    /// About a third of the calls ends with an error or a reset.
    Flaky,
    /// Most calls are rejected, the larger part of them with a retry delay.
    Limited,
    /// No call is answered.
    Hanging,
    /// Each connection is reset after the call.
    Resetting,
    /// Responses are sent one byte at a time.
    Trickling,
    /// Responses are sent 0.1 s to 0.9 s late.
    Slow,
    /// Some calls get 410 or 504, a first line in pieces, or part of a first line and a reset.
    Odd,
    /// Connections are refused, and open ones are reset at the next call.
    Refusing,
    /// Calls are answered with success, an error or a rejection, and data follows the response.
    Excess,
    /// Calls are answered with success, an error or a rejection, with bodies of up to 70 KiB.
    Bodies,
}

impl Behaviour {
    const ALL: [Self; 11] = [
        Self::Healthy,
        Self::Flaky,
        Self::Limited,
        Self::Hanging,
        Self::Resetting,
        Self::Trickling,
        Self::Slow,
        Self::Odd,
        Self::Refusing,
        Self::Excess,
        Self::Bodies,
    ];
}

/// Parameters of a new endpoint.
pub struct EndpointSetup {
    /// Index of the endpoint, which is part of its name.
    pub index: usize,
    /// Number of the destination that it belongs to.
    pub destination: u64,
    /// Behaviour without an active fault.
    pub default_behaviour: Behaviour,
    /// Delay of the network to the senders.
    pub network_delay: NetworkDelay,
    /// Time that it takes for a call, in milliseconds, unless its behaviour is slow.
    pub service_ms: Range<u64>,
}

impl EndpointSetup {
    /// Parameters of an endpoint without a network delay.
    #[must_use]
    pub fn near(index: usize, destination: u64, default_behaviour: Behaviour) -> Self {
        let service_ms = FAST_SERVICE_MS;
        Self { index, destination, default_behaviour, network_delay: NetworkDelay::default(), service_ms }
    }
}

/// A simulated endpoint, which listens until the runtime of its tasks is shut down.
pub struct Endpoint {
    /// Index of the endpoint, which is part of its name.
    pub index: usize,
    /// Number of the destination that it belongs to.
    pub destination: u64,
    /// Address that it listens on.
    pub address: SocketAddr,
    behaviour: AtomicU8,
    /// Behaviour without an active fault.
    default_behaviour: Behaviour,
    network_delay: NetworkDelay,
    /// Time that it takes for a call at present, in milliseconds, unless its behaviour is slow.
    service_ms: Mutex<Range<u64>>,
    /// Time that it takes for a call without an active fault, in milliseconds.
    default_service_ms: Range<u64>,
    history: Arc<History>,
}

impl Endpoint {
    /// Starts an endpoint with its default behaviour.
    ///
    /// # Errors
    ///
    /// The listener cannot be opened.
    pub async fn start(setup: EndpointSetup, history: Arc<History>) -> std::io::Result<Arc<Self>> {
        let EndpointSetup { index, destination, default_behaviour, network_delay, service_ms } = setup;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let behaviour = AtomicU8::new(default_behaviour as u8);
        let endpoint = Arc::new(Self {
            index,
            destination,
            address,
            behaviour,
            default_behaviour,
            network_delay,
            service_ms: Mutex::new(service_ms.clone()),
            default_service_ms: service_ms,
            history,
        });
        tokio::spawn(endpoint.clone().accept(listener));
        Ok(endpoint)
    }

    /// Its name in the list.
    #[must_use]
    pub fn name(&self) -> String {
        format!("s-{}", self.index)
    }

    /// Sets the behaviour from now on; `None` restores the default.
    pub fn set_behaviour(&self, behaviour: Option<Behaviour>) {
        self.behaviour.store(behaviour.unwrap_or(self.default_behaviour) as u8, Ordering::Relaxed);
    }

    /// Sets the time that a call takes from now on, in milliseconds; `None` restores the default.
    pub fn set_service_ms(&self, service_ms: Option<Range<u64>>) {
        let service_ms = service_ms.unwrap_or_else(|| self.default_service_ms.clone());
        *self.service_ms.lock().unwrap_or_else(PoisonError::into_inner) = service_ms;
    }

    fn draw_service_time(&self) -> Duration {
        let service_ms = self.service_ms.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Duration::from_millis(fastrand::u64(service_ms))
    }

    fn behaviour(&self) -> Behaviour {
        Behaviour::ALL[self.behaviour.load(Ordering::Relaxed) as usize]
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.behaviour() == Behaviour::Refusing {
                listener = None;
                sleep(ACCEPT_CHECK_INTERVAL).await;
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).await.ok();
                continue;
            };
            if let Ok(Ok((stream, _))) = timeout(ACCEPT_CHECK_INTERVAL, open.accept()).await {
                tokio::spawn(self.clone().serve(stream));
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut stream).await {
            let number = self.record_call(&call);
            let keeps_connection = self.respond(number, &mut stream).await;
            if !keeps_connection {
                return;
            }
        }
    }

    /// Records a call and returns its index in the records.
    fn record_call(&self, call: &HttpMessage) -> usize {
        let mut records = self.history.records();
        records.calls.push(EndpointCall {
            call_id: call.header("x-call-id").to_owned(),
            endpoint: self.index,
            destination: self.destination,
            idempotency_key: call.header("idempotency-key").to_owned(),
            first_byte_at: call.first_byte_at,
            arrived_at: call.complete_at,
            reply: None,
            closed_at: None,
        });
        records.calls.len() - 1
    }

    fn record_reply(&self, number: usize, reply: Reply) {
        self.history.records().calls[number].reply = Some((reply, Instant::now()));
    }

    fn record_close(&self, number: usize) {
        self.history.records().calls[number].closed_at = Some(Instant::now());
    }

    /// Answers a call; returns false if its connection has ended or must be closed.
    async fn respond(&self, number: usize, stream: &mut BufReader<TcpStream>) -> bool {
        let behaviour = self.behaviour();
        if behaviour == Behaviour::Hanging {
            self.wait_for_end(number, stream, HANG_TIME).await;
            return false;
        }
        let service_time = match behaviour {
            Behaviour::Slow => Duration::from_millis(fastrand::u64(100..900)),
            _ => self.draw_service_time(),
        };
        let response_time = service_time + self.network_delay.draw_round_trip();
        if self.wait_for_end(number, stream, response_time).await {
            return false;
        }
        match draw_reply(behaviour) {
            Reply::Reset => {
                self.record_reply(number, Reply::Reset);
                if behaviour == Behaviour::Odd {
                    let _ = stream.get_mut().write_all(PARTIAL_LINE).await;
                }
                let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                false
            }
            reply => self.write(number, reply, behaviour, stream).await,
        }
    }

    async fn write(
        &self,
        number: usize,
        reply: Reply,
        behaviour: Behaviour,
        stream: &mut BufReader<TcpStream>,
    ) -> bool {
        let text = response_text(reply);
        if matches!(behaviour, Behaviour::Odd | Behaviour::Trickling) {
            return self.write_in_pieces(number, reply, behaviour, stream.get_mut()).await;
        }
        // Recorded before the response is written, as a sender may act on the response before this task
        // continues.
        self.record_reply(number, reply);
        if behaviour == Behaviour::Excess {
            return self.write_with_excess_data(&text, stream).await.is_ok();
        }
        if behaviour == Behaviour::Bodies {
            return write_parts(stream.get_mut(), draw_body(&head_text(reply))).await.is_ok();
        }
        stream.get_mut().write_all(text.as_bytes()).await.is_ok()
    }

    /// Writes a response with its first line in two pieces, or one byte at a time. The reply is recorded before the end
    /// of the first line is written, as no sender can act on the response before that.
    async fn write_in_pieces(
        &self,
        number: usize,
        reply: Reply,
        behaviour: Behaviour,
        stream: &mut TcpStream,
    ) -> bool {
        let text = response_text(reply);
        let line_end = text.find('\n').unwrap_or(text.len());
        let (first_length, length, pause) = match behaviour {
            Behaviour::Trickling => (1, 1, TRICKLE_PAUSE),
            _ => (PARTIAL_LINE.len(), text.len(), PIECES_PAUSE),
        };
        let (first, rest) = text.as_bytes().split_at(first_length);
        let mut written = 0;
        for piece in std::iter::once(first).chain(rest.chunks(length)) {
            if (written..written + piece.len()).contains(&line_end) {
                self.record_reply(number, reply);
            }
            if stream.write_all(piece).await.is_err() {
                self.record_close(number);
                return false;
            }
            written += piece.len();
            if written < text.len() {
                sleep(pause).await;
            }
        }
        true
    }

    /// Writes a response, and after it data that belongs to no response. The data is sent only if no request has
    /// reached the endpoint's end of the network by then.
    async fn write_with_excess_data(
        &self,
        text: &str,
        stream: &mut BufReader<TcpStream>,
    ) -> std::io::Result<()> {
        let data = excess_data(text);
        let delay = EXCESS_DELAYS_US[fastrand::usize(0..EXCESS_DELAYS_US.len())];
        if delay == 0 {
            self.history.records().excess_sent += 1;
            return stream.get_mut().write_all(&[text.as_bytes(), &data].concat()).await;
        }
        stream.get_mut().write_all(text.as_bytes()).await?;
        if self.wait_until_excess_data_arrives(Duration::from_micros(delay), stream.get_ref()).await
            && stream.get_ref().try_write(&data).is_ok()
        {
            self.history.records().excess_sent += 1;
        }
        Ok(())
    }

    /// Waits until data arrives at the sender that is sent `delay` after a response. Returns whether no request had
    /// reached the endpoint when it was sent: one that a sender has written since half a round trip before the
    /// data was sent is still on its way, and crosses the data.
    async fn wait_until_excess_data_arrives(&self, delay: Duration, stream: &TcpStream) -> bool {
        let round_trip = self.network_delay.draw_round_trip();
        if round_trip.is_zero() {
            sleep(delay).await;
            return is_quiet(stream);
        }
        let delay = delay.min(MAX_CROSSING_EXCESS_DELAY);
        sleep(delay.saturating_sub(round_trip)).await;
        let was_quiet = is_quiet(stream) || delay < round_trip;
        sleep(delay.min(round_trip)).await;
        was_quiet
    }

    /// Waits for the end of the connection, up to the limit; returns whether it has ended.
    async fn wait_for_end(&self, number: usize, stream: &mut BufReader<TcpStream>, limit: Duration) -> bool {
        let has_ended = match timeout(limit, stream.fill_buf()).await {
            Ok(Ok(bytes)) => bytes.is_empty(),
            Ok(Err(_)) => true,
            Err(_) => false,
        };
        if has_ended {
            self.record_close(number);
        }
        has_ended
    }
}

/// Whether no data waits on a connection.
fn is_quiet(stream: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Writes a response in two parts, with a pause between them or without.
async fn write_parts(stream: &mut TcpStream, response: PartedResponse) -> std::io::Result<()> {
    if fastrand::bool() || response.end.is_empty() {
        return stream.write_all(&[response.start, response.end].concat()).await;
    }
    stream.write_all(&response.start).await?;
    sleep(Duration::from_millis(fastrand::u64(0..LONGEST_BODY_PAUSE_MS))).await;
    stream.write_all(&response.end).await
}
