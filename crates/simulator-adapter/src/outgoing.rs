//! Lines to the simulator: the controller's actions, reports of panics, and the ends of replies.

use std::any::Any;

use base64::prelude::{Engine, BASE64_STANDARD};
use delivery_control::Action;
use deployment_config::time::millis_from_micros;
use serde::Serialize;

#[cfg(test)]
mod tests;

/// Target of a note to all senders on the wire; other targets are the ordinals of single senders.
const ALL_SENDERS: i64 = -1;

/// Text reported for a panic whose payload is not a string.
const NO_PANIC_MESSAGE: &str = "panic without text";

/// A line to the simulator. Every variant except `Panic` and `ReplyEnd` represents an [`Action`], which
/// describes the fields. Fields that end in `_ms` are in milliseconds.
#[derive(Serialize)]
#[serde(tag = "event_type")]
enum OutgoingLine<'a> {
    #[serde(rename = "try")]
    Send {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "req")]
        id: u64,
        endpoint: u64,
        #[serde(rename = "withinMs")]
        timeout_ms: f64,
    },
    #[serde(rename = "retract")]
    Cancel {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "req")]
        id: u64,
        attempt: u32,
    },
    #[serde(rename = "bounce")]
    Reject {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "req")]
        id: u64,
        #[serde(rename = "backoffMs")]
        retry_after_ms: f64,
    },
    #[serde(rename = "reportFailure")]
    Fail {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "req")]
        id: u64,
    },
    #[serde(rename = "timer")]
    SetTimer {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "fireAtMs")]
        at_ms: f64,
        #[serde(rename = "ctx")]
        token: u64,
    },
    #[serde(rename = "soundOut")]
    Probe {
        #[serde(rename = "i")]
        instance: u64,
        endpoint: u64,
    },
    #[serde(rename = "shutIdle")]
    CloseIdle {
        #[serde(rename = "i")]
        instance: u64,
        endpoint: u64,
    },
    #[serde(rename = "tell")]
    SendNote {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "target")]
        to: i64,
        #[serde(rename = "blob")]
        base64: String,
    },
    #[serde(rename = "follow")]
    Subscribe {
        #[serde(rename = "i")]
        instance: u64,
        on: bool,
    },
    #[serde(rename = "readList")]
    FetchList {
        #[serde(rename = "i")]
        instance: u64,
    },
    #[serde(rename = "writeLog")]
    Log {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "reasonText")]
        text: String,
    },
    #[serde(rename = "panic")]
    Panic {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "reasonText")]
        text: &'a str,
    },
    #[serde(rename = "ready")]
    ReplyEnd { round: u64 },
}

impl OutgoingLine<'_> {
    fn from_action(instance: u64, action: Action) -> Self {
        match action {
            // The simulator counts attempts by itself. `start_deadline` is not needed: in the simulator, an
            // attempt begins at the moment it is sent.
            Action::Send { id, attempt: _, endpoint, timeout, start_deadline: _ } => {
                Self::Send { instance, id, endpoint, timeout_ms: millis_from_micros(timeout) }
            }
            Action::Cancel { id, attempt } => Self::Cancel { instance, id, attempt },
            Action::Reject { id, retry_after } => {
                Self::Reject { instance, id, retry_after_ms: millis_from_micros(retry_after) }
            }
            Action::Fail { id } => Self::Fail { instance, id },
            Action::SetTimer { at, token } => {
                Self::SetTimer { instance, at_ms: millis_from_micros(at), token }
            }
            Action::Probe { endpoint } => Self::Probe { instance, endpoint },
            Action::CloseIdle { endpoint } => Self::CloseIdle { instance, endpoint },
            Action::SendNote { to, bytes } => Self::SendNote {
                instance,
                to: to.map_or(ALL_SENDERS, i64::from),
                base64: BASE64_STANDARD.encode(bytes),
            },
            Action::Subscribe { on } => Self::Subscribe { instance, on },
            Action::FetchList => Self::FetchList { instance },
            Action::ReportBacklog(report) => Self::Log { instance, text: report.to_string() },
        }
    }

    fn append_to(&self, reply: &mut String) {
        // Serialization cannot fail: all fields are numbers, booleans or strings.
        reply.push_str(&serde_json::to_string(self).unwrap_or_default());
        reply.push('\n');
    }
}

/// Appends the line for an action to a reply.
pub fn append_action(reply: &mut String, instance: u64, action: Action) {
    OutgoingLine::from_action(instance, action).append_to(reply);
}

/// Appends the line that reports a panic in the controller.
pub fn append_panic(reply: &mut String, instance: u64, payload: &(dyn Any + Send)) {
    OutgoingLine::Panic { instance, text: panic_message(payload) }.append_to(reply);
}

/// Appends the line that ends a reply.
pub fn append_reply_end(reply: &mut String, round: u64) {
    OutgoingLine::ReplyEnd { round }.append_to(reply);
}

/// The message of a panic. The payload is a `String` if the message was formatted, and a `&str` if it is a
/// literal.
fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(text) = payload.downcast_ref::<String>() {
        return text;
    }
    payload.downcast_ref::<&str>().copied().unwrap_or(NO_PANIC_MESSAGE)
}
