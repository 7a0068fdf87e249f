//! One poll of the endpoint list: a long poll for changes, or a request for a snapshot.

use std::time::Duration;

use hyper::StatusCode;

use super::client::DiscoveryClient;
use super::error::DiscoveryError;
use crate::endpoint_list::EndpointList;

/// Timeout of the response to a poll that starts a watch or requests a snapshot. It is longer than
/// discovery keeps a request in its queue (2 s), so that discovery does not waste work on a response that
/// the sender no longer waits for.
pub const NEW_WATCH_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How long the first poll of a watch waits for a change. It is short, since the response confirms that the
/// known list is up to date and should therefore arrive soon.
pub const NEW_WATCH_WAIT: Duration = Duration::from_millis(50);
/// Timeout of the response to a poll that continues a watch, in addition to the wait for a change. Discovery
/// responds without further delay, since the poll is not a new watch.
pub const CONTINUED_WATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The parameters of the next poll.
pub struct Poll {
    /// The version after which changes are requested; `None` requests a snapshot.
    after: Option<u64>,
    /// How long discovery waits for a change before it responds.
    wait: Duration,
    /// How long the response may take in addition to `wait`.
    response_timeout: Duration,
}

impl Poll {
    /// Starts a watch with the changes after a version, or with a snapshot if there is no version.
    pub fn new_watch(after: Option<u64>) -> Self {
        Self { after, wait: NEW_WATCH_WAIT, response_timeout: NEW_WATCH_TIMEOUT }
    }

    /// The version after which changes are requested; `None` for a snapshot.
    pub fn after(&self) -> Option<u64> {
        self.after
    }

    /// Continues the watch after a response with this version: the next poll waits up to `wait` for a change.
    pub fn continue_watch(&mut self, version: u64, wait: Duration) {
        self.after = Some(version);
        self.wait = wait;
        self.response_timeout = CONTINUED_WATCH_TIMEOUT;
    }

    /// Starts a new watch after a failure, from the same version; its first poll waits only for
    /// [`NEW_WATCH_WAIT`].
    pub fn restart_watch(&mut self) {
        *self = Self::new_watch(self.after);
    }

    /// Makes the next poll request a snapshot, with the timeout of a new watch.
    pub fn request_snapshot(&mut self) {
        *self = Self::new_watch(None);
    }

    /// Whether a list shows that discovery has restarted its version count, so that the changes since the
    /// requested version are unknown.
    pub fn is_version_reset(&self, list: &EndpointList) -> bool {
        !list.is_snapshot && self.after.is_some_and(|after| list.version < after)
    }

    /// Whether a list that brings entries is no newer than the requested version, so that it cannot be the
    /// response to this poll. It may be a second copy of the last one.
    pub fn is_stale(&self, list: &EndpointList) -> bool {
        self.after == Some(list.version) && !list.endpoints.is_empty()
    }

    /// Sends the poll and returns the list in the response.
    pub async fn send(&self, client: &mut DiscoveryClient) -> Result<EndpointList, DiscoveryError> {
        let response = match self.after {
            None => client.get("/v1/servers", self.response_timeout).await?,
            Some(after) => {
                let path = format!("/v1/servers?after={after}&wait_ms={}", self.wait.as_millis());
                client.get(&path, self.response_timeout + self.wait).await?
            }
        };
        let body = response.into_body(StatusCode::OK)?;
        Ok(serde_json::from_slice(&body)?)
    }
}
