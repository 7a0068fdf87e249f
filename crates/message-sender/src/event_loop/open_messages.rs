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

/// A message that is open: all that an attempt needs, and what the log says of it.
pub struct OpenMessage {
    /// The id by which its client names it.
    pub call_id: String,
    /// Index of its class.
    pub class: usize,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// Where it goes.
    pub destination: DestinationId,
    /// Its body.
    pub body: Bytes,
    /// Attempts made so far.
    pub attempts: u32,
    /// When this process accepted or recovered it.
    pub accepted_at: Micros,
    /// When it must have ended.
    pub deadline: Micros,
    /// How it came to this process.
    pub origin: MessageOrigin,
}

/// The open messages, by their id and by the id that the client gave.
#[derive(Default)]
pub struct OpenMessages {
    messages: BTreeMap<MessageId, OpenMessage>,
    ids_by_call_id: HashMap<String, MessageId>,
}

impl OpenMessages {
    /// Adds a message.
    pub fn insert(&mut self, id: MessageId, message: OpenMessage) {
        self.ids_by_call_id.insert(message.call_id.clone(), id);
        self.messages.insert(id, message);
    }

    /// Removes a message that has ended.
    pub fn remove(&mut self, id: MessageId) -> Option<OpenMessage> {
        let message = self.messages.remove(&id)?;
        self.ids_by_call_id.remove(&message.call_id);
        Some(message)
    }

    /// The message of this id, if it is open.
    pub fn get(&self, id: MessageId) -> Option<&OpenMessage> {
        self.messages.get(&id)
    }

    /// The message of this id, if it is open.
    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut OpenMessage> {
        self.messages.get_mut(&id)
    }

    /// Whether the message is open.
    pub fn contains(&self, id: MessageId) -> bool {
        self.messages.contains_key(&id)
    }

    /// The open message that a client knows by this id.
    pub fn find_by_call_id(&self, call_id: &str) -> Option<MessageId> {
        self.ids_by_call_id.get(call_id).copied()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// The destination of each message, in the order in which they were accepted.
    pub fn destinations(&self) -> impl ExactSizeIterator<Item = DestinationId> + '_ {
        self.messages.values().map(|message| message.destination)
    }
}
