//! What the module decides for each kind of symptom, through its public interface.

mod common;

use common::*;
use delivery_control::Controller;
use delivery_control::*;

fn shared() -> Vec<EndpointEntry> {
    vec![entry(1, 10, 0), entry(2, 20, 0)]
}

/// Ends each call to `endpoint` after `after` with `outcome`, until `until`; gives the times of sending.
fn answer(
    bench: &mut Bench,
    endpoint: EndpointId,
    outcome: AttemptOutcome,
    after: Micros,
    until: Micros,
) -> Vec<Micros> {
    let mut sent = Vec::new();
    while bench.now < until {
        let step = bench.now + 5 * MS;
        let mut actions = bench.pass(step);
        let due = bench.calls.iter().filter(|(_, (at, to))| at + after <= step && *to == endpoint);
        let events: Vec<_> = due.map(|(id, _)| ended(*id, bench.attempts[id], endpoint, outcome)).collect();
        if !events.is_empty() {
            actions.extend(bench.turn(&events).into_iter().map(|action| (step, action)));
        }
        sent.extend(sends_in_time(&actions).into_iter().map(|(at, ..)| at));
    }
    sent
}

#[test]
fn first_try_goes_at_once_and_gaps_grow_with_jitter() {
    let mut firsts = Vec::new();
    for seed in 1..6 {
        let mut controller = Controller::new(settings(), seed).expect("well formed");
        let mut gaps = Vec::new();
        let mut now = 10 * SECOND;
        let mut actions = Vec::new();
        // A destination that delivers: one failure there is not yet an outage.
        controller.turn(now, &[listed(shared()), message(9, 1, 10)], &mut actions);
        controller.turn(now, &[ended(9, 0, 1, AttemptOutcome::Delivered)], &mut actions);
        actions.clear();
        controller.turn(now, &[message(1, 1, 10)], &mut actions);
        assert_eq!(sends(&actions), [(1, 1)]);
        for attempt in 0..2 {
            let outcome = now + 50 * MS;
            let mut events = vec![ended(1, attempt, 1, AttemptOutcome::Error)];
            now = outcome;
            loop {
                let mut actions = Vec::new();
                controller.turn(now, &events, &mut actions);
                if !sends(&actions).is_empty() {
                    break;
                }
                events = vec![Event::TimerFired { token: 0 }];
                now += 5 * MS;
            }
            gaps.push(now - outcome);
        }
        assert!(gaps[0] >= 200 * MS && gaps[0] <= 310 * MS, "{gaps:?}");
        assert!(gaps[1] >= 600 * MS && gaps[1] > gaps[0], "{gaps:?}");
        firsts.push(gaps[0]);
    }
    firsts.dedup();
    assert!(firsts.len() > 1, "gaps vary by chance: {firsts:?}");
}

#[test]
fn timeouts_share_the_time_left_above_a_floor() {
    let mut bench = Bench::new(settings(), shared());
    let actions = bench.turn(&[message(1, 1, 10)]);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!(*timeout >= 4 * SECOND && *timeout <= 6 * SECOND, "{timeout}");
    let actions = bench.turn(&[message(2, 2, 20)]);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!(*timeout > 15 * SECOND, "an unsafe message's one unknown try gets room: {timeout}");
}

/// Settings whose keyed class drops repeats for a second only, and whose safe one ends after five.
fn short() -> Settings {
    let mut settings = settings();
    settings.classes[1].idempotency_window = SECOND;
    settings.classes[0].deadline = 5 * SECOND;
    settings
}

/// With `short` settings, and an endpoint that has just delivered: one failure there is not yet an outage.
fn short_bench() -> Bench {
    let mut bench = Bench::new(short(), shared());
    bench.turn(&[message(9, 1, 10)]);
    bench.turn(&[ended(9, 0, 1, AttemptOutcome::Delivered)]);
    bench
}

/// Guards against a time-out that takes all of a short window, after which the message cannot be repeated.
#[test]
fn a_time_out_leaves_room_for_a_repeat_inside_a_short_window() {
    let mut bench = short_bench();
    let begun = bench.now;
    let actions = bench.turn(&[message(1, 1, 10)]);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    bench.now += timeout;
    let mut later = bench.turn(&[ended(1, 0, 1, AttemptOutcome::Timeout)]);
    later.extend(bench.pass(begun + 20 * SECOND).into_iter().map(|(_, action)| action));
    assert_eq!(sends(&later), [(1, 1)], "repeated once: {later:?}");
    let (at, _) = bench.calls[&1];
    assert!(at - begun < SECOND, "inside the window: {}", at - begun);
    // A class of five seconds gets a second try as well.
    let mut bench = short_bench();
    let Event::MessageSubmitted(MessageSubmission { id, class, destination, .. }) = message(2, 0, 10) else {
        unreachable!()
    };
    let event = Event::MessageSubmitted(MessageSubmission {
        id,
        class,
        destination,
        tenant: None,
        time_left: 5 * SECOND,
        work: None,
        order_key: None,
        returned: false,
        repeat: false,
        write: false,
    });
    let actions = bench.turn(&[event]);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!(*timeout <= 2_500 * MS, "{timeout}");
}

/// Guards against a repeat outside its window, by this process's clock or by one that has gone back, and against a
/// message that is held on to though it cannot be repeated any more.
#[test]
fn what_may_have_run_is_repeated_up_to_its_windows_end_and_then_ends_at_once() {
    for (after, repeated) in [(400 * MS, true), (600 * MS, true), (960 * MS, false), (2 * SECOND, false)] {
        let mut bench = short_bench();
        let begun = bench.now;
        bench.turn(&[message(1, 1, 10)]);
        bench.now += after;
        let mut actions = bench.turn(&[ended(1, 0, 1, AttemptOutcome::Reset)]);
        assert_eq!(actions.contains(&Action::Fail { id: 1 }), !repeated, "{after}");
        actions = bench.pass(begun + 20 * SECOND).into_iter().map(|(_, action)| action).collect();
        assert_eq!(sends(&actions).len(), usize::from(repeated), "{after}");
    }
    // Found by a restart.
    for (ago, repeated) in [(300 * MS, true), (960 * MS, false), (30 * SECOND, false), (-SECOND, false)] {
        let mut bench = short_bench();
        let start = bench.now;
        let resumed = Event::MessageRecovered {
            id: 1,
            attempts: 1,
            first_ambiguous: Some(AmbiguousAttempt { sent_at: start - ago, zone: 1 }),
        };
        let first = bench.turn(&[message(1, 1, 10), resumed]);
        assert_eq!(first.contains(&Action::Fail { id: 1 }), !repeated, "{ago}: {first:?}");
        let mut sent: Vec<_> = sends(&first).into_iter().map(|_| start).collect();
        sent.extend(sends_in_time(&bench.pass(start + 20 * SECOND)).into_iter().map(|(at, ..)| at));
        assert_eq!(sent.len(), usize::from(repeated), "{ago}");
        assert!(sent.iter().all(|at| at - start + ago < SECOND), "{ago}");
    }
}

#[test]
fn unsafe_messages_fail_after_an_unknown_outcome_and_go_again_after_a_refusal() {
    let mut bench = Bench::new(settings(), shared());
    bench.turn(&[message(1, 2, 10), message(2, 2, 20)]);
    let actions =
        bench.turn(&[ended(1, 0, 1, AttemptOutcome::Reset), ended(2, 0, 2, AttemptOutcome::ConnectFailed)]);
    assert!(actions.contains(&Action::Fail { id: 1 }));
    let later = bench.pass(bench.now + SECOND);
    assert_eq!(sends_in_time(&later).iter().map(|send| send.1).collect::<Vec<_>>(), [2]);
}

#[test]
fn same_events_give_same_actions_whatever_runs_beside() {
    let run = |beside: bool| {
        let mut one = Bench::new(settings(), shared());
        let mut other = Bench::new(settings(), shared());
        let mut all = Vec::new();
        for id in 1..40 {
            if beside {
                other.turn(&[message(1000 + id, 0, 10)]);
            }
            all.extend(one.turn(&[message(id, id as usize % 3, 10 + 10 * (id % 2))]));
            let until = one.now + 100 * MS;
            all.extend(one.pass(until).into_iter().map(|(_, action)| action));
        }
        all
    };
    assert_eq!(run(false), run(true));
}

#[test]
fn a_wait_told_with_any_outcome_of_a_bundle_is_kept() {
    let mut bench = Bench::new(settings(), vec![entry(1, 10, 2)]);
    let actions = bench.turn(&[message(1, 1, 10), message(2, 1, 10)]);
    assert_eq!(sends(&actions).len(), 2);
    let told = bench.now;
    bench.turn(&[waiting(1, 0, 1, 3 * SECOND), ended(2, 0, 1, AttemptOutcome::Rejected), message(3, 0, 10)]);
    let later = sends_in_time(&bench.pass(told + 6 * SECOND));
    assert!(!later.is_empty());
    assert!(later.iter().all(|(at, ..)| *at >= told + 3 * SECOND), "{later:?}");
}

#[test]
fn a_wait_binds_one_endpoint_where_routes_are_apart() {
    let mut bench = Bench::new(settings(), vec![entry(1, 10, 1), entry(3, 10, 1)]);
    let actions = bench.turn(&[message(1, 1, 10)]);
    let (_, first) = sends(&actions)[0];
    let actions = bench.turn(&[waiting(1, 0, first, 5 * SECOND), message(2, 1, 10)]);
    assert_eq!(sends(&actions), [(2, 4 - first)]);
}

#[test]
fn an_outage_holds_messages_and_tries_one_at_a_time() {
    let mut bench = Bench::new(settings(), shared());
    let burst: Vec<_> = (1..=3).map(|id| message(id, 1, 10)).collect();
    bench.turn(&burst);
    let fails: Vec<_> = (1..=3).map(|id| ended(id, 0, 1, AttemptOutcome::Error)).collect();
    bench.now += 50 * MS;
    bench.turn(&fails);
    let more: Vec<_> = (4..=20).map(|id| message(id, 1, 10)).collect();
    let actions = bench.turn(&more);
    assert!(sends(&actions).is_empty(), "held, not spent: {actions:?}");
    let until = bench.now + 12 * SECOND;
    let trials = answer(&mut bench, 1, AttemptOutcome::Error, 50 * MS, until);
    assert!((3..=9).contains(&trials.len()), "{trials:?}");
    let gaps: Vec<_> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0] < gaps[2], "gaps grow: {gaps:?}");
}

/// A destination that fails for a while and comes back, with plenty waiting for it: sends in its first seconds.
fn return_after(outcome: AttemptOutcome, outage: Micros, sender_count: u32) -> usize {
    let settings = Settings { sender_count, rates_are_listed: true, ..settings() };
    let entries = vec![EndpointEntry { rate: 6.0, ..entry(1, 10, 0) }, entry(2, 20, 0)];
    let mut bench = Bench::new(settings, entries);
    let burst: Vec<_> = (1..=40).map(|id| message(id, 1, 10)).collect();
    bench.turn(&burst[..4]);
    bench.now += 50 * MS;
    let events: Vec<_> = (1..=4).map(|id| ended(id, 0, 1, AttemptOutcome::Delivered)).collect();
    bench.turn(&events);
    bench.turn(&burst[4..]);
    let before: Vec<_> = (5..=8).map(|id| ended(id, 0, 1, outcome)).collect();
    bench.now += 50 * MS;
    bench.turn(&before);
    let until = bench.now + outage;
    answer(&mut bench, 1, outcome, 50 * MS, until);
    // A trial comes 4.5 s after the last one at the latest.
    let until = bench.now + 6 * SECOND;
    answer(&mut bench, 1, AttemptOutcome::Delivered, 50 * MS, until).len()
}

#[test]
fn a_destination_back_from_an_outage_is_not_pushed_over() {
    let outages = [AttemptOutcome::Error, AttemptOutcome::ConnectFailed, AttemptOutcome::Rejected];
    let sent = outages.map(|outcome| return_after(outcome, 6 * SECOND, 2));
    assert!(sent.iter().all(|sent| (1..=14).contains(sent)), "{sent:?} sends in the first 6 s");
    // Several senders at once: each keeps to its own part of the budget.
    for outcome in outages {
        let (two, six) = (return_after(outcome, 6 * SECOND, 2), return_after(outcome, 6 * SECOND, 6));
        assert!(six < two || six <= 2, "{outcome:?}: {two} with two senders, {six} with six");
    }
    let hasty = return_after(AttemptOutcome::Error, 600 * MS, 2);
    assert!(hasty > sent[0], "a false alarm is no outage: {hasty} against {sent:?}");
}

#[test]
fn a_return_is_not_throttled_by_refusals_of_the_outage() {
    let mut bench = Bench::new(settings(), shared());
    let burst: Vec<_> = (1..=40).map(|id| message(id, 0, 10)).collect();
    bench.turn(&burst);
    // Served well, then refused for long: the pace is cut to the least.
    let until = bench.now + SECOND;
    let served = answer(&mut bench, 1, AttemptOutcome::Delivered, 50 * MS, until).len();
    assert!(served >= 10, "{served}");
    let more: Vec<_> = (101..=150).map(|id| message(id, 0, 10)).collect();
    bench.turn(&more);
    let until = bench.now + 7 * SECOND;
    answer(&mut bench, 1, AttemptOutcome::Rejected, 50 * MS, until);
    let until = bench.now + 5 * SECOND;
    let sent = answer(&mut bench, 1, AttemptOutcome::Delivered, 50 * MS, until).len();
    assert!(sent >= 25, "back at strength within the warm time: {sent}");
}

#[test]
fn many_senders_ask_a_refusing_destination_more_rarely() {
    let asked = |sender_count| {
        let settings = Settings { sender_count, ..settings() };
        let mut bench = Bench::new(settings, shared());
        let burst: Vec<_> = (1..=40).map(|id| message(id, 0, 10)).collect();
        bench.turn(&burst);
        let until = bench.now + 18 * SECOND;
        answer(&mut bench, 1, AttemptOutcome::Rejected, 50 * MS, until).len()
    };
    assert!(asked(12) < asked(2), "{} against {}", asked(12), asked(2));
}

#[test]
fn a_silent_destination_does_not_hold_most_slots() {
    let mut bench = Bench::new(settings(), shared());
    let burst: Vec<_> = (1..=12).map(|id| message(id, 1, 10)).collect();
    let mut sent = sends(&bench.turn(&burst)).len();
    let until = bench.now + 10 * SECOND;
    sent += sends_in_time(&bench.pass(until)).len();
    assert!((1..=4).contains(&sent), "{sent} of 6 slots");
    let actions = bench.turn(&[message(100, 1, 20)]);
    assert_eq!(sends(&actions), [(100, 2)], "a slot is left for the healthy one");
}

#[test]
fn an_overtaken_call_is_called_off_when_slots_run_out() {
    let mut bench = Bench::new(settings(), shared());
    bench.turn(&[message(1, 1, 10)]);
    bench.pass(bench.now + 200 * MS);
    bench.turn(&[message(2, 0, 10)]);
    bench.pass(bench.now + 100 * MS);
    bench.turn(&[ended(2, 0, 1, AttemptOutcome::Delivered)]);
    bench.pass(bench.now + 3 * SECOND);
    let burst: Vec<_> = (10..=30).map(|id| message(id, 1, 10 + 10 * (id % 2))).collect();
    let actions = bench.turn(&burst);
    assert!(actions.contains(&Action::Cancel { id: 1, attempt: 0 }), "{actions:?}");
}

/// When the call of a message of this class is called off, which later ones overtake while slots are wanted.
fn overtaken_until_called_off(class: usize) -> Micros {
    let mut bench = Bench::new(settings(), vec![entry(1, 10, 0), entry(2, 20, 0)]);
    for id in 1..=20 {
        bench.turn(&[message(id, 1, 10), message(100 + id, 1, 20)]);
        bench.now += 20 * MS;
        bench.turn(&[
            ended(id, 0, 1, AttemptOutcome::Delivered),
            ended(100 + id, 0, 2, AttemptOutcome::Delivered),
        ]);
    }
    let start = bench.now;
    bench.turn(&[message(201, 1, 20), message(202, 1, 20), message(203, 1, 20)]);
    bench.turn(&[message(21, class, 10), message(22, 1, 10)]);
    bench.now += 20 * MS;
    bench.turn(&[ended(22, 0, 1, AttemptOutcome::Delivered), message(23, 1, 10), message(24, 1, 10)]);
    bench.turn(&[message(25, 1, 10)]);
    let later: Vec<_> = (0..300).flat_map(|_| bench.pass(bench.now + 5 * MS)).collect();
    let cancel =
        later.iter().find(|(_, action)| matches!(action, Action::Cancel { .. })).expect("called off");
    assert_eq!(cancel.1, Action::Cancel { id: 21, attempt: 0 });
    cancel.0 - start
}

/// Answers that get lost one by one must not take slots for as long as a silent endpoint's do, nor for a fixed
/// time however fast the others come; but what is lost with its answer is waited for twice as long.
#[test]
fn an_overtaken_call_is_called_off_after_some_usual_answer_times() {
    let (keyed, unsure) = (overtaken_until_called_off(1), overtaken_until_called_off(2));
    assert!((200 * MS..350 * MS).contains(&keyed), "{keyed}");
    assert!((400 * MS..700 * MS).contains(&unsure), "{unsure}");
}

#[test]
fn a_full_hold_refuses_what_is_for_the_dead_destination() {
    let mut bench = Bench::new(settings(), shared());
    let burst: Vec<_> = (1..=3).map(|id| message(id, 0, 10)).collect();
    bench.turn(&burst);
    let fails: Vec<_> = (1..=3).map(|id| ended(id, 0, 1, AttemptOutcome::ConnectFailed)).collect();
    bench.turn(&fails);
    bench.pass(bench.now + 4 * SECOND);
    let healthy: Vec<_> = (100..=120).map(|id| message(id, 1, 20)).collect();
    bench.turn(&healthy);
    let more: Vec<_> = (4..=45).map(|id| message(id, 1, 10)).collect();
    let refused: Vec<_> = bench
        .turn(&more)
        .into_iter()
        .filter_map(|action| if let Action::Reject { id, .. } = action { Some(id) } else { None })
        .collect();
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|id| *id < 100), "{refused:?}");
}

#[test]
fn drains_are_kept_at_once_and_homeless_messages_are_refused_in_time() {
    let mut bench = Bench::new(settings(), shared());
    let gone = EndpointEntry { listing: ListingState::Draining, ..entry(1, 10, 0) };
    let list = Event::EndpointsUpdated { update: UpdateKind::Delta, version: 2, entries: vec![gone] };
    let actions = bench.turn(&[list, message(1, 1, 10), message(2, 1, 99)]);
    assert!(sends(&actions).is_empty());
    let start = bench.now;
    let later = bench.pass(start + 21 * SECOND);
    for id in [1, 2] {
        let end = later
            .iter()
            .find(|(_, action)| matches!(action, Action::Reject { id: other, .. } if *other == id));
        let (at, _) = end.expect("refused");
        assert!(*at > start + 15 * SECOND && *at <= start + 20 * SECOND);
    }
}

#[test]
fn pace_follows_the_first_refusal_and_creeps_back() {
    let mut bench = Bench::new(settings(), shared());
    bench.turn(&[message(1, 0, 10), message(2, 0, 10)]);
    bench.now += 100 * MS;
    let actions =
        bench.turn(&[ended(1, 0, 1, AttemptOutcome::Delivered), ended(2, 0, 1, AttemptOutcome::Rejected)]);
    assert!(sends(&actions).is_empty());
    let burst: Vec<_> = (3..=30).map(|id| message(id, 0, 10)).collect();
    bench.turn(&burst);
    let start = bench.now;
    let sent = answer(&mut bench, 1, AttemptOutcome::Delivered, 50 * MS, start + 10 * SECOND);
    let early = sent.iter().filter(|at| **at < start + 2 * SECOND).count();
    let late = sent.iter().filter(|at| **at >= start + 3 * SECOND && **at < start + 5 * SECOND).count();
    assert!(early <= 6, "paced: {early}");
    assert!(late > early, "creeps back: {early}, then {late}");
}

/// Guards against a pace that runs away while it holds nothing back: the next refusals halve a figure that no
/// longer means anything, and all that waits goes at once.
#[test]
fn a_pace_that_holds_nothing_back_does_not_grow() {
    let mut settings = settings();
    settings.limits.buffer_capacity = 200;
    let mut bench = Bench::new(settings, shared());
    bench.turn(&[message(1, 0, 10)]);
    bench.now += 50 * MS;
    bench.turn(&[ended(1, 0, 1, AttemptOutcome::Rejected)]);
    // Five a second for a minute, each delivered.
    for id in 2..300 {
        bench.turn(&[message(id, 0, 10)]);
        let until = bench.now + 200 * MS;
        answer(&mut bench, 1, AttemptOutcome::Delivered, 50 * MS, until);
    }
    let burst: Vec<_> = (300..400).map(|id| message(id, 0, 10)).collect();
    bench.turn(&burst);
    let until = bench.now + SECOND;
    let sent = answer(&mut bench, 1, AttemptOutcome::Delivered, 5 * MS, until).len();
    assert!((5..=60).contains(&sent), "{sent} calls in a second after five a second");
}

#[test]
fn a_listed_rate_bounds_how_far_single_refusals_cut() {
    let sent = |listed: bool| {
        let settings = Settings { rates_are_listed: listed, ..settings() };
        let mut bench = Bench::new(settings, vec![EndpointEntry { rate: 8.0, ..entry(1, 10, 0) }]);
        bench.turn(&[message(1, 0, 10)]);
        bench.now += 50 * MS;
        bench.turn(&[ended(1, 0, 1, AttemptOutcome::Rejected)]);
        // Few enough for the listed rate to tell more than what is asked.
        let burst: Vec<_> = (2..=10).map(|id| message(id, 0, 10)).collect();
        bench.turn(&burst);
        let until = bench.now + 3 * SECOND;
        answer(&mut bench, 1, AttemptOutcome::Delivered, 50 * MS, until).len()
    };
    assert!(sent(true) > sent(false) + 2, "{} against {}", sent(true), sent(false));
}

#[test]
fn a_key_goes_in_order_and_rests_after_a_timeout() {
    let mut bench = Bench::new(settings(), vec![entry(1, 10, 0)]);
    let actions = bench.turn(&[keyed(1, 10, "k"), keyed(2, 10, "k"), keyed(3, 10, "other")]);
    assert_eq!(sends(&actions), [(1, 1), (3, 1)]);
    bench.pass(bench.now + 5 * SECOND);
    bench.turn(&[ended(1, 0, 1, AttemptOutcome::Timeout)]);
    let later = sends_in_time(&bench.pass(bench.now + 900 * MS));
    assert!(later.iter().all(|(_, id, _)| *id == 1), "only the one whose turn it is: {later:?}");
}

#[test]
fn an_unanswering_directory_is_asked_again_with_growing_gaps() {
    let settings = Settings { discovery: DiscoveryMode::Subscribe, ..settings() };
    let mut controller = Controller::new(settings, 1).expect("well formed");
    let mut actions = Vec::new();
    let mut now = 10 * SECOND;
    controller.turn(now, &[], &mut actions);
    assert!(actions.contains(&Action::Subscribe { on: true }));
    let mut gaps = Vec::new();
    for _ in 0..4 {
        let mut actions = Vec::new();
        let failed = Event::EndpointsUpdated { update: UpdateKind::Failed, version: 0, entries: Vec::new() };
        controller.turn(now, &[failed], &mut actions);
        let start = now;
        while !actions.contains(&Action::Subscribe { on: true }) {
            now += 50 * MS;
            controller.turn(now, &[Event::TimerFired { token: 0 }], &mut actions);
        }
        gaps.push(now - start);
    }
    assert!(gaps.windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
}

#[test]
fn events_on_what_is_not_held_do_nothing() {
    let mut bench = Bench::new(settings(), shared());
    bench.turn(&[message(1, 1, 10)]);
    bench.turn(&[ended(1, 0, 1, AttemptOutcome::Delivered)]);
    let probe =
        Event::ProbeEnded { endpoint: 77, outcome: AttemptOutcome::Timeout, elapsed: 0, load_report: None };
    let odd = [
        ended(1, 0, 1, AttemptOutcome::Timeout),
        ended(9, 3, 77, AttemptOutcome::Error),
        waiting(9, 0, 77, SECOND),
        Event::MessageWithdrawn { id: 9 },
        Event::ResponseStarted { id: 9, attempt: 0 },
        Event::TimerFired { token: 99 },
        Event::NoteReceived { from: 3, bytes: vec![1] },
        probe,
    ];
    let actions = bench.turn(&odd);
    assert!(actions.is_empty(), "{actions:?}");
}

#[test]
fn a_started_stream_is_left_alone_past_its_deadline() {
    let mut bench = Bench::new(settings(), shared());
    bench.turn(&[message(1, 1, 10)]);
    bench.turn(&[Event::ResponseStarted { id: 1, attempt: 0 }]);
    let later = bench.pass(bench.now + 30 * SECOND);
    assert!(later.iter().all(|(_, action)| matches!(action, Action::SetTimer { .. })), "{later:?}");
}

#[test]
fn impossible_settings_are_typed_errors() {
    let none = Settings { classes: Vec::new(), ..settings() };
    assert_eq!(Controller::new(none, 1).err(), Some(SettingsError::NoClasses));
    let late = MessageClass { deadline: -1, ..class(Idempotency::Always) };
    let negative = Settings { classes: vec![late], ..settings() };
    assert_eq!(Controller::new(negative, 1).err(), Some(SettingsError::Negative("deadline")));
    let slotless = Settings { limits: Limits { max_in_flight: 0, ..settings().limits }, ..settings() };
    assert_eq!(Controller::new(slotless, 1).err(), Some(SettingsError::OutOfRange("slots")));
    assert_eq!("odd".parse::<Idempotency>(), Err(SettingsError::UnknownEffect("odd".to_owned())));
}

/// Times at which the messages that `events` hand in are sent, each call delivered at once.
fn sent_after(bench: &mut Bench, events: &[Event]) -> Vec<Micros> {
    let start = bench.now;
    let mut actions: Vec<_> = bench.turn(events).into_iter().map(|action| (start, action)).collect();
    actions.extend(
        answer(bench, 1, AttemptOutcome::Delivered, 0, start + 8 * SECOND)
            .into_iter()
            .map(|at| (at, Action::Send { id: 0, endpoint: 1, timeout: 0, begin_by: 0 })),
    );
    sends_in_time(&actions).into_iter().map(|(at, ..)| at - start).collect()
}

/// Guards against a burst of a restarted sender's messages at a destination that may be cold.
#[test]
fn resumed_messages_of_a_destination_go_one_by_one() {
    let resumed =
        |id| [message(id, 1, 10), Event::MessageRecovered { id, attempts: 0, first_ambiguous: None }];
    let events: Vec<_> = (1..=4).flat_map(resumed).collect();
    let sent = sent_after(&mut Bench::new(settings(), shared()), &events);
    assert_eq!((sent.len(), sent[0]), (4, 0), "{sent:?}");
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= 200 * MS), "{sent:?}");
}

/// Guards against a restart that makes what is held late, however fast its destination is.
#[test]
fn resumed_messages_go_at_the_rate_that_a_cold_destination_is_listed_to_take() {
    let resumed =
        |id| [message(id, 1, 10), Event::MessageRecovered { id, attempts: 0, first_ambiguous: None }];
    let events: Vec<_> = (1..=20).flat_map(resumed).collect();
    // Two senders share a fifth of it: five a second for this one, less for the jitter.
    let listed = vec![EndpointEntry { rate: 50.0, ..entry(1, 10, 0) }];
    let sent =
        sent_after(&mut Bench::new(Settings { rates_are_listed: true, ..settings() }, listed), &events);
    let in_4_s = sent.iter().filter(|at| **at < 4 * SECOND).count();
    assert!((13..=21).contains(&in_4_s), "{sent:?}");
}

/// Guards against messages that wait through a restart and then, worth less than newer ones, until their end.
#[test]
fn what_was_resumed_untried_goes_before_what_came_later() {
    let timed = |id, left: Micros| {
        let mut message = message(id, 1, 10);
        if let Event::MessageSubmitted(MessageSubmission { time_left, .. }) = &mut message {
            *time_left = left;
        }
        message
    };
    let first_of = |attempts| {
        let limits = Limits { max_in_flight: 1, ..settings().limits };
        let terms = Settings { limits, decay: ValueDecay::Exponential, ..settings() };
        let MessageClass { latency_objective, deadline, .. } = terms.classes[1].clone();
        // Long past its aim, the old one loses nothing by waiting; the new one loses more each moment.
        let (old, new) = (timed(1, 5 * SECOND), timed(2, deadline - latency_objective));
        let resumed = Event::MessageRecovered { id: 1, attempts, first_ambiguous: None };
        sends(&Bench::new(terms, shared()).turn(&[old, resumed, new]))[0].0
    };
    assert_eq!(first_of(0), 1);
    // Tried before, it is as any other.
    assert_eq!(first_of(1), 2);
}

#[test]
fn a_resumed_message_keeps_its_attempts_and_its_key_window() {
    let mut bench = Bench::new(settings(), shared());
    let long_ago = Some(AmbiguousAttempt { sent_at: bench.now - 16 * SECOND, zone: 0 });
    let just_now = Some(AmbiguousAttempt { sent_at: bench.now - SECOND, zone: 0 });
    let actions = bench.turn(&[
        message(1, 1, 10),
        Event::MessageRecovered { id: 1, attempts: 2, first_ambiguous: long_ago },
        message(2, 2, 10),
        Event::MessageRecovered { id: 2, attempts: 1, first_ambiguous: just_now },
        message(3, 1, 20),
        Event::MessageRecovered { id: 3, attempts: 6, first_ambiguous: None },
        message(4, 1, 20),
        Event::MessageRecovered { id: 4, attempts: 1, first_ambiguous: None },
    ]);
    let ends: Vec<_> = actions.iter().filter(|action| !matches!(action, Action::SetTimer { .. })).collect();
    let failed = |id| ends.contains(&&Action::Fail { id });
    assert!(failed(1) && failed(2), "the key window is over, or a repeat may take effect twice: {ends:?}");
    assert!(
        ends.iter().any(|end| matches!(end, Action::Reject { id: 3, .. })),
        "no attempt is left: {ends:?}"
    );
    let later = bench.pass(bench.now + 2 * SECOND);
    assert_eq!(sends_in_time(&later).len() + sends(&actions).len(), 1, "{later:?}");
}

/// A new process knows nothing of what it had sent before: refusals by a destination that hangs, and serves
/// again later, must leave it a pace for what waits there.
#[test]
fn a_refusal_after_a_restart_leaves_a_pace_for_what_waits() {
    let mut settings = settings();
    settings.limits.buffer_capacity = 200;
    let mut bench = Bench::new(settings, vec![entry(1, 10, 0)]);
    for id in 1..=80 {
        bench.turn(&[
            Event::MessageSubmitted(MessageSubmission {
                id,
                class: 1,
                tenant: None,
                destination: 10,
                time_left: 12 * SECOND,
                work: None,
                order_key: None,
                returned: false,
                repeat: false,
                write: false,
            }),
            Event::MessageRecovered { id, attempts: 0, first_ambiguous: None },
        ]);
    }
    let back = bench.now + SECOND;
    answer(&mut bench, 1, AttemptOutcome::Rejected, 50 * MS, back);
    let sent = answer(&mut bench, 1, AttemptOutcome::Delivered, 50 * MS, back + 6 * SECOND);
    assert!(sent.len() >= 20, "{} calls in 6 s for 80 messages", sent.len());
}

/// Guards against what goes while it is out being kept for good: under steady replacement that never ends.
#[test]
fn the_outage_of_what_has_gone_is_forgotten_after_a_minute() {
    let calls_after = |gone: Micros| {
        let mut bench = Bench::new(settings(), vec![entry(1, 10, 0)]);
        bench.turn(&[message(1, 0, 10)]);
        bench.now += 50 * MS;
        bench.turn(&[ended(1, 0, 1, AttemptOutcome::ConnectFailed)]);
        bench.turn(&[listed(Vec::new())]);
        bench.pass(bench.now + gone);
        bench.turn(&[listed(Vec::new())]);
        bench.turn(&[listed(vec![entry(1, 10, 0)])]);
        let messages: Vec<_> = (11..=13).map(|id| message(id, 0, 10)).collect();
        sends(&bench.turn(&messages)).len()
    };
    assert_eq!((calls_after(30 * SECOND), calls_after(61 * SECOND)), (1, 3), "first one trial, then all");
}

/// Guards against an endpoint that an operator works on getting calls, whatever discovery lists, and against one
/// call out too many to undo.
#[test]
fn an_endpoint_out_by_hand_drains_until_it_is_put_back_once() {
    let mut bench = Bench::new(settings(), shared());
    assert_eq!(bench.controller.avoided_endpoint_count(), 0);
    let maintenance = |command| Event::Maintenance { endpoint: 1, command };
    bench.turn(&[maintenance(MaintenanceCommand::Drain), maintenance(MaintenanceCommand::Drain)]);
    assert!(sends(&bench.turn(&[message(1, 1, 10)])).is_empty());
    for list in [shared(), vec![entry(2, 20, 0)], shared()] {
        assert!(sends(&bench.turn(&[listed(list)])).is_empty());
        bench.pass(bench.now + SECOND);
    }
    assert_eq!(bench.controller.avoided_endpoint_count(), 1);
    let mut actions = bench.turn(&[maintenance(MaintenanceCommand::Restore)]);
    let until = bench.now + 12 * SECOND;
    actions.extend(bench.pass(until).into_iter().map(|(_, action)| action));
    assert_eq!(sends(&actions), [(1, 1)]);
    assert_eq!(bench.controller.avoided_endpoint_count(), 0);
}

/// Guards against an endpoint that was put back while discovery did not list it being lost for good, and against
/// what drains being counted out of the list.
#[test]
fn an_endpoint_put_back_while_not_listed_is_used_once_it_is() {
    let mut bench = Bench::new(settings(), shared());
    bench.turn(&[
        Event::Maintenance { endpoint: 1, command: MaintenanceCommand::Drain },
        listed(vec![entry(2, 20, 0)]),
    ]);
    bench
        .turn(&[Event::Maintenance { endpoint: 1, command: MaintenanceCommand::Restore }, message(1, 1, 10)]);
    assert!(sends(&bench.turn(&[])).is_empty());
    let draining = EndpointEntry { listing: ListingState::Draining, ..entry(2, 20, 0) };
    bench.turn(&[listed(vec![entry(1, 10, 0), draining])]);
    assert_eq!(bench.controller.avoided_endpoint_count(), 1);
    bench.pass(bench.now + 12 * SECOND);
    assert_eq!(bench.attempts.get(&1), Some(&0));
}

/// Guards against a restarted endpoint being pushed over: what an operator puts back is cold.
#[test]
fn an_endpoint_put_back_by_hand_starts_slowly() {
    let rate = |to, rate| EndpointEntry { rate, ..entry(to, 10 * to, 0) };
    let settings = Settings { rates_are_listed: true, ..settings() };
    let mut bench = Bench::new(settings, vec![rate(1, 40.0), rate(2, 40.0)]);
    let mut sent_of = |first: MessageId, events: &[Event]| {
        bench.turn(events);
        let messages: Vec<_> = (first..first + 50).map(|id| message(id, 1, 10)).collect();
        let at_once = sends(&bench.turn(&messages)).len();
        let until = bench.now + SECOND;
        at_once + answer(&mut bench, 1, AttemptOutcome::Delivered, 5 * MS, until).len()
    };
    assert_eq!(sent_of(1, &[]), 50);
    let maintenance = |command| Event::Maintenance { endpoint: 1, command };
    let cold =
        sent_of(101, &[maintenance(MaintenanceCommand::Drain), maintenance(MaintenanceCommand::Restore)]);
    assert!(cold > 0 && cold < 30, "{cold} in the first second");
}

/// Guards against a burst at an endpoint that an operator put back before it serves: one call shows that it does.
#[test]
fn an_endpoint_put_back_by_hand_is_tried_by_one_call() {
    let mut bench = Bench::new(settings(), shared());
    let maintenance = |command| Event::Maintenance { endpoint: 1, command };
    bench.turn(&[maintenance(MaintenanceCommand::Drain), maintenance(MaintenanceCommand::Restore)]);
    assert_eq!(bench.controller.avoided_endpoint_count(), 0, "nothing keeps the next message from it");
    let burst: Vec<_> = (1..=10).map(|id| message(id, 1, 10)).collect();
    assert_eq!(sends(&bench.turn(&burst)).len(), 1);
    bench.turn(&[ended(1, 0, 1, AttemptOutcome::ConnectFailed)]);
    assert_eq!(bench.controller.avoided_endpoint_count(), 1);
}

/// Guards against payments spent on finding out whether a partner is back, while a message waits that may be
/// repeated; but where none does, a payment must do.
#[test]
fn an_ill_destination_is_tried_by_what_may_be_repeated() {
    for (others, tried_by) in [(vec![message(2, 1, 10)], 2), (Vec::new(), 1)] {
        let mut bench = Bench::new(settings(), shared());
        bench.turn(&[message(9, 1, 10)]);
        bench.turn(&[ended(9, 0, 1, AttemptOutcome::Error)]);
        bench.turn(&[Event::MessageWithdrawn { id: 9 }]);
        assert_eq!(bench.controller.avoided_endpoint_count(), 1);
        // Older, and so first in its line.
        assert!(sends(&bench.turn(&[message(1, 2, 10)])).is_empty());
        assert!(sends(&bench.turn(&others)).is_empty());
        let until = bench.now + 10 * SECOND;
        let trials = sends_in_time(&bench.pass(until));
        assert_eq!(trials.iter().map(|(_, id, _)| *id).collect::<Vec<_>>(), [tried_by]);
    }
}

/// Guards against a key whose first message is late and so worth little: all behind it are lost with it.
#[test]
fn the_first_of_a_key_goes_before_what_holds_up_nothing() {
    let max_in_flight = Limits { max_in_flight: 1, ..settings().limits };
    let mut bench =
        Bench::new(Settings { limits: max_in_flight, ..settings() }, vec![entry(1, 10, 0), entry(2, 20, 0)]);
    // The only slot is taken while all come.
    bench.turn(&[message(1, 0, 20)]);
    bench.turn(&[message(2, 0, 10), keyed(3, 10, "k"), keyed(4, 10, "k"), keyed(5, 20, "k")]);
    // Past the aim, where waiting costs worth.
    bench.now += 3 * SECOND;
    let freed = bench.turn(&[ended(1, 0, 2, AttemptOutcome::Delivered)]);
    assert_eq!(sends(&freed), [(3, 1)]);
    let next = bench.turn(&[ended(3, 0, 1, AttemptOutcome::Delivered)]);
    assert_eq!(sends(&next), [(4, 1)], "two are left of the key");
}
