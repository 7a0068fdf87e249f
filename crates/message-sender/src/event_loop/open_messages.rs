//! The messages that have been accepted and have not ended.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use delivery_control::{DestinationId, MessageId, Micros};

/// How a message came to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageOrigin {
    /// A client submitted it.
    Submitted,
    /// An earlier process accepted it.
    Recovered,
}

/// An open message: what its attempts need, and what is logged about it.
pub struct OpenMessage {
    /// The id that the client gave the message.
    pub call_id: String,
    /// Index of its class in the settings.
    pub class: usize,
    /// The idempotency key that is sent with each attempt, if the client gave one.
    pub idempotency_key: Option<String>,
    /// Where it is to be delivered.
    pub destination: DestinationId,
    /// The body of the message.
    pub body: Bytes,
    /// Whether an attempt of it was made, by this process or an earlier one. The controller counts them.
    pub is_attempted: bool,
    /// When this process accepted or recovered it, in microseconds of the journal's clock.
    pub accepted_at: Micros,
    /// When it must have ended, in microseconds of the journal's clock.
    pub deadline: Micros,
    /// How it came to this process.
    pub origin: MessageOrigin,
}

/// The open messages, by their id and by the id that the client gave.
#[derive(Default)]
pub struct OpenMessages {
    messages: BTreeMap<MessageId, OpenMessage>,
    /// Length of all bodies together, in bytes.
    body_bytes: usize,
    ids_by_call_id: HashMap<String, MessageId>,
}

impl OpenMessages {
    /// Adds a message.
    pub fn insert(&mut self, id: MessageId, message: OpenMessage) {
        self.ids_by_call_id.insert(message.call_id.clone(), id);
        self.body_bytes += message.body.len();
        self.messages.insert(id, message);
    }

    /// Removes a message that has ended.
    pub fn remove(&mut self, id: MessageId) -> Option<OpenMessage> {
        let message = self.messages.remove(&id)?;
        self.ids_by_call_id.remove(&message.call_id);
        self.body_bytes -= message.body.len();
        Some(message)
    }

    /// The message with this id, if it is open.
    pub fn get(&self, id: MessageId) -> Option<&OpenMessage> {
        self.messages.get(&id)
    }

    /// Mutable access to the message with this id, if it is open.
    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut OpenMessage> {
        self.messages.get_mut(&id)
    }

    /// Whether the message is open.
    pub fn contains(&self, id: MessageId) -> bool {
        self.messages.contains_key(&id)
    }

    /// The id of the open message to which its client gave this call id.
    pub fn find_by_call_id(&self, call_id: &str) -> Option<MessageId> {
        self.ids_by_call_id.get(call_id).copied()
    }

    /// Length of the bodies of all open messages together, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Number of open messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether no message is open.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// The destination of each open message, in the order in which the messages were accepted.
    pub fn destinations(&self) -> impl ExactSizeIterator<Item = DestinationId> + '_ {
        self.messages.values().map(|message| message.destination)
    }
}
