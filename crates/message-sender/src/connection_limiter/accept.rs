//! Accepts connections while the limiter has slots for them.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{ConnectionLimiter, ConnectionSlot};
use crate::log_limit::LogLimit;

/// Minimum time between log lines about failed accepts.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed accept, because its cause, such as a lack of file descriptors, takes time to go away.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

impl ConnectionLimiter {
    /// Accepts connections until the future is dropped. Each connection gets its own task, which runs
    /// `handle`. That has to end the connection when its slot asks for it.
    pub async fn serve<F>(
        self: Rc<Self>,
        listener: TcpListener,
        handle: impl Fn(TcpStream, Rc<ConnectionSlot>) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        let failure_log = LogLimit::new(FAILURE_LOG_INTERVAL);
        loop {
            self.wait_for_slot().await;
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_handler(stream, &handle),
                Err(error) => {
                    if let Some(failures) = failure_log.count() {
                        tracing::warn!(%error, failures, "connection was not accepted");
                    }
                    sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    fn spawn_handler<F>(
        self: &Rc<Self>,
        stream: TcpStream,
        handle: &impl Fn(TcpStream, Rc<ConnectionSlot>) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        // The slot is occupied here and not in the task, so that each open connection is counted before the
        // next one is accepted.
        let occupied = self.occupy();
        let handler = handle(stream, occupied.slot());
        tokio::task::spawn_local(async move {
            handler.await;
            drop(occupied);
        });
    }
}
