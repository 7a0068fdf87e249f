//! The figures that operators fetch, in the form of statsd. Each is counted where the thing happens; all start at
//! 0 with the process.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

use simulator_adapter::wire::Names;

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageOutcome {
    /// Delivered.
    Delivered,
    /// Refused, or handed back: handing it in again is harmless.
    Rejected,
    /// Failed.
    Failed,
}

#[derive(Default)]
struct ClassMetrics {
    name: String,
    passed: Cell<u64>,
    dropped: Cell<u64>,
    bad_gateway: Cell<u64>,
}

/// Counts and gauges of this process.
#[derive(Default)]
pub struct Metrics {
    classes: Vec<ClassMetrics>,
    /// Messages written whole to endpoints.
    pub attempts: Rc<Cell<u64>>,
    pub in_progress: Cell<usize>,
    pub known_endpoints: Cell<usize>,
    pub skipped_endpoints: Cell<usize>,
}

/// Adds one.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Metrics {
    pub fn new(names: &Names) -> Self {
        let class = |name: &String| ClassMetrics { name: name.clone(), ..ClassMetrics::default() };
        Self { classes: names.classes().iter().map(class).collect(), ..Self::default() }
    }

    /// Counts a message's end.
    pub fn count_outcome(&self, class: usize, fate: MessageOutcome) {
        let Some(class) = self.classes.get(class) else { return };
        increment(match fate {
            MessageOutcome::Delivered => &class.passed,
            MessageOutcome::Rejected => &class.dropped,
            MessageOutcome::Failed => &class.bad_gateway,
        });
    }

    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: &str| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "router.{name}:{value}|{kind}");
        };
        for class in &self.classes {
            line(&format!("passed.{}", class.name), class.passed.get(), "c");
            line(&format!("dropped.{}", class.name), class.dropped.get(), "c");
            line(&format!("bad_gateway.{}", class.name), class.bad_gateway.get(), "c");
        }
        line("upstream_tries", self.attempts.get(), "c");
        line("in_progress", self.in_progress.get() as u64, "g");
        line("known_endpoints", self.known_endpoints.get() as u64, "g");
        line("skipped_endpoints", self.skipped_endpoints.get() as u64, "g");
        text
    }
}
