//! Many controllers that call one destination, each with a small share of the calls.

use std::collections::BTreeMap;

use delivery_control::{
    Action, AttemptEnd, AttemptOutcome, EndpointEntry, Event, MessageId, Micros, Settings,
};

use crate::support::{
    attempt_end, endpoint_entry, message_submitted, sends, settings, ControllerHarness, IDEMPOTENT,
    MILLISECOND, SECOND, SHARED_LIMIT,
};

/// Maps the time after the start to the destination's response at that time: the outcome of a call, and the
/// Retry-After sent with it in µs.
type Responses = fn(Micros) -> (AttemptOutcome, Micros);

/// Time from the start of a call to its response.
const RESPONSE_TIME: Micros = 50 * MILLISECOND;

/// Runs this many controllers for `length`, each with one message for the same destination; returns the times
/// of all sends to that destination, in order. Each controller knows a second destination too, to which its
/// estimate of the demand attributes an average share of messages.
fn sends_of_senders(sender_count: u32, length: Micros, rate: f64, responses: Responses) -> Vec<Micros> {
    let settings = Settings { sender_count, rates_are_listed: rate > 0.0, ..settings() };
    let destination = EndpointEntry { rate, ..endpoint_entry(1, 10, SHARED_LIMIT) };
    let entries = vec![destination, endpoint_entry(2, 20, SHARED_LIMIT)];
    let mut sent_at = Vec::new();
    for ordinal in 0..sender_count {
        let seed = u64::from(ordinal) + 1;
        let harness = ControllerHarness::with_seed(settings.clone(), entries.clone(), seed);
        // The submissions are spread over the first two seconds.
        let delay = Micros::from(ordinal) * 2 * SECOND / Micros::from(sender_count);
        sent_at.extend(SenderRun::new(harness, length, responses).run(delay));
    }
    sent_at.sort_unstable();
    sent_at
}

/// The run of one controller with one message, at a destination with these responses.
struct SenderRun {
    harness: ControllerHarness,
    start: Micros,
    end: Micros,
    responses: Responses,
    /// The calls in flight by the times of their responses: each message with the number of its attempt.
    due_responses: BTreeMap<Micros, (MessageId, u32)>,
    next_attempt: u32,
    /// Times of the sends since the start.
    sent_at: Vec<Micros>,
}

impl SenderRun {
    fn new(harness: ControllerHarness, length: Micros, responses: Responses) -> Self {
        let start = harness.now;
        Self {
            harness,
            start,
            end: start + length,
            responses,
            due_responses: BTreeMap::new(),
            next_attempt: 0,
            sent_at: Vec::new(),
        }
    }

    /// Submits the message after `delay` and runs to the end; returns the times of the sends since the start.
    fn run(mut self, delay: Micros) -> Vec<Micros> {
        self.harness.now += delay;
        let actions = self.harness.turn(&[message_submitted(1, IDEMPOTENT, 10)]);
        self.record_sends(&actions);
        while let Some(response_at) = self.next_response() {
            let actions = match self.harness.next_timer().filter(|at| *at < response_at) {
                Some(at) => self.harness.fire_timer(at),
                None => self.respond_to_next_call(),
            };
            self.record_sends(&actions);
            self.run_timers_while_idle();
        }
        self.sent_at
    }

    /// Time of the next response, if it is before the end.
    fn next_response(&self) -> Option<Micros> {
        let (at, _) = self.due_responses.first_key_value()?;
        Some(*at).filter(|at| *at < self.end)
    }

    fn respond_to_next_call(&mut self) -> Vec<Action> {
        let (at, (id, attempt)) = self.due_responses.pop_first().expect("a call is in flight");
        self.harness.now = at;
        let (outcome, retry_after) = (self.responses)(at - self.start);
        self.harness.turn(&[Event::AttemptEnded(AttemptEnd {
            elapsed: RESPONSE_TIME,
            retry_after,
            ..attempt_end(id, attempt, 1, outcome)
        })])
    }

    /// With no call in flight, advances from timer to timer until a message is sent or the end is reached.
    fn run_timers_while_idle(&mut self) {
        while self.due_responses.is_empty() {
            let Some(at) = self.harness.next_timer().filter(|at| *at < self.end) else { break };
            let actions = self.harness.fire_timer(at);
            self.record_sends(&actions);
        }
    }

    fn record_sends(&mut self, actions: &[Action]) {
        for (id, _) in sends(actions) {
            self.sent_at.push(self.harness.now - self.start);
            self.due_responses.insert(self.harness.now + RESPONSE_TIME, (id, self.next_attempt));
            self.next_attempt += 1;
        }
    }
}

/// Number of the sends from `from` on and before `to`.
fn sends_between(sends: &[Micros], from: Micros, to: Micros) -> usize {
    sends.iter().filter(|at| **at >= from && **at < to).count()
}

/// Guards against a fleet that overloads a destination after an outage with one buffered message at each
/// sender, although no sender by itself makes many calls. A few senders must still find out soon that it is
/// back.
#[test]
fn many_senders_do_not_overload_a_recovered_destination() {
    // The destination returns errors for 10 s and then recovers; its capacity is 6 calls per second.
    let responses =
        |at| (if at < 10 * SECOND { AttemptOutcome::Error } else { AttemptOutcome::Delivered }, 0);
    let sends = sends_of_senders(60, 19 * SECOND, 6.0, responses);
    let first = sends_between(&sends, 10 * SECOND, 12 * SECOND);
    // Twice a fifth of the capacity (overload factor, initial capacity) is 5 calls in 2 s, and grows later.
    assert!((1..=9).contains(&first), "{first} calls in the first 2 s after the recovery");
    let by_two_senders = sends_of_senders(2, 19 * SECOND, 6.0, responses);
    assert_eq!(
        sends_between(&by_two_senders, 10 * SECOND, 17 * SECOND),
        2,
        "each of two senders must deliver within 7 s of the recovery: {by_two_senders:?}"
    );
}

/// Guards against senders that were rejected at about the same time and retry in the same second, so that the
/// destination is overloaded again.
#[test]
fn many_rejected_senders_do_not_retry_at_once() {
    let sends = sends_of_senders(60, 12 * SECOND, 0.0, |_| (AttemptOutcome::Rejected, 0));
    let busiest = (2..10).map(|second| sends_between(&sends, second * SECOND, (second + 1) * SECOND)).max();
    assert!(busiest <= Some(20), "at most a third of the senders may call in any second: {busiest:?}");
    assert!(
        sends_between(&sends, 2 * SECOND, 12 * SECOND) >= 40,
        "too few retries, {} sends in total",
        sends.len()
    );
}

/// Guards against senders that all wait for the same Retry-After and call at the same moment when it is over.
#[test]
fn senders_with_the_same_retry_after_do_not_retry_in_step() {
    // The destination rejects calls for 8 s, with a Retry-After that ends after these 8 s.
    let responses = |at| match 8 * SECOND - at {
        left if left > 0 => (AttemptOutcome::Rejected, left),
        _ => (AttemptOutcome::Delivered, 0),
    };
    let sends = sends_of_senders(60, 18 * SECOND, 0.0, responses);
    assert_eq!(
        sends_between(&sends, 2 * SECOND + 50 * MILLISECOND, 8 * SECOND),
        0,
        "no call may be made before the Retry-After is over"
    );
    let first = sends_between(&sends, 8 * SECOND, 9 * SECOND);
    assert!(first <= 20, "{first} of 60 senders called in the first second after the Retry-After");
}
