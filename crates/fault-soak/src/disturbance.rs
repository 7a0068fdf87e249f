//! When a sender could not do as the rules ask: its processes were ending, starting or paused.

use tokio::time::Instant;

use crate::history::{ProcessEvent, Records};

/// From when to when; without an end, to the end of the run.
pub type Disturbance = (Instant, Option<Instant>);

/// The spans in which processes of a sender were ending, starting or paused. Its first start begins at
/// `start`.
#[must_use]
pub fn disturbances(records: &Records, sender: usize, start: Instant) -> Vec<Disturbance> {
    let mut spans = Vec::new();
    let (mut restart, mut pause): (Option<Instant>, Option<Instant>) = (None, None);
    for (_, event, at) in records.processes.iter().filter(|(index, ..)| *index == sender) {
        match event {
            ProcessEvent::Ending | ProcessEvent::Upgrading => {
                restart.get_or_insert(*at);
            }
            ProcessEvent::Paused => {
                pause.get_or_insert(*at);
            }
            ProcessEvent::Ready => spans.push((restart.take().unwrap_or(start), Some(*at))),
            ProcessEvent::Resumed => spans.push((pause.take().unwrap_or(start), Some(*at))),
        }
    }
    spans.extend(restart.into_iter().chain(pause).map(|began| (began, None)));
    spans
}
