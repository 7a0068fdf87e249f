//! Accepts connections as far as the limiter has slots.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{ConnectionLimiter, ConnectionSlot};
use crate::log_limit::LogLimit;

/// Least time between log lines on failed accepts.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed accept: its cause, such as a lack of descriptors, will not be gone at once.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

impl ConnectionLimiter {
    /// Accepts connections until it is dropped, and runs `handle` for each in a task of its own, until that
    /// ends or the limiter closes the connection.
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
        // Before the next connection is accepted, so that all that are open are counted.
        let occupied = self.occupy();
        let handler = handle(stream, occupied.slot());
        tokio::task::spawn_local(async move {
            let slot = occupied.slot();
            tokio::select! {
                () = handler => {}
                () = slot.wait_until_closed() => {
                    tracing::debug!(reason = ?slot.close_reason(), "client connection closed here");
                }
            }
        });
    }
}
