//! The bookkeeping that all policies share: what is buffered, in flight, listed and due.

use serde::{Deserialize, Serialize};

use crate::endpoints::Endpoints;
use crate::model::{Attempt, AttemptKey, CallId, Context, InFlight, MessageBuffer, WakeUps};
use crate::ordering::KeyQueues;
use crate::{EndpointId, MessageId};

/// Everything that is buffered, in flight, listed and due.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct State {
    pub messages: MessageBuffer,
    pub in_flight: InFlight,
    pub endpoints: Endpoints,
    pub queues: KeyQueues,
    pub wake_ups: WakeUps,
}

/// The state as policies read it at one moment. Each policy adds its questions in its own module.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub context: Context<'a>,
    pub state: &'a State,
}

impl State {
    pub fn view<'a>(&'a self, context: Context<'a>) -> View<'a> {
        View { context, state: self }
    }

    /// Has a message wait for its destination, which is looked at in this turn.
    pub fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        self.endpoints.destination_mut(message.destination).waiting.insert(id);
        self.wake_ups.mark_dirty(message.destination);
    }

    /// Notes that an attempt of a waiting message was sent with a call.
    pub fn record_attempt(&mut self, context: Context, id: MessageId, to: EndpointId, call: CallId) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let key = AttemptKey { message: id, number: message.attempts };
        let attempt = Attempt {
            endpoint: to,
            call,
            sent_at: context.now,
            cancelled: false,
            order_key: message.order_key.clone(),
        };
        self.in_flight.insert_attempt(key, attempt);
        message.attempts += 1;
        message.recovered_unattempted = false;
        message.in_flight = true;
        self.endpoints.destination_mut(message.destination).waiting.remove(&id);
    }
}
