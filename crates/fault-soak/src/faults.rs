//! Executes a plan: starts and ends each fault at its time.

use std::io;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, sleep_until, Instant};

use crate::client::LoadControl;
use crate::discovery::{Discovery, ServiceState, Status};
use crate::endpoint::{Behaviour, Endpoint};
use crate::plan::{Fault, FaultKind, Plan};
use crate::sender::Sender;
use crate::settings::ENDPOINTS_PER_DESTINATION;
use crate::shim::{Failure, FailureRule, Syscall};

// Error numbers of Linux.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const ENOLCK: i32 = 37;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const EHOSTUNREACH: i32 = 113;

/// One hour, in microseconds.
const HOUR_MICROS: i64 = 3_600_000_000;
/// Longest time for which processes are suspended.
const MAX_PAUSE: Duration = Duration::from_millis(2_500);
/// Highest failure rate, of ten thousand, for system calls that a start needs: with a higher rate the failure
/// would not be a transient one.
const MAX_START_RATE: u32 = 2_000;

/// Highest rate of slow writes, of ten thousand: with a higher rate, a sender would hardly do anything else.
const MAX_SLOW_RATE: u32 = 100;
/// Time that a slow write takes, in milliseconds.
const SLOW_WRITE_MS: i32 = 100;

/// Shortest and longest time that slow endpoints take for a call before they become faster, in milliseconds.
const MIN_SLOW_MS: u64 = 60;
const MAX_SLOW_MS: u64 = 300;
/// The highest rate of a fault, for which endpoints are slowest.
const MAX_RATE: u64 = 4_000;
/// Share of the fault's time for which endpoints are slow before they become faster.
const SLOW_SHARE: f64 = 0.75;
/// Time that they take for a call then, in milliseconds.
const SPED_UP_MS: Range<u64> = 0..4;
/// Kinds of system calls at which processes are held up. Requests are most sensitive to holds where they are sent.
const HELD_CALLS: [Syscall; 7] = [
    Syscall::Send,
    Syscall::Send,
    Syscall::Receive,
    Syscall::Accept,
    Syscall::Connect,
    Syscall::EpollWait,
    Syscall::Clock,
];
/// Times for which a process is held up, in milliseconds.
const HOLD_MS: [i32; 4] = [20, 60, 110, 150];
/// Highest rate at which a process is held up at readings of the clock, of ten thousand: there are many more of them
/// than of other system calls.
const MAX_CLOCK_HOLD_RATE: u32 = 20;

/// Everything that faults can affect.
pub struct Targets {
    /// Senders under test.
    pub senders: Vec<Arc<Sender>>,
    /// Simulated endpoints.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// Simulated discovery service.
    pub discovery: Arc<Discovery>,
    /// Switches for clients and other peers.
    pub load_control: Arc<LoadControl>,
}

impl Targets {
    /// Executes all faults of a plan, whose times count from now, and returns when all have ended.
    pub async fn run(self: &Arc<Self>, plan: &Plan) {
        let start = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for fault in plan.faults.clone() {
            let targets = self.clone();
            tasks.spawn(async move {
                sleep_until(start + fault.start_offset).await;
                targets.inject(&fault).await;
            });
        }
        tasks.join_all().await;
    }

    async fn inject(&self, fault: &Fault) {
        if fault.kind.is_process_event() {
            return self.inject_process_fault(fault).await;
        }
        if fault.kind == FaultKind::EndpointsSpeed {
            return self.change_speed(fault).await;
        }
        self.switch(fault, true);
        sleep(fault.duration).await;
        self.switch(fault, false);
    }

    /// Makes endpoints slow for most of the fault's time, and then faster than they have ever been.
    async fn change_speed(&self, fault: &Fault) {
        let slow_ms = MIN_SLOW_MS.max(MAX_SLOW_MS * u64::from(fault.rate) / MAX_RATE);
        self.set_service_ms(fault, Some(slow_ms..slow_ms + 1));
        sleep(fault.duration.mul_f64(SLOW_SHARE)).await;
        self.set_service_ms(fault, Some(SPED_UP_MS));
        sleep(fault.duration.mul_f64(1.0 - SLOW_SHARE)).await;
        self.set_service_ms(fault, None);
    }

    fn set_service_ms(&self, fault: &Fault, service_ms: Option<Range<u64>>) {
        for endpoint in self.endpoints_of(fault) {
            endpoint.set_service_ms(service_ms.clone());
        }
    }

    fn senders_of(&self, fault: &Fault) -> Vec<Arc<Sender>> {
        let mut indices: Vec<_> = fault.targets.iter().map(|target| target % self.senders.len()).collect();
        indices.sort_unstable();
        indices.dedup();
        indices.into_iter().map(|index| self.senders[index].clone()).collect()
    }

    async fn inject_process_fault(&self, fault: &Fault) {
        if fault.kind == FaultKind::TerminateHanging {
            self.set_all_behaviours(Some(Behaviour::Hanging));
        }
        self.run_process_fault(fault).await;
        if fault.kind == FaultKind::TerminateHanging {
            self.set_all_behaviours(None);
        }
    }

    fn set_all_behaviours(&self, behaviour: Option<Behaviour>) {
        for endpoint in &self.endpoints {
            endpoint.set_behaviour(behaviour);
        }
    }

    async fn run_process_fault(&self, fault: &Fault) {
        let mut tasks = tokio::task::JoinSet::new();
        for sender in self.senders_of(fault) {
            let discovery = self.discovery.clone();
            let Fault { kind, duration, rate, .. } = fault.clone();
            let drained = self.drained_by_operator(fault);
            tasks.spawn(async move {
                let delay = Duration::from_millis(u64::from(rate) / 10);
                match kind {
                    FaultKind::Kill => sender.kill_and_start().await,
                    FaultKind::KillTwice => sender.kill_twice_and_start(delay).await,
                    FaultKind::Terminate | FaultKind::TerminateHanging => sender.terminate_and_start().await,
                    FaultKind::SignalSeries => {
                        sender.terminate_by_series_and_start(u64::from(rate) + sender.index as u64).await;
                    }
                    FaultKind::KillUnwritable => sender.kill_unwritable_and_start(delay).await,
                    FaultKind::Upgrade => sender.upgrade().await,
                    FaultKind::UpgradeDies => sender.upgrade_and_kill_successor(delay, false).await,
                    FaultKind::UpgradeCrossed => sender.upgrade_and_kill_successor(delay, true).await,
                    FaultKind::OperatorsDrain => sender.drain_and_restore(drained, duration).await,
                    FaultKind::Pause => sender.pause(duration.min(MAX_PAUSE)).await,
                    _ => reload(&sender, &discovery, kind == FaultKind::TornReload).await,
                }
            });
        }
        tasks.join_all().await;
    }

    fn switch(&self, fault: &Fault, is_on: bool) {
        if self.switch_environment(fault, is_on) {
            return;
        }
        for sender in self.senders_of(fault) {
            if let Err(error) = switch_syscalls(&sender, fault, is_on) {
                eprintln!("cannot write the control file: {error}");
            }
        }
    }

    /// Switches a fault of endpoints, discovery, clients or other peers; false if the fault is of another
    /// kind.
    fn switch_environment(&self, fault: &Fault, is_on: bool) -> bool {
        let behaviour = |behaviour| self.set_behaviour(fault, is_on.then_some(behaviour));
        let set_flag = |flag: &AtomicBool| flag.store(is_on, Ordering::Relaxed);
        let service =
            |service| self.discovery.set_service_state(if is_on { service } else { ServiceState::Up });
        match fault.kind {
            FaultKind::EndpointsFlaky => behaviour(Behaviour::Flaky),
            FaultKind::EndpointsHang => behaviour(Behaviour::Hanging),
            FaultKind::EndpointsReset => behaviour(Behaviour::Resetting),
            FaultKind::EndpointsSlow if fault.rate < 1_000 => behaviour(Behaviour::Trickling),
            FaultKind::EndpointsSlow => behaviour(Behaviour::Slow),
            FaultKind::EndpointsOdd => behaviour(Behaviour::Odd),
            FaultKind::EndpointsRefuse => behaviour(Behaviour::Refusing),
            FaultKind::EndpointsExcess => behaviour(Behaviour::Excess),
            FaultKind::EndpointsBodies => behaviour(Behaviour::Bodies),
            FaultKind::EndpointsDrain => self.drain(fault, is_on),
            FaultKind::DiscoveryDown => service(ServiceState::Down),
            FaultKind::DiscoverySilent => service(ServiceState::Silent),
            FaultKind::DiscoveryReset if is_on => self.discovery.reset_versions(),
            FaultKind::DiscoveryReset => {}
            FaultKind::DiscoveryExcess => set_flag(&self.discovery.sends_copies),
            FaultKind::NoticesLate => set_flag(&self.discovery.delays_notices),
            FaultKind::NoticesRefused => set_flag(&self.discovery.refuses_notices),
            FaultKind::ClientsLeave => set_flag(&self.load_control.abandon),
            FaultKind::ClientsPieces => set_flag(&self.load_control.pieces),
            FaultKind::ClientsHalfClose => set_flag(&self.load_control.half_close),
            FaultKind::ClientsRest => set_flag(&self.load_control.rest),
            FaultKind::ClientsMove => set_flag(&self.load_control.moves),
            FaultKind::CrowdHolds => set_flag(&self.load_control.hold),
            FaultKind::CrowdChurns => set_flag(&self.load_control.churn),
            FaultKind::PeersStall => set_flag(&self.load_control.stall),
            FaultKind::PeersStallInBodies => set_flag(&self.load_control.stall_in_bodies),
            FaultKind::PeersGarbage => set_flag(&self.load_control.garbage),
            FaultKind::ClientsReplay => set_flag(&self.load_control.replay),
            _ => return false,
        }
        true
    }

    fn endpoints_of(&self, fault: &Fault) -> Vec<&Arc<Endpoint>> {
        let indices = fault.targets.iter().map(|target| target % self.endpoints.len());
        indices.map(|index| &self.endpoints[index]).collect()
    }

    fn set_behaviour(&self, fault: &Fault, behaviour: Option<Behaviour>) {
        for endpoint in self.endpoints_of(fault) {
            endpoint.set_behaviour(behaviour);
        }
    }

    /// The endpoints that an operator drains: one of each of two destinations.
    fn drained_by_operator(&self, fault: &Fault) -> [usize; 2] {
        let count = self.endpoints.len();
        let first = fault.targets[0] % count;
        [first, (first + ENDPOINTS_PER_DESTINATION as usize) % count]
    }

    /// Drains or removes only one endpoint, so that its destination keeps the other one.
    fn drain(&self, fault: &Fault, is_on: bool) {
        let endpoint = fault.targets[0] % self.endpoints.len();
        let status = match (is_on, fault.rate) {
            (false, _) => Status::Up,
            (true, 0..1_000) => Status::Removed,
            (true, _) => Status::Draining,
        };
        self.discovery.set_status(endpoint, status);
    }
}

async fn reload(sender: &Sender, discovery: &Arc<Discovery>, is_torn: bool) {
    match discovery.listen(sender.index).await {
        Ok(address) if is_torn => sender.reload_torn(address).await,
        Ok(address) => sender.reload(address).await,
        Err(error) => eprintln!("discovery cannot listen on a new address: {error}"),
    }
}

fn switch_syscalls(sender: &Sender, fault: &Fault, is_on: bool) -> io::Result<()> {
    let offset = match fault.kind {
        FaultKind::WallClockBack => -HOUR_MICROS,
        FaultKind::WallClockForward => HOUR_MICROS,
        FaultKind::WallClockSeconds => (i64::from(fault.rate) - 1_500) * 4_000,
        _ => return switch_rules(sender, fault, is_on),
    };
    // The offset stays after the fault; only a later step of the clock changes it.
    if is_on {
        sender.control.set_wall_offset(offset)?;
    }
    Ok(())
}

fn switch_rules(sender: &Sender, fault: &Fault, is_on: bool) -> io::Result<()> {
    for (call, modes, errnos, rate) in rules(fault) {
        if is_on {
            sender.control.set(call, &FailureRule { rate, modes, errnos })?;
        } else {
            sender.control.clear(call)?;
        }
    }
    Ok(())
}

/// A system call with its kinds of failure, its error numbers and its rate, of ten thousand.
type SyscallRule = (Syscall, Vec<Failure>, Vec<i32>, u32);

/// Returns the system calls that a fault makes fail, with kinds of failure, error numbers and rate.
fn rules(fault: &Fault) -> Vec<SyscallRule> {
    let twice = fault.rate * 2;
    let limited = fault.rate.min(MAX_START_RATE);
    let fail = || vec![Failure::NotDone];
    match fault.kind {
        FaultKind::DiskWrites => vec![(Syscall::WriteFile, fail(), vec![ENOSPC, EIO], twice.max(2_000))],
        FaultKind::DiskTornWrites => vec![
            (Syscall::WriteFile, vec![Failure::Partial], vec![ENOSPC, EIO], twice),
            (Syscall::Truncate, fail(), vec![EIO], 8_000),
        ],
        FaultKind::DiskFalseFailures => {
            vec![(Syscall::WriteFile, vec![Failure::FalseFailure], vec![EIO], twice)]
        }
        FaultKind::DiskSlow => {
            let rate = fault.rate.min(MAX_SLOW_RATE);
            vec![(Syscall::WriteFile, vec![Failure::Delayed], vec![SLOW_WRITE_MS], rate)]
        }
        FaultKind::DiskNames => vec![
            (Syscall::Rename, vec![Failure::NotDone, Failure::FalseFailure], vec![EIO, ENOSPC], twice),
            (Syscall::OpenFile, fail(), vec![EMFILE, ENFILE, EIO, EINTR], limited),
            (Syscall::Unlink, fail(), vec![EIO], twice),
            (Syscall::Lock, fail(), vec![EINTR, ENOLCK], limited),
            (Syscall::Truncate, fail(), vec![EIO, EINTR], twice),
        ],
        FaultKind::DiskReads => {
            vec![(Syscall::ReadFile, vec![Failure::NotDone, Failure::Partial], vec![EIO, EINTR], limited)]
        }
        FaultKind::Sockets => {
            vec![(Syscall::Socket, fail(), vec![EMFILE, ENFILE, ENOBUFS, ENOMEM], limited)]
        }
        FaultKind::Accepts => {
            vec![(Syscall::Accept, fail(), vec![EMFILE, ENFILE, ENOMEM, ECONNABORTED, EINTR], limited)]
        }
        FaultKind::Connects => {
            vec![(Syscall::Connect, fail(), vec![EINTR, ETIMEDOUT, EHOSTUNREACH], limited)]
        }
        FaultKind::Holds => vec![hold_rule(fault)],
        FaultKind::Interrupts => vec![
            (Syscall::Receive, vec![Failure::NotDone, Failure::Partial], vec![EINTR], fault.rate),
            (Syscall::Send, vec![Failure::NotDone, Failure::Partial], vec![EINTR], fault.rate),
            (Syscall::EpollWait, fail(), vec![EINTR], fault.rate),
        ],
        _ => Vec::new(),
    }
}

/// Returns the kind of system call at which processes are held up. The library limits holds to one in 0.4 s, so that
/// several kinds at once would leave few holds for each.
fn hold_rule(fault: &Fault) -> SyscallRule {
    let call = HELD_CALLS[fault.targets[0] % HELD_CALLS.len()];
    let rate = if call == Syscall::Clock { fault.rate.min(MAX_CLOCK_HOLD_RATE) } else { fault.rate };
    (call, vec![Failure::HeldBefore, Failure::HeldAfter], HOLD_MS.to_vec(), rate)
}
