//! The endpoints: each answers calls as the faults that are on at the moment say.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

use crate::history::{EndpointCall, History, Reply};
use crate::http::{read_message, HttpMessage};

/// How long an endpoint keeps a connection that hangs.
const HANG_TIME: Duration = Duration::from_secs(20);
/// Pause between the bytes of an answer that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(8);

/// What an endpoint is like at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Behaviour {
    /// It delivers within some milliseconds.
    Healthy,
    /// A third of the calls ends with an error or a reset.
    Flaky,
    /// Most calls are rejected, with a wait.
    Limited,
    /// Nothing is answered.
    Hanging,
    /// Each connection is reset after the call.
    Resetting,
    /// Answers come a byte at a time.
    Trickling,
    /// Answers come late.
    Slow,
}

impl Behaviour {
    const ALL: [Self; 7] = [
        Self::Healthy,
        Self::Flaky,
        Self::Limited,
        Self::Hanging,
        Self::Resetting,
        Self::Trickling,
        Self::Slow,
    ];
}

/// An endpoint, which listens until the value and its tasks are dropped.
pub struct Endpoint {
    /// Its number, which its name contains.
    pub index: usize,
    /// Where it belongs.
    pub destination: u64,
    /// Where it listens.
    pub address: SocketAddr,
    behaviour: AtomicU8,
    usual: Behaviour,
    history: Arc<History>,
}

impl Endpoint {
    /// Starts an endpoint that behaves as usual.
    ///
    /// # Errors
    ///
    /// No address is free.
    pub async fn start(
        index: usize,
        destination: u64,
        usual: Behaviour,
        history: Arc<History>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let behaviour = AtomicU8::new(usual as u8);
        let endpoint = Arc::new(Self { index, destination, address, behaviour, usual, history });
        tokio::spawn(endpoint.clone().accept(listener));
        Ok(endpoint)
    }

    /// Its name in the list.
    #[must_use]
    pub fn name(&self) -> String {
        format!("s-{}", self.index)
    }

    /// Has it behave so from now on; the usual way without an argument.
    pub fn set_behaviour(&self, behaviour: Option<Behaviour>) {
        self.behaviour.store(behaviour.unwrap_or(self.usual) as u8, Ordering::Relaxed);
    }

    fn behaviour(&self) -> Behaviour {
        Behaviour::ALL[self.behaviour.load(Ordering::Relaxed) as usize]
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.clone().serve(stream));
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut stream).await {
            let number = self.record_call(&call);
            let ended = self.answer(number, &mut stream).await;
            if !ended {
                return;
            }
        }
    }

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

    /// Answers a call; false if its connection has ended.
    async fn answer(&self, number: usize, stream: &mut BufReader<TcpStream>) -> bool {
        let behaviour = self.behaviour();
        if behaviour == Behaviour::Hanging {
            self.wait_for_end(number, stream, HANG_TIME).await;
            return false;
        }
        let work = match behaviour {
            Behaviour::Slow => Duration::from_millis(fastrand::u64(100..900)),
            _ => Duration::from_millis(fastrand::u64(2..30)),
        };
        if self.wait_for_end(number, stream, work).await {
            return false;
        }
        match draw_reply(behaviour) {
            Reply::Reset => {
                self.record_reply(number, Reply::Reset);
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
        let text = answer_text(reply);
        // A sender that reads the answer may act on it before this task goes on.
        self.record_reply(number, reply);
        if behaviour != Behaviour::Trickling {
            return stream.get_mut().write_all(text.as_bytes()).await.is_ok();
        }
        for byte in text.as_bytes() {
            if stream.get_mut().write_all(&[*byte]).await.is_err() {
                return false;
            }
            sleep(TRICKLE_PAUSE).await;
        }
        true
    }

    /// Waits for the connection's end, for so long at most; whether it has come.
    async fn wait_for_end(&self, number: usize, stream: &mut BufReader<TcpStream>, limit: Duration) -> bool {
        let has_ended = match timeout(limit, stream.fill_buf()).await {
            Ok(Ok(bytes)) => bytes.is_empty(),
            Ok(Err(_)) => true,
            Err(_) => false,
        };
        if has_ended {
            self.history.records().calls[number].closed_at = Some(Instant::now());
        }
        has_ended
    }
}

fn draw_reply(behaviour: Behaviour) -> Reply {
    let chance = fastrand::f64();
    match behaviour {
        Behaviour::Flaky if chance < 0.2 => Reply::Error,
        Behaviour::Flaky if chance < 0.35 => Reply::Reset,
        Behaviour::Limited if chance < 0.45 => {
            Reply::Rejected { retry_after: Some(Duration::from_millis(fastrand::u64(150..700))) }
        }
        Behaviour::Limited if chance < 0.65 => Reply::Rejected { retry_after: None },
        Behaviour::Resetting => Reply::Reset,
        _ => Reply::Delivered,
    }
}

fn answer_text(reply: Reply) -> String {
    match reply {
        Reply::Delivered => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned(),
        Reply::Rejected { retry_after: Some(wait) } => format!(
            "HTTP/1.1 429 Limited\r\nX-Come-Back-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            wait.as_millis()
        ),
        Reply::Rejected { retry_after: None } => {
            "HTTP/1.1 503 Busy\r\nX-Load-Report: x0=0.0\r\nContent-Length: 0\r\n\r\n".to_owned()
        }
        Reply::Error | Reply::Reset => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
    }
}
