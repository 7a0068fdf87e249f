//! One poll of the endpoint list: a long poll for what has changed, or a request for a snapshot.

use std::time::Duration;

use hyper::StatusCode;

use super::client::DiscoveryClient;
use super::error::DiscoveryError;
use crate::endpoint_list::EndpointList;

/// How long the response to a new watch, or with a snapshot, may take: longer than discovery lets a request
/// wait in its queue (2 s), so that its work on a response is not wasted.
pub const NEW_WATCH_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How long the first poll of a watch waits for a change: its response should come at once, since it
/// confirms that the known list is up to date.
pub const NEW_WATCH_WAIT: Duration = Duration::from_millis(50);
/// How long, beyond its wait, the response to a poll that continues a watch may take: it comes at once, since
/// it is no new watch.
pub const CONTINUED_WATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The parameters of the next poll.
pub struct Poll {
    /// The version after which changes are requested; without one, a snapshot is requested.
    after: Option<u64>,
    /// How long discovery waits for a change before it responds.
    wait: Duration,
    /// How long the response may take beyond that wait.
    response_timeout: Duration,
}

impl Poll {
    /// Begins a watch with the changes after a version, or else with a snapshot.
    pub fn new_watch(after: Option<u64>) -> Self {
        Self { after, wait: NEW_WATCH_WAIT, response_timeout: NEW_WATCH_TIMEOUT }
    }

    /// The version after which changes are requested.
    pub fn after(&self) -> Option<u64> {
        self.after
    }

    /// Continues the watch after a response with this version, with a poll that waits for the next change.
    pub fn continue_watch(&mut self, version: u64, wait: Duration) {
        self.after = Some(version);
        self.wait = wait;
        self.response_timeout = CONTINUED_WATCH_TIMEOUT;
    }

    /// Begins a new watch after a failure: its first response again comes at once.
    pub fn restart_watch(&mut self) {
        *self = Self::new_watch(self.after);
    }

    /// Requests a snapshot next, which may take as long as a new watch.
    pub fn request_snapshot(&mut self) {
        *self = Self::new_watch(None);
    }

    /// Whether a response shows that discovery has started to count versions anew, so that what changed since
    /// the requested one is unknown.
    pub fn is_version_reset(&self, list: &EndpointList) -> bool {
        !list.is_snapshot && self.after.is_some_and(|after| list.version < after)
    }

    /// Sends the poll and waits for the list.
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
