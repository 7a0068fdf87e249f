//! What a seed plays: a few fault kinds out of all, each at drawn times and on drawn senders.

use std::fmt;
use std::time::Duration;

use clap::ValueEnum;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum FaultKind {
    /// SIGKILL, and a start 0.6 s later.
    Kill,
    /// SIGKILL twice in a row, the second one during the start.
    KillTwice,
    /// SIGTERM, SIGKILL 3.7 s later, and a start 0.6 s after the end.
    Terminate,
    /// A successor process takes over.
    Upgrade,
    /// A successor takes over, and is killed soon after its start.
    UpgradeDies,
    /// SIGTERM to the predecessor while its successor is starting, which is then killed.
    UpgradeCrossed,
    /// SIGSTOP, and SIGCONT some time later.
    Pause,
    /// Discovery moves to another address, with SIGHUP.
    Reload,
    /// As `Reload`, but the file is half written when the signal comes.
    TornReload,
    /// The wall clock is set back an hour.
    WallClockBack,
    /// The wall clock is set forward an hour.
    WallClockForward,
    /// The wall clock is set by some seconds, either way.
    WallClockSeconds,
    /// Writes to the folder fail.
    DiskWrites,
    /// Writes to the folder stop half-way, and cutting the part off fails too.
    DiskTornWrites,
    /// Writes are done and reported as failed.
    DiskFalseFailures,
    /// Renames, opens, locks and removals in the folder fail, now and then.
    DiskNames,
    /// Reads of files fail, now and then.
    DiskReads,
    /// `socket` fails, now and then.
    Sockets,
    /// `accept` fails, now and then.
    Accepts,
    /// `connect` fails, now and then.
    Connects,
    /// Calls are interrupted, and reads and writes cut short.
    Interrupts,
    /// Endpoints fail and reset calls.
    EndpointsFlaky,
    /// Endpoints hang.
    EndpointsHang,
    /// Endpoints reset each call.
    EndpointsReset,
    /// Endpoints answer a byte at a time, or late.
    EndpointsSlow,
    /// Endpoints drain, go and come back.
    EndpointsDrain,
    /// Discovery answers 503.
    DiscoveryDown,
    /// Discovery answers nothing.
    DiscoverySilent,
    /// Discovery counts versions anew.
    DiscoveryReset,
    /// Clients leave without their answer.
    ClientsLeave,
    /// Peers stop half-way in a request, and stay.
    PeersStall,
    /// Peers send what is no request, and much of it.
    PeersGarbage,
    /// Clients submit messages again under ids that have ended.
    ClientsReplay,
}

/// When a fault is on, and where.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when on, counted from the start of the load.
    pub from: Duration,
    /// For how long. Faults of a process come once, at its beginning.
    pub lasts: Duration,
    /// The senders or endpoints that it concerns, by number, modulo how many there are.
    pub targets: Vec<usize>,
    /// How often calls fail, of ten thousand.
    pub rate: u32,
}

/// All faults of a seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The faults, by their beginning.
    pub faults: Vec<Fault>,
}

/// Load runs for so long before the first fault.
const QUIET_START: f64 = 1.5;
/// Faults begin up to this time.
const LAST_START: f64 = 9.0;
/// All faults are over by this time.
pub const FAULTS_END: Duration = Duration::from_millis(12_500);
/// Fewest kinds that one seed plays, beside what they need to show.
const MIN_KINDS: usize = 2;
/// Most kinds that one seed usually plays.
pub const USUAL_MAX_KINDS: usize = 5;
/// The chance that a seed has a process fault whatever else it draws.
const RESTART_CHANCE: f64 = 0.75;
const RATES: [u32; 5] = [200, 500, 1_000, 2_000, 4_000];

impl FaultKind {
    /// Whether the fault concerns what one process leaves to the next.
    #[must_use]
    pub fn shows_at_a_restart(self) -> bool {
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

    /// Whether the fault is a single event of a process.
    #[must_use]
    pub fn is_of_process(self) -> bool {
        use FaultKind::{
            Kill, KillTwice, Pause, Reload, Terminate, TornReload, Upgrade, UpgradeCrossed, UpgradeDies,
        };
        let events =
            [Kill, KillTwice, Terminate, Upgrade, UpgradeDies, UpgradeCrossed, Pause, Reload, TornReload];
        events.contains(&self)
    }
}

impl Plan {
    /// Draws the plan of a seed out of these kinds, of which it plays so many at most.
    #[must_use]
    pub fn draw(seed: u64, kinds: &[FaultKind], max_kinds: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut drawn = kinds.to_vec();
        random.shuffle(&mut drawn);
        drawn.truncate(random.usize(MIN_KINDS..=max_kinds.max(MIN_KINDS)));
        let restarts = [FaultKind::Kill, FaultKind::Terminate, FaultKind::Upgrade, FaultKind::KillTwice];
        let possible: Vec<FaultKind> = restarts.into_iter().filter(|kind| kinds.contains(kind)).collect();
        let has_process_fault = drawn.iter().any(|kind| restarts.contains(kind));
        if !has_process_fault && random.f64() < RESTART_CHANCE {
            drawn.extend(random.choice(&possible));
        }
        let mut faults: Vec<Fault> = Vec::new();
        for kind in drawn {
            let times = random.usize(1..=2);
            for _ in 0..times {
                let fault = Fault::draw(kind, &mut random);
                // What is in the folder, and what time it is, matters to the next process.
                if kind.shows_at_a_restart() && random.f64() < RESTART_CHANCE {
                    let restart = random.choice(&possible);
                    faults.extend(restart.map(|kind| fault.followed_by(*kind, &mut random)));
                }
                faults.push(fault);
            }
        }
        faults.sort_by_key(|fault| fault.from);
        Self { seed, faults }
    }

    /// The kinds that the plan holds.
    #[must_use]
    pub fn kinds(&self) -> Vec<FaultKind> {
        let mut kinds: Vec<_> = self.faults.iter().map(|fault| fault.kind).collect();
        kinds.sort();
        kinds.dedup();
        kinds
    }

    /// The same plan without one kind.
    #[must_use]
    pub fn without(&self, kind: FaultKind) -> Self {
        let faults = self.faults.iter().filter(|fault| fault.kind != kind).cloned().collect();
        Self { seed: self.seed, faults }
    }
}

impl Fault {
    fn draw(kind: FaultKind, random: &mut fastrand::Rng) -> Self {
        let from = QUIET_START + random.f64() * (LAST_START - QUIET_START);
        let longest = FAULTS_END.as_secs_f64() - from;
        let lasts = (0.5 + random.f64() * 4.5).min(longest);
        let count = random.usize(1..=10);
        Self {
            kind,
            from: Duration::from_secs_f64(from),
            lasts: Duration::from_secs_f64(lasts),
            targets: (0..count).map(|_| random.usize(0..64)).collect(),
            rate: RATES[random.usize(0..RATES.len())],
        }
    }
}

impl Fault {
    /// A fault of the same senders within this one or shortly after it.
    fn followed_by(&self, kind: FaultKind, random: &mut fastrand::Rng) -> Self {
        let from = self.from + self.lasts.mul_f64(random.f64() * 1.2);
        Self { kind, from: from.min(FAULTS_END), ..self.clone() }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            writeln!(
                formatter,
                "  {:6.2} s for {:4.2} s  {:?} at {:?}, rate {}",
                fault.from.as_secs_f64(),
                fault.lasts.as_secs_f64(),
                fault.kind,
                fault.targets,
                fault.rate
            )?;
        }
        Ok(())
    }
}
