//! Periods in which a sender is exempt from some rules or gets more time, because its processes were ending,
//! starting or paused.

use tokio::time::Instant;

use crate::history::{ProcessEvent, Records};

/// Start and end of a disruption; without an end, it lasts until the end of the run.
pub type Disruption = (Instant, Option<Instant>);

/// Returns the periods in which processes of the sender were ending, starting or paused. A start or pause
/// without a recorded beginning counts from `start`, the beginning of the run.
#[must_use]
pub fn disruptions(records: &Records, sender: usize, start: Instant) -> Vec<Disruption> {
    let mut disruptions = Vec::new();
    let (mut restart, mut pause): (Option<Instant>, Option<Instant>) = (None, None);
    for (_, event, at) in records.process_events.iter().filter(|(index, ..)| *index == sender) {
        match event {
            ProcessEvent::Ending | ProcessEvent::Upgrading => {
                restart.get_or_insert(*at);
            }
            ProcessEvent::Paused => {
                pause.get_or_insert(*at);
            }
            ProcessEvent::Killed => {}
            ProcessEvent::Ready => disruptions.push((restart.take().unwrap_or(start), Some(*at))),
            ProcessEvent::Resumed => disruptions.push((pause.take().unwrap_or(start), Some(*at))),
        }
    }
    disruptions.extend(restart.into_iter().chain(pause).map(|began| (began, None)));
    disruptions
}
