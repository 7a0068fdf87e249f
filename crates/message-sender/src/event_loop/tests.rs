//! Tests of the event loop's components. The event loop itself is tested over sockets in the crate's `tests`.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use delivery_control::{AttemptId, AttemptOutcome, DestinationId, LoadReport};
use tokio::sync::oneshot::error::TryRecvError;
use tokio::time::{advance, Instant};
use tracing::subscriber::DefaultGuard;

use super::clock::JournalClock;
use super::open_messages::{MessageOrigin, OpenMessage, OpenMessages};
use super::shutdown::Shutdown;
use super::summary::{LogSummary, UndeliveredCause};
use super::timers::Timers;
use crate::delivery::AttemptResult;
use crate::in_flight::InFlightAttempts;
use crate::journal::ClockReading;
use crate::machine_clock::MachineTime;

/// Captures what is logged on the current test's thread.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl CapturedLog {
    fn start() -> (Self, DefaultGuard) {
        let log = Self::default();
        let writer = log.clone();
        let subscriber = tracing_subscriber::fmt()
            .with_writer(move || writer.clone())
            .without_time()
            .with_target(false)
            .with_ansi(false)
            .finish();
        (log, tracing::subscriber::set_default(subscriber))
    }

    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().unwrap();
        std::str::from_utf8(&bytes).unwrap().lines().map(|line| line.trim().to_owned()).collect()
    }
}

impl io::Write for CapturedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn message(call_id: &str, destination: DestinationId) -> OpenMessage {
    OpenMessage {
        call_id: call_id.to_owned(),
        class: 0,
        idempotency_key: None,
        destination,
        body: Bytes::new(),
        is_attempted: false,
        accepted_at: 0,
        deadline: 0,
        origin: MessageOrigin::Submitted,
    }
}

/// Guards against a controller's time that goes back or jumps ahead at a handover, because the clocks of the
/// two processes differ.
#[tokio::test(start_paused = true)]
async fn a_restored_clock_follows_the_predecessor_only_where_the_two_disagree() {
    let mut clock = JournalClock::start();
    let now = clock.now();
    clock.restore(now);
    clock.restore(now - 1_999_999);
    assert_eq!(clock.now(), now);
    clock.restore(now + 1);
    assert_eq!(clock.now(), now + 1);
    clock.restore(now - 2_000_000);
    assert_eq!(clock.now(), now - 2_000_000);
}

/// Guards against deadlines that shift at a restart, because the system's time was set in between.
#[tokio::test(start_paused = true)]
async fn a_clock_goes_on_from_the_last_reading_of_the_same_boot() {
    let machine = |boot_id: &str, monotonic| MachineTime { boot_id: boot_id.to_owned(), monotonic };
    let last = ClockReading { machine: machine("a", 1_000), journal_time: 50 };
    let resumed = |now: Option<MachineTime>| JournalClock::resume(Some(&last), now.as_ref()).now();
    assert_eq!(resumed(Some(machine("a", 1_007))), 57);
    let system = JournalClock::start().now();
    let by_system = [
        resumed(Some(machine("b", 1_007))),
        resumed(Some(machine("a", 999))),
        resumed(None),
        JournalClock::resume(None, Some(&machine("a", 1_007))).now(),
    ];
    for time in by_system {
        assert!((system..system + 60_000_000).contains(&time), "{time}");
    }
}

/// Guards against timers and deadlines that are due at the wrong instant, because the clock does not run with
/// the runtime's time.
#[tokio::test(start_paused = true)]
async fn a_clock_advances_with_monotonic_time_and_converts_times_to_instants() {
    let clock = JournalClock::start();
    let (now, instant) = (clock.now(), Instant::now());
    advance(Duration::from_micros(7)).await;
    assert_eq!(clock.now(), now + 7);
    assert_eq!(clock.instant(now + 12), instant + Duration::from_micros(12));
}

/// Guards against timers that fire early, twice or never, after a handover or because they are set again.
#[test]
fn timers_fire_in_order_once_they_are_due_and_only_once() {
    let mut timers = Timers::restore(vec![(30, 1), (10, 2)]);
    timers.set(20, 3);
    timers.set(20, 3);
    assert_eq!(timers.entries(), [(10, 2), (20, 3), (30, 1)]);
    assert_eq!(timers.next_due(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    let fired: Vec<_> = std::iter::from_fn(|| timers.pop_due(29)).collect();
    assert_eq!(fired, [2, 3]);
    assert_eq!(timers.entries(), [(30, 1)]);
}

/// Guards against attempts that continue although the controller cancelled them, because their handle is
/// kept.
#[test]
fn removing_an_attempt_cancels_it_and_no_other() {
    let mut in_flight = InFlightAttempts::default();
    let mut first = in_flight.start(AttemptId { message_id: 1, attempt: 0 });
    let mut second = in_flight.start(AttemptId { message_id: 1, attempt: 1 });
    in_flight.cancel(AttemptId { message_id: 1, attempt: 0 });
    assert_eq!(first.try_recv(), Err(TryRecvError::Closed));
    assert_eq!(second.try_recv(), Err(TryRecvError::Empty));
    assert_eq!(in_flight.len(), 2, "a cancelled attempt is in flight until it ends");
    in_flight.remove(AttemptId { message_id: 1, attempt: 0 });
    assert_eq!(in_flight.ids(), [AttemptId { message_id: 1, attempt: 1 }]);
    drop(in_flight);
    assert_eq!(second.try_recv(), Err(TryRecvError::Closed));
}

/// Guards against accepting a message twice when its client submits it again, and against a call id that
/// stays taken after its message has ended.
#[test]
fn an_open_message_is_found_by_the_id_that_its_client_gave() {
    let mut messages = OpenMessages::default();
    messages.insert(5, message("m5", 7));
    messages.insert(4, message("m4", 8));
    assert_eq!(messages.find_by_call_id("m5"), Some(5));
    assert_eq!(messages.destinations().collect::<Vec<_>>(), [8, 7]);
    assert_eq!(messages.remove(5).map(|message| message.call_id), Some("m5".to_owned()));
    assert!(messages.remove(5).is_none());
    assert_eq!(messages.find_by_call_id("m5"), None);
    assert_eq!((messages.len(), messages.contains(4)), (1, true));
}

/// Guards against a process that is still running when SIGKILL follows SIGTERM, and against one that ends
/// while load balancers still send it connections.
#[tokio::test(start_paused = true)]
async fn a_shutdown_ends_when_idle_and_at_its_deadline() {
    let mut shutdown = Shutdown::default();
    assert!(!shutdown.is_requested() && !shutdown.is_complete(|| true));
    shutdown.request();
    let requested_at = shutdown.requested_at();
    assert!(!shutdown.is_complete(|| true));
    advance(Duration::from_millis(1_000)).await;
    // A second request has no effect.
    shutdown.request();
    assert_eq!(shutdown.requested_at(), requested_at);
    assert!(shutdown.is_complete(|| true) && !shutdown.is_complete(|| false));
    advance(Duration::from_millis(1_399)).await;
    assert!(!shutdown.attempts_have_stopped());
    advance(Duration::from_millis(1)).await;
    assert!(shutdown.attempts_have_stopped());
    advance(Duration::from_millis(699)).await;
    assert!(!shutdown.is_complete(|| false));
    advance(Duration::from_millis(1)).await;
    assert!(shutdown.is_complete(|| false));
}

/// Guards against a flood of log lines from a sender that rejects hundreds of messages a second, and against
/// counts for each nonexistent destination that clients name.
#[tokio::test(start_paused = true)]
async fn rejections_are_logged_by_cause_once_a_second_at_most() {
    let (log, _guard) = CapturedLog::start();
    let mut summary = LogSummary::new();
    assert_eq!(summary.undelivered_due(), None);
    summary.count_undelivered(UndeliveredCause::BufferFull, 7);
    summary.count_undelivered(UndeliveredCause::BufferFull, 7);
    summary.count_undelivered(UndeliveredCause::UnknownDestination, 8);
    summary.count_undelivered(UndeliveredCause::UnknownDestination, 9);
    advance(Duration::from_millis(999)).await;
    summary.log_undelivered();
    assert!(log.lines().is_empty());
    advance(Duration::from_millis(1)).await;
    assert_eq!(summary.undelivered_due(), Some(Instant::now()));
    summary.log_undelivered();
    summary.log_undelivered();
    let expected = [
        "WARN messages not delivered cause=BufferFull messages=2 by_destination={7: 2}",
        "WARN messages not delivered cause=UnknownDestination messages=2 by_destination={}",
    ];
    assert_eq!(log.lines(), expected);
}

/// Guards against a summary that grows with the number of destinations or is logged too often, and against
/// wrong counts in it.
#[tokio::test(start_paused = true)]
async fn traffic_is_logged_every_five_seconds_at_most_with_the_busiest_destinations() {
    let (log, _guard) = CapturedLog::start();
    let mut summary = LogSummary::new();
    advance(Duration::from_secs(5)).await;
    summary.log_traffic(std::iter::empty(), 0);
    assert!(log.lines().is_empty(), "nothing is logged without traffic");
    summary.record_event(&delivery_control::Event::AttemptEnded(delivery_control::AttemptEnd {
        id: 1,
        attempt: 0,
        endpoint: 1,
        outcome: AttemptOutcome::Delivered,
        elapsed: 0,
        was_started: true,
        is_final: true,
        retry_after: 0,
        load_report: None,
    }));
    summary.record_first_attempt(3_000);
    summary.record_first_attempt(5_000);
    for destination in 0..20 {
        let elapsed = 1_000 * destination as i64;
        summary.record_attempt_end(destination, elapsed, &AttemptOutcome::Delivered.into());
    }
    let load = LoadReport { limit_remaining: Some(0.25), limit: Some(4.0), ..LoadReport::default() };
    let rejected =
        AttemptResult { retry_after: 1, load_report: Some(load), ..AttemptOutcome::Rejected.into() };
    summary.record_attempt_end(19, 1_000, &rejected);
    summary.record_attempt_end(18, 0, &AttemptOutcome::Timeout.into());
    summary.record_attempt_end(18, 0, &AttemptOutcome::Cancelled.into());
    summary.log_traffic([18, 18, 3].into_iter(), 2);
    let lines = log.lines();
    assert_eq!(lines.len(), 13, "one line for the total and twelve for destinations");
    assert_eq!(
        lines[..3],
        [
            "INFO traffic buffered=3 in_flight=2 accepted=0 ordered=0 with_tenant=0 first_attempts=2 \
             mean_first_attempt_delay_ms=4 max_first_attempt_delay_ms=5 outcomes={Delivered: 1}",
            "INFO destination traffic destination=19 delivered=1 rejected=1 with_retry_after=1 failed=0 \
             in_flight_ms=20 buffered=0 limit_remaining=0.25 limit=4.0",
            "INFO destination traffic destination=18 delivered=1 rejected=0 with_retry_after=0 failed=1 \
             in_flight_ms=18 buffered=2",
        ]
    );
    assert!(lines[12].starts_with("INFO destination traffic destination=8 "), "{}", lines[12]);
    summary.record_attempt_end(1, 0, &AttemptOutcome::Delivered.into());
    summary.log_traffic(std::iter::empty(), 0);
    assert_eq!(log.lines().len(), 13, "nothing is logged before the interval has passed");
}
