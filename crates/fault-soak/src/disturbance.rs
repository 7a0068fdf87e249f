//! Periods in which a sender could not be expected to keep the rules, because its processes were ending,
//! starting or paused.

use tokio::time::Instant;

use crate::history::{ProcessEvent, Records};

/// Start and end of a disruption; without an end, it lasts until the end of the run.
pub type Disruption = (Instant, Option<Instant>);

/// Returns the periods in which processes of the sender were ending, starting or paused. Its first start
/// begins at `start`.
#[must_use]
pub fn disruptions(records: &Records, sender: usize, start: Instant) -> Vec<Disruption> {
    let mut spans = Vec::new();
    let (mut restart, mut pause): (Option<Instant>, Option<Instant>) = (None, None);
    for (_, event, at) in records.process_events.iter().filter(|(index, ..)| *index == sender) {
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
