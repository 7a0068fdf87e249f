//! Violations of the rules that a run is checked against.

use std::fmt;

/// A violation of one rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Short name of the rule.
    pub rule: &'static str,
    /// Description of what violated the rule.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.rule, self.details)
    }
}
