//! Plans of faults: each seed determines a few kinds of faults, their times and their targets.

use std::fmt;
use std::time::Duration;

use clap::ValueEnum;

use crate::network::Network;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum FaultKind {
    /// SIGKILL, and a restart 0.6 s later.
    Kill,
    /// SIGKILL, a restart, a second SIGKILL soon after it, and another restart.
    KillTwice,
    /// SIGTERM, SIGKILL if the process has not ended after 3.7 s, and a restart 0.6 s after its end.
    Terminate,
    /// SIGTERM, SIGHUP and SIGINT mixed, with suspensions of up to 0.15 s, SIGKILL if the process has not ended
    /// after 3.7 s, and a restart 0.6 s after its end.
    SignalSeries,
    /// As `Terminate`, while no endpoint responds.
    TerminateHanging,
    /// The state folder takes no writes; SIGKILL soon after, and a restart on a folder that takes writes.
    KillUnwritable,
    /// A successor process takes over by handover.
    Upgrade,
    /// A successor is killed soon after its start, possibly during or after the handover.
    UpgradeDies,
    /// SIGTERM to the predecessor while its successor is starting; the successor is killed soon after.
    UpgradeCrossed,
    /// SIGSTOP, and SIGCONT at most 2.5 s later.
    Pause,
    /// The configuration file gets another address of discovery, followed by SIGHUP.
    Reload,
    /// As `Reload`, but the file is only half written when the signal is sent.
    TornReload,
    /// The wall clock is set back by an hour.
    WallClockBack,
    /// The wall clock is set forward by an hour.
    WallClockForward,
    /// The wall clock is set back or forward by some seconds.
    WallClockSeconds,
    /// Some writes to files fail with ENOSPC or EIO, as on a full or broken disk.
    DiskWrites,
    /// Some writes to files are partial, with an error from the next write, and most truncations fail.
    DiskTornWrites,
    /// Some writes to files succeed, but are reported as failed.
    DiskFalseFailures,
    /// Some writes to files take 0.1 s.
    DiskSlow,
    /// Renames, opens, locks, truncations and removals of files fail at times.
    DiskNames,
    /// Reads of files fail or are partial at times.
    DiskReads,
    /// `socket` and similar calls fail at times.
    Sockets,
    /// `accept` fails at times.
    Accepts,
    /// `connect` fails at times.
    Connects,
    /// Some system calls on sockets and epoll fail with EINTR, and some reads and writes of sockets are
    /// partial.
    Interrupts,
    /// Processes are held up by up to 0.15 s right before or after system calls on sockets and readings of the clock.
    Holds,
    /// Endpoints answer some calls with errors or connection resets.
    EndpointsFlaky,
    /// Endpoints do not respond.
    EndpointsHang,
    /// Endpoints reset the connection of each call.
    EndpointsReset,
    /// Endpoints send their responses one byte at a time, or late.
    EndpointsSlow,
    /// Endpoints take 60 to 300 ms for each call, and then 3 ms at most, as after a queue has drained.
    EndpointsSpeed,
    /// Endpoints answer with 410 or 504, send their first line in pieces, or end the connection within it.
    EndpointsOdd,
    /// Endpoints refuse connections and reset those that are open.
    EndpointsRefuse,
    /// Endpoints send data after their responses, at once or up to 50 ms later, while no request waits.
    EndpointsExcess,
    /// Endpoints answer with bodies of up to 70 KiB, in chunks or with a stated length.
    EndpointsBodies,
    /// An endpoint is listed as draining or removed, and later as up again.
    EndpointsDrain,
    /// An operator drains two endpoints, restores one of them, and later the other.
    OperatorsDrain,
    /// Discovery responds to requests for the list with 503.
    DiscoveryDown,
    /// Discovery delays its responses to requests for the list by 30 s.
    DiscoverySilent,
    /// Discovery restarts its version numbers at 1.
    DiscoveryReset,
    /// Discovery sends second copies of some of its responses, up to 5 ms after them.
    DiscoveryExcess,
    /// Discovery acknowledges some notices late.
    NoticesLate,
    /// Discovery answers some notices with an error.
    NoticesRefused,
    /// Some clients disconnect without waiting for the response.
    ClientsLeave,
    /// Some clients send their requests in two pieces.
    ClientsPieces,
    /// Some clients end their sending side after the request.
    ClientsHalfClose,
    /// Clients submit to any sender, and come back to their own one afterwards.
    ClientsMove,
    /// Further clients open connections that rest before their only request.
    ClientsRest,
    /// Peers hold more idle connections than a sender may have descriptors.
    CrowdHolds,
    /// Peers open and close connections without pause.
    CrowdChurns,
    /// Peers send incomplete requests and keep the connection open.
    PeersStall,
    /// Peers stop before the last byte of large requests, or within heads of very many short fields, and keep the
    /// connection open.
    PeersStallInBodies,
    /// Peers send large amounts of data that is no valid request.
    PeersGarbage,
    /// Clients submit accepted messages of class `Once` again under the same id, most of them after the
    /// message has ended.
    ClientsReplay,
}

/// A fault with its time and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time from the start of the load to the beginning of the fault.
    pub start_offset: Duration,
    /// How long the fault lasts. Process events occur once, at the beginning; of them, only `Pause` and
    /// `OperatorsDrain` use it.
    pub duration: Duration,
    /// Numbers of the affected senders or endpoints, each taken modulo their count.
    pub targets: Vec<usize>,
    /// How many of ten thousand system calls fail, before some kinds of faults double or limit it. Kinds that
    /// fail no system calls derive a delay, a clock offset or a variant from it, or ignore it.
    pub rate: u32,
}

/// The faults of one seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Seed that the plan was drawn from.
    pub seed: u64,
    /// Delays of the network.
    pub network: Network,
    /// The faults in the order of their beginning.
    pub faults: Vec<Fault>,
}

/// Earliest beginning of a drawn fault, in seconds after the start of the load.
const FIRST_START_SECONDS: f64 = 1.5;
/// Latest beginning of a drawn fault, in seconds after the start of the load.
const LAST_START_SECONDS: f64 = 9.0;
/// Time after the start of the load by which drawn faults have ended. An added restart begins at this time
/// at the latest.
pub const FAULTS_END: Duration = Duration::from_millis(12_500);
/// Minimum number of kinds drawn for one seed, without restarts that are added.
const MIN_KINDS: usize = 2;
/// Default for the maximum number of kinds drawn for one seed.
pub const DEFAULT_MAX_KINDS: usize = 5;
/// Probability that a restart is added to a plan without one, and after a fault that affects a restart.
const RESTART_CHANCE: f64 = 0.75;
/// Rates that are drawn for faults, of ten thousand system calls.
const RATES: [u32; 5] = [200, 500, 1_000, 2_000, 4_000];

impl FaultKind {
    /// Whether the fault affects the state that a process leaves to the next one, or the start of that one.
    #[must_use]
    pub fn affects_restart(self) -> bool {
        use FaultKind::{
            DiskFalseFailures, DiskNames, DiskReads, DiskTornWrites, DiskWrites, Sockets, WallClockBack,
            WallClockForward, WallClockSeconds,
        };
        let kinds = [
            DiskFalseFailures,
            DiskNames,
            DiskReads,
            DiskTornWrites,
            DiskWrites,
            Sockets,
            WallClockBack,
            WallClockForward,
            WallClockSeconds,
        ];
        kinds.contains(&self)
    }

    /// Whether the fault is a crowd of connections that occupy a sender.
    #[must_use]
    pub fn is_crowd(self) -> bool {
        matches!(self, Self::CrowdChurns | Self::CrowdHolds)
    }

    /// Whether the fault may keep a sender from accepting connections at once.
    #[must_use]
    pub fn stalls_accepts(self) -> bool {
        use FaultKind::{Accepts, PeersGarbage, PeersStall, PeersStallInBodies, Sockets};
        self.is_crowd() || [Accepts, PeersGarbage, PeersStall, PeersStallInBodies, Sockets].contains(&self)
    }

    /// Whether the fault is an event of the processes of a sender, not a condition that is switched on and off.
    #[must_use]
    pub fn is_process_event(self) -> bool {
        use FaultKind::{
            Kill, KillTwice, KillUnwritable, OperatorsDrain, Pause, Reload, SignalSeries, Terminate,
            TerminateHanging, TornReload, Upgrade, UpgradeCrossed, UpgradeDies,
        };
        let events = [
            Kill,
            KillTwice,
            KillUnwritable,
            OperatorsDrain,
            Pause,
            Reload,
            SignalSeries,
            Terminate,
            TerminateHanging,
            TornReload,
            Upgrade,
            UpgradeCrossed,
            UpgradeDies,
        ];
        events.contains(&self)
    }
}

impl Plan {
    /// Draws the plan of a seed from `kinds`, with at most `max_kinds` of them before restarts are added.
    #[must_use]
    pub fn draw(seed: u64, kinds: &[FaultKind], max_kinds: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut drawn = kinds.to_vec();
        random.shuffle(&mut drawn);
        drawn.truncate(random.usize(MIN_KINDS..=max_kinds.max(MIN_KINDS)));
        let restarts = [
            FaultKind::Kill,
            FaultKind::Terminate,
            FaultKind::Upgrade,
            FaultKind::KillTwice,
            FaultKind::SignalSeries,
            FaultKind::TerminateHanging,
            FaultKind::KillUnwritable,
        ];
        let possible: Vec<FaultKind> = restarts.into_iter().filter(|kind| kinds.contains(kind)).collect();
        let has_restart = drawn.iter().any(|kind| restarts.contains(kind));
        if !has_restart && random.f64() < RESTART_CHANCE {
            drawn.extend(random.choice(&possible));
        }
        let mut faults: Vec<Fault> = Vec::new();
        for kind in drawn {
            let times = random.usize(1..=2);
            for _ in 0..times {
                let fault = Fault::draw(kind, &mut random);
                // The state folder and the clock mostly matter to the next process, so it should start soon.
                if kind.affects_restart() && random.f64() < RESTART_CHANCE {
                    let restart = random.choice(&possible);
                    faults.extend(restart.map(|kind| fault.followed_by(*kind, &mut random)));
                }
                faults.push(fault);
            }
        }
        faults.sort_by_key(|fault| fault.start_offset);
        Self { seed, network: Network::draw(seed), faults }
    }

    /// Returns the kinds of faults in the plan, each of them once.
    #[must_use]
    pub fn kinds(&self) -> Vec<FaultKind> {
        let mut kinds: Vec<_> = self.faults.iter().map(|fault| fault.kind).collect();
        kinds.sort();
        kinds.dedup();
        kinds
    }

    /// Returns the same plan without the faults of one kind.
    #[must_use]
    pub fn without(&self, kind: FaultKind) -> Self {
        let faults = self.faults.iter().filter(|fault| fault.kind != kind).cloned().collect();
        Self { faults, ..self.clone() }
    }
}

impl Fault {
    fn draw(kind: FaultKind, random: &mut fastrand::Rng) -> Self {
        let start_offset = FIRST_START_SECONDS + random.f64() * (LAST_START_SECONDS - FIRST_START_SECONDS);
        let longest = FAULTS_END.as_secs_f64() - start_offset;
        let duration = (0.5 + random.f64() * 4.5).min(longest);
        let count = random.usize(1..=10);
        Self {
            kind,
            start_offset: Duration::from_secs_f64(start_offset),
            duration: Duration::from_secs_f64(duration),
            targets: (0..count).map(|_| random.usize(0..64)).collect(),
            rate: RATES[random.usize(0..RATES.len())],
        }
    }
}

impl Fault {
    /// Returns a fault of another kind on the same senders, which begins during this fault or shortly after
    /// it.
    fn followed_by(&self, kind: FaultKind, random: &mut fastrand::Rng) -> Self {
        let start_offset = self.start_offset + self.duration.mul_f64(random.f64() * 1.2);
        Self { kind, start_offset: start_offset.min(FAULTS_END), ..self.clone() }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "  {}", self.network)?;
        for fault in &self.faults {
            writeln!(
                formatter,
                "  {:6.2} s for {:4.2} s  {:?}, targets {:?}, rate {}",
                fault.start_offset.as_secs_f64(),
                fault.duration.as_secs_f64(),
                fault.kind,
                fault.targets,
                fault.rate
            )?;
        }
        Ok(())
    }
}
