//! Lines from the simulator, and their conversion to the controller's events.

use std::collections::BTreeMap;

use base64::prelude::{Engine, BASE64_STANDARD};
use delivery_control::{AttemptEnd, AttemptOutcome, Event, LoadReport, MessageSubmission, Micros};
use deployment_config::time::{micros_from_millis, micros_or_zero};
use deployment_config::{load_report, Config, Names};
use serde::Deserialize;

use crate::endpoint_list::{ListKind, ListedEndpoint};

#[cfg(test)]
mod tests;

/// Why a line cannot be converted to an event.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The settings do not list the class.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// The settings do not list the tenant.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
    /// The tenant is a number other than 0. Tenants are given by name; the only valid number is 0, for no
    /// tenant.
    #[error("unknown tenant {0}")]
    TenantNumber(u64),
    /// The content of a note is not valid base64.
    #[error("field `blob`: {0}")]
    NoteEncoding(#[from] base64::DecodeError),
}

/// A line from the simulator. Fields that end in `_ms` are in milliseconds.
#[derive(Deserialize)]
#[serde(tag = "event_type")]
pub enum IncomingLine {
    /// A batch starts.
    #[serde(rename = "round")]
    BatchStart(BatchStart),
    /// The batch ends; a reply is expected.
    #[serde(rename = "overToYou")]
    BatchEnd,
    /// An instance starts.
    #[serde(rename = "attach")]
    Attach(InstanceStart),
    /// An instance is killed.
    #[serde(rename = "powerOff")]
    Detach(InstanceEnd),
    /// A list of endpoints that later lines refer to by number.
    #[serde(rename = "catalog")]
    Catalog(Catalog),
    /// The endpoint list of an instance changed, or could not be fetched.
    #[serde(rename = "update")]
    EndpointList(EndpointListLine),
    /// A client submitted a message.
    #[serde(rename = "jobIn")]
    Message(Box<MessageLine>),
    /// A streamed response started.
    #[serde(rename = "ackFirst")]
    ResponseStarted(ResponseStartLine),
    /// An attempt ended.
    #[serde(rename = "completed")]
    AttemptEnded(Box<AttemptEndLine>),
    /// The client withdrew a message.
    #[serde(rename = "abandoned")]
    Withdrawn(WithdrawalLine),
    /// A timer fired.
    #[serde(rename = "elapsed")]
    TimerFired(TimerLine),
    /// A probe ended.
    #[serde(rename = "statusBack")]
    ProbeEnded(ProbeEndLine),
    /// Another sender sent a note.
    #[serde(rename = "whisper")]
    Note(NoteLine),
}

/// The start of a batch.
#[derive(Deserialize)]
pub struct BatchStart {
    /// Time of the batch on the simulator's clock, in milliseconds.
    #[serde(rename = "tMs")]
    time_ms: f64,
    /// Number of the batch, repeated in the last line of the reply.
    pub round: u64,
}

/// The start of an instance.
#[derive(Deserialize)]
pub struct InstanceStart {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    /// Seed of its random number generator.
    #[serde(rename = "initSeed")]
    pub seed: u64,
    /// Its settings.
    pub config: Box<Config>,
}

/// The end of an instance.
#[derive(Deserialize)]
pub struct InstanceEnd {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
}

/// A list of endpoints, and the number by which an [`EndpointListLine`] refers to it.
#[derive(Deserialize)]
pub struct Catalog {
    /// Number of the catalog; a later catalog with the same number replaces it.
    #[serde(rename = "buffer")]
    pub number: u64,
    /// The endpoints.
    #[serde(rename = "nodesList")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint list for an instance.
#[derive(Deserialize)]
pub struct EndpointListLine {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    /// Which endpoints the list contains.
    #[serde(rename = "how")]
    pub kind: ListKind,
    /// Version of the list, if it has one.
    #[serde(rename = "gen")]
    pub version: Option<u64>,
    /// Number of the catalog that holds the endpoints; a list that could not be fetched needs none.
    #[serde(rename = "buffer")]
    pub catalog: Option<u64>,
}

/// A message that a client submitted. Fields without a comment are described in [`MessageSubmission`]; class
/// and tenant are given by name.
#[derive(Deserialize)]
pub struct MessageLine {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "req")]
    id: u64,
    #[serde(rename = "service")]
    class: String,
    /// Whether the client marked the message as a retry of its own.
    #[serde(rename = "resent")]
    repeat: Option<bool>,
    #[serde(rename = "mutates")]
    write: Option<bool>,
    #[serde(rename = "farEnd")]
    destination: u64,
    /// Whether a sender that died had accepted the message before.
    returned: Option<bool>,
    #[serde(rename = "project")]
    tenant: Option<TenantReference>,
    #[serde(rename = "timeLeftMs")]
    time_left_ms: f64,
    /// Estimate of the message's processing time at the destination, if known.
    #[serde(rename = "costGuessMs")]
    work_ms: Option<f64>,
    #[serde(rename = "entity")]
    order_key: Option<String>,
}

/// The name of a tenant, or the number 0 for no tenant.
#[derive(Deserialize)]
#[serde(untagged, expecting = "field `project` is neither a name nor a number")]
enum TenantReference {
    Name(String),
    Number(u64),
}

/// The start of a streamed response.
#[derive(Deserialize)]
pub struct ResponseStartLine {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "req")]
    id: u64,
    attempt: u32,
}

/// The end of an attempt. Fields without a comment are described in [`AttemptEnd`].
#[derive(Deserialize)]
pub struct AttemptEndLine {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "req")]
    id: u64,
    endpoint: u64,
    attempt: u32,
    /// Whether the message ended with this attempt.
    #[serde(rename = "last")]
    is_final: bool,
    #[serde(rename = "elapsedMs")]
    elapsed_ms: Option<f64>,
    #[serde(rename = "code")]
    outcome: OutcomeCode,
    #[serde(rename = "holdMs")]
    retry_after_ms: Option<f64>,
    #[serde(rename = "telemetry")]
    load_report: Option<LoadValues>,
}

/// The withdrawal of a message.
#[derive(Deserialize)]
pub struct WithdrawalLine {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "req")]
    id: u64,
}

/// A timer that fired.
#[derive(Deserialize)]
pub struct TimerLine {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "ctx")]
    token: u64,
}

/// The end of a probe. Fields without a comment are described in [`Event::ProbeEnded`].
#[derive(Deserialize)]
pub struct ProbeEndLine {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "code")]
    outcome: OutcomeCode,
    #[serde(rename = "elapsedMs")]
    elapsed_ms: Option<f64>,
    endpoint: u64,
    #[serde(rename = "telemetry")]
    load_report: Option<LoadValues>,
}

/// A note from another sender.
#[derive(Deserialize)]
pub struct NoteLine {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "srcPeer")]
    from: u32,
    #[serde(rename = "blob")]
    base64: String,
}

/// The values of a load report by their names on the wire.
type LoadValues = BTreeMap<String, f64>;

/// How an attempt or a probe ended.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
enum OutcomeCode {
    #[serde(rename = "S")]
    Delivered,
    #[serde(rename = "E")]
    Error,
    #[serde(rename = "F")]
    Rejected,
    #[serde(rename = "T")]
    Timeout,
    #[serde(rename = "C")]
    ConnectFailed,
    #[serde(rename = "R")]
    Reset,
    #[serde(rename = "X")]
    Cancelled,
    #[serde(rename = "N")]
    NotSent,
}

impl From<OutcomeCode> for AttemptOutcome {
    fn from(code: OutcomeCode) -> Self {
        match code {
            OutcomeCode::Delivered => Self::Delivered,
            OutcomeCode::Error => Self::Error,
            OutcomeCode::Rejected => Self::Rejected,
            OutcomeCode::Timeout => Self::Timeout,
            OutcomeCode::ConnectFailed => Self::ConnectFailed,
            OutcomeCode::Reset => Self::Reset,
            OutcomeCode::Cancelled => Self::Cancelled,
            OutcomeCode::NotSent => Self::NotSent,
        }
    }
}

fn decode_load_report(values: Option<LoadValues>) -> Option<LoadReport> {
    values.map(|values| load_report(|name| values.get(name).copied()))
}

impl BatchStart {
    /// The time of the batch, in µs on the simulator's clock.
    pub fn time(&self) -> Micros {
        micros_from_millis(self.time_ms)
    }
}

impl MessageLine {
    /// Converts the line to an event.
    pub fn into_event(self, names: &Names) -> Result<Event, EventError> {
        let class = names.class(&self.class).ok_or_else(|| EventError::UnknownClass(self.class.clone()))?;
        let tenant = self.tenant(names)?;
        Ok(Event::MessageSubmitted(MessageSubmission {
            id: self.id,
            class,
            tenant,
            destination: self.destination,
            time_left: micros_from_millis(self.time_left_ms),
            work: self.work_ms.map(micros_from_millis),
            order_key: self.order_key,
            returned: self.returned.unwrap_or(false),
            repeat: self.repeat.unwrap_or(false),
            write: self.write.unwrap_or(false),
        }))
    }

    fn tenant(&self, names: &Names) -> Result<Option<usize>, EventError> {
        match &self.tenant {
            None | Some(TenantReference::Number(0)) => Ok(None),
            Some(TenantReference::Number(number)) => Err(EventError::TenantNumber(*number)),
            Some(TenantReference::Name(name)) => match names.tenant(name) {
                Some(tenant) => Ok(Some(tenant)),
                None => Err(EventError::UnknownTenant(name.clone())),
            },
        }
    }
}

impl ResponseStartLine {
    /// Converts the line to an event.
    pub fn into_event(self) -> Event {
        Event::ResponseStarted { id: self.id, attempt: self.attempt }
    }
}

impl AttemptEndLine {
    /// Converts the line to an event. A Retry-After is taken only from a rejection.
    pub fn into_event(self) -> Event {
        let is_rejected = self.outcome == OutcomeCode::Rejected;
        Event::AttemptEnded(AttemptEnd {
            id: self.id,
            attempt: self.attempt,
            endpoint: self.endpoint,
            outcome: self.outcome.into(),
            elapsed: micros_or_zero(self.elapsed_ms),
            // The simulator counts every attempt towards the limit of attempts.
            was_started: true,
            is_final: self.is_final,
            retry_after: if is_rejected { micros_or_zero(self.retry_after_ms) } else { 0 },
            load_report: decode_load_report(self.load_report),
        })
    }
}

impl WithdrawalLine {
    /// Converts the line to an event.
    pub fn into_event(self) -> Event {
        Event::MessageWithdrawn { id: self.id }
    }
}

impl TimerLine {
    /// Converts the line to an event.
    pub fn into_event(self) -> Event {
        Event::TimerFired { token: self.token }
    }
}

impl ProbeEndLine {
    /// Converts the line to an event.
    pub fn into_event(self) -> Event {
        Event::ProbeEnded {
            endpoint: self.endpoint,
            outcome: self.outcome.into(),
            elapsed: micros_or_zero(self.elapsed_ms),
            load_report: decode_load_report(self.load_report),
        }
    }
}

impl NoteLine {
    /// Converts the line to an event.
    pub fn into_event(self) -> Result<Event, EventError> {
        let bytes = BASE64_STANDARD.decode(self.base64)?;
        Ok(Event::NoteReceived { from: self.from, bytes })
    }
}
