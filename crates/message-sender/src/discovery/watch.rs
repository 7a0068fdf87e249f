//! The watch on the endpoint list: an endless sequence of long polls.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use super::backoff::Backoff;
use super::client::{DiscoveryAddress, DiscoveryClient};
use super::failure_log::FailureLog;
use super::poll::Poll;
use super::poll_policy::PollPolicy;
use crate::endpoint_list::EndpointList;
use crate::event::SenderEvent;

/// Watches the endpoint list and sends each list to the event loop; returns when the event loop has ended. A
/// new address ends the watch at the old one and closes its connection, so that no list from the old address
/// can arrive after one from the new address.
///
/// `known_version` is the version of the list that the process already knows, if any.
pub async fn watch(
    mut addresses: DiscoveryAddress,
    events: mpsc::Sender<SenderEvent>,
    policy: PollPolicy,
    known_version: Option<u64>,
) {
    let mut watcher = ListWatcher::new(events, policy, known_version);
    // A sender that knows a list can deliver messages with it during the delay. A later change of address is
    // followed by a poll at once, since the list there may be newer.
    if known_version.is_some() {
        sleep(watcher.backoff.initial_delay()).await;
    }
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            biased;
            Ok(()) = addresses.changed() => watcher.move_to_new_address(),
            () = watcher.watch_address(address) => return,
        }
    }
}

/// Polls once for the changes since a version. `None` if discovery does not respond within `limit`, or no longer
/// knows that version.
pub async fn poll_changes(
    address: SocketAddr,
    known_version: Option<u64>,
    limit: Duration,
) -> Option<EndpointList> {
    let mut client = DiscoveryClient::new(address);
    let poll = Poll::new_watch(known_version);
    let list = timeout(limit, poll.send(&mut client)).await.ok()?.ok()?;
    (!poll.is_version_reset(&list) && !poll.is_stale(&list)).then_some(list)
}

/// The state that is kept when the address changes.
struct ListWatcher {
    events: mpsc::Sender<SenderEvent>,
    backoff: Backoff,
    failure_log: FailureLog,
    /// The version of the last known list, if any.
    known_version: Option<u64>,
    /// When to request a snapshot after a change of address: the new address may count versions
    /// independently, and its count may be beyond the known version.
    snapshot_due: Option<Instant>,
}

impl ListWatcher {
    fn new(events: mpsc::Sender<SenderEvent>, policy: PollPolicy, known_version: Option<u64>) -> Self {
        let backoff = Backoff::new(policy, fastrand::Rng::new());
        Self { events, backoff, failure_log: FailureLog::default(), known_version, snapshot_due: None }
    }

    /// Prepares the watch at a new address. Failures at the old address indicate nothing about the new one.
    /// In most cases the same service has moved: changes cost it little, and a snapshot is requested after
    /// a random delay, so that not all senders request one at the same time.
    fn move_to_new_address(&mut self) {
        self.backoff.reset();
        self.snapshot_due = Some(Instant::now() + self.backoff.snapshot_delay());
    }

    /// Watches the list at one address, from the known version, or from a snapshot if no version is known.
    /// Returns when the event loop has ended.
    ///
    /// The next poll is sent at once after each response. A later poll would start a new watch, and the
    /// platform would assume that this sender knows the changes in between although it does not. New
    /// watches are what costs discovery most; an additional first poll for a snapshot would be one more.
    async fn watch_address(&mut self, address: SocketAddr) {
        let mut client = DiscoveryClient::new(address);
        let mut poll = Poll::new_watch(self.known_version);
        loop {
            if self.snapshot_due.is_some_and(|due| due <= Instant::now()) {
                poll.request_snapshot();
            }
            let started = Instant::now();
            match poll.send(&mut client).await {
                Ok(list) if poll.is_version_reset(&list) => {
                    let requested_after = poll.after();
                    tracing::warn!(version = list.version, ?requested_after, "endpoint list version reset");
                    poll.request_snapshot();
                }
                Ok(list) if poll.is_stale(&list) => {
                    tracing::warn!(version = list.version, "endpoint list is no newer than the known one");
                    // What follows on this connection may belong to an earlier poll as well.
                    client.record_excess_data();
                    poll.request_snapshot();
                }
                Ok(list) => {
                    poll.continue_watch(list.version, self.backoff.long_poll_wait());
                    self.record_response(&list);
                    if self.events.send(SenderEvent::EndpointListReceived(list)).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    self.failure_log.record_poll(&error);
                    sleep(self.backoff.next_delay(error.kind(), started.elapsed())).await;
                    poll.restart_watch();
                }
            }
        }
    }

    fn record_response(&mut self, list: &EndpointList) {
        self.known_version = Some(list.version);
        if list.is_snapshot {
            self.snapshot_due = None;
        }
        tracing::info!(
            version = list.version,
            snapshot = list.is_snapshot,
            endpoints = list.endpoints.len(),
            failures = self.backoff.failures(),
            "endpoint list received"
        );
        self.backoff.reset();
    }
}
