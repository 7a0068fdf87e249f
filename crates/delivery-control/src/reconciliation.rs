//! Compares the attempts that a controller has in flight with the calls that a predecessor process carries.
//!
//! Versions that counted a message's attempts in two places may hand over a state in which the two differ. An
//! attempt without a call would hold its permit for ever, since nobody reports its end.

use std::collections::BTreeSet;

use crate::model::{AttemptKey, InFlight};
use crate::AttemptId;

/// The attempts in flight that the predecessor's list of calls does not contain.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct AttemptReconciliation {
    /// Attempts that no call carries.
    pub lost: Vec<AttemptId>,
    /// Cancelled attempts. Their calls may still be ending: some versions do not list them.
    pub ending: Vec<AttemptId>,
}

/// Gives attempts the numbers under which calls carry them, and returns those that no call carries. A
/// message has one call at most, which carries the latest of its attempts.
pub(crate) fn reconcile(in_flight: &mut InFlight, carried: &[AttemptId]) -> AttemptReconciliation {
    let carried: BTreeSet<AttemptKey> = carried.iter().map(|id| (*id).into()).collect();
    let known: BTreeSet<AttemptKey> = in_flight.attempts().map(|(key, _)| *key).collect();
    for call in carried.difference(&known) {
        let unmatched = known.difference(&carried).filter(|key| key.message == call.message);
        if let Some(latest) = unmatched.max() {
            in_flight.renumber(*latest, *call);
        }
    }
    let mut reconciliation = AttemptReconciliation::default();
    for (key, attempt) in in_flight.attempts().filter(|(key, _)| !carried.contains(key)) {
        let unmatched = if attempt.cancelled { &mut reconciliation.ending } else { &mut reconciliation.lost };
        unmatched.push((*key).into());
    }
    reconciliation
}
