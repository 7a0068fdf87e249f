//! Peers that occupy connections: a crowd that holds them, and one that opens them without pause.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::client::LoadControl;
use crate::settings::MAX_DESCRIPTORS;

/// Number of connections that the crowd holds: more than a sender has descriptors.
const HELD_CONNECTIONS: usize = MAX_DESCRIPTORS + 44;
/// Pause between two connections of the crowd that holds them.
const HOLD_PAUSE: Duration = Duration::from_millis(2);
/// Pause between two connections of the crowd that closes them at once.
const CHURN_PAUSE: Duration = Duration::from_millis(1);
/// Pause while neither crowd is switched on.
const IDLE_PAUSE: Duration = Duration::from_millis(50);
/// Time limit for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens connections to a sender while that is switched on, until the load stops.
pub async fn run_crowd(address: SocketAddr, load_control: Arc<LoadControl>) {
    let mut held = std::collections::VecDeque::new();
    while !load_control.is_stopped() {
        let holds = load_control.hold.load(Ordering::Relaxed);
        let churns = load_control.churn.load(Ordering::Relaxed);
        if !holds {
            held.clear();
        }
        if !holds && !churns {
            sleep(IDLE_PAUSE).await;
            continue;
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let (true, Ok(Ok(stream))) = (holds, connected) {
            held.push_back(stream);
            held.truncate(HELD_CONNECTIONS);
        }
        sleep(if holds { HOLD_PAUSE } else { CHURN_PAUSE }).await;
    }
}
