//! The metrics that operators fetch, in statsd format. Each is updated where its event is handled; all
//! start at 0 when the process starts.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

use deployment_config::Names;

use crate::log_output::lost_lines;

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageOutcome {
    /// An endpoint accepted the message.
    Delivered,
    /// Rejected, at submission or after it was accepted; submitting it again is harmless.
    Rejected,
    /// Given up; the message may or may not have taken effect.
    Failed,
}

/// Number of messages of one class with each outcome.
#[derive(Default)]
struct ClassMetrics {
    name: String,
    delivered: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

/// Counters that deliveries update.
#[derive(Clone, Default)]
pub struct DeliveryCounters {
    /// Attempts whose request was written to an endpoint in full.
    pub attempts_written: Rc<Cell<u64>>,
    /// Times that an endpoint has sent data that belonged to no response.
    pub excess_data: Rc<Cell<u64>>,
}

/// The counters and gauges of this process.
#[derive(Default)]
pub struct Metrics {
    classes: Vec<ClassMetrics>,
    /// Counters that deliveries update.
    pub delivery: DeliveryCounters,
    /// Messages that have not ended, or whose notice is not acknowledged.
    pub in_progress: Cell<usize>,
    /// Endpoints in the endpoint list.
    pub known_endpoints: Cell<usize>,
    /// Listed endpoints that get no attempts at present.
    pub skipped_endpoints: Cell<usize>,
    /// Violations of invariants that this process detected; other than 0 only if the program has a bug.
    pub invariant_violations: Cell<u64>,
}

/// Adds one to a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Metrics {
    /// Metrics for the classes in `names`, all 0.
    pub fn new(names: &Names) -> Self {
        let class = |name: &String| ClassMetrics { name: name.clone(), ..ClassMetrics::default() };
        Self { classes: names.classes().iter().map(class).collect(), ..Self::default() }
    }

    /// Counts the outcome of a message; a message of a class that the settings don't list is not counted.
    pub fn count_outcome(&self, class: usize, outcome: MessageOutcome) {
        let Some(class) = self.classes.get(class) else { return };
        let counter = match outcome {
            MessageOutcome::Delivered => &class.delivered,
            MessageOutcome::Rejected => &class.rejected,
            MessageOutcome::Failed => &class.failed,
        };
        increment(counter);
    }

    /// All metrics, one per line, under the names that operators use.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for class in &self.classes {
            append_counter(&mut text, &format!("passed.{}", class.name), class.delivered.get());
            append_counter(&mut text, &format!("dropped.{}", class.name), class.rejected.get());
            append_counter(&mut text, &format!("bad_gateway.{}", class.name), class.failed.get());
        }
        append_counter(&mut text, "upstream_tries", self.delivery.attempts_written.get());
        append_gauge(&mut text, "in_progress", self.in_progress.get());
        append_gauge(&mut text, "known_endpoints", self.known_endpoints.get());
        append_gauge(&mut text, "skipped_endpoints", self.skipped_endpoints.get());
        append_counter(&mut text, "excess_data", self.delivery.excess_data.get());
        append_counter(&mut text, "log_lines_lost", lost_lines());
        append_counter(&mut text, "invariant_violations", self.invariant_violations.get());
        text
    }
}

fn append_counter(text: &mut String, name: &str, value: u64) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "router.{name}:{value}|c");
}

fn append_gauge(text: &mut String, name: &str, value: usize) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "router.{name}:{value}|g");
}
