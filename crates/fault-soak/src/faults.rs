//! Plays a plan: switches each fault on and off at its time.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, sleep_until, Instant};

use crate::client::Habits;
use crate::discovery::{Discovery, Service, Status};
use crate::endpoint::{Behaviour, Endpoint};
use crate::plan::{Fault, FaultKind, Plan};
use crate::sender::Sender;
use crate::shim::{Call, Mode, Rule};

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

const HOUR_MICROS: i64 = 3_600_000_000;
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);
/// Calls that fail at a start do so at this rate at most: more would be no passing trouble.
const MAX_START_RATE: u32 = 2_000;

/// All that faults act on.
pub struct Targets {
    /// The senders.
    pub senders: Vec<Arc<Sender>>,
    /// The endpoints.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// The clients' habits.
    pub habits: Arc<Habits>,
}

impl Targets {
    /// Plays all faults of a plan, counted from now, and returns when all are over.
    pub async fn play(self: &Arc<Self>, plan: &Plan) {
        let start = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for fault in plan.faults.clone() {
            let targets = self.clone();
            tasks.spawn(async move {
                sleep_until(start + fault.from).await;
                targets.play_fault(&fault).await;
            });
        }
        tasks.join_all().await;
    }

    async fn play_fault(&self, fault: &Fault) {
        if fault.kind.is_of_process() {
            return self.play_process_fault(fault).await;
        }
        self.switch(fault, true);
        sleep(fault.lasts).await;
        self.switch(fault, false);
    }

    fn senders_of(&self, fault: &Fault) -> Vec<Arc<Sender>> {
        let mut indices: Vec<_> = fault.targets.iter().map(|target| target % self.senders.len()).collect();
        indices.sort_unstable();
        indices.dedup();
        indices.into_iter().map(|index| self.senders[index].clone()).collect()
    }

    async fn play_process_fault(&self, fault: &Fault) {
        let mut tasks = tokio::task::JoinSet::new();
        for sender in self.senders_of(fault) {
            let discovery = self.discovery.clone();
            let Fault { kind, lasts, rate, .. } = fault.clone();
            tasks.spawn(async move {
                let moment = Duration::from_millis(u64::from(rate) / 10);
                match kind {
                    FaultKind::Kill => sender.kill_and_start().await,
                    FaultKind::KillTwice => sender.kill_twice_and_start(moment).await,
                    FaultKind::Terminate => sender.terminate_and_start().await,
                    FaultKind::Upgrade => sender.upgrade().await,
                    FaultKind::UpgradeDies => sender.upgrade_dies(moment, false).await,
                    FaultKind::UpgradeCrossed => sender.upgrade_dies(moment, true).await,
                    FaultKind::Pause => sender.pause(lasts.min(LONGEST_PAUSE)).await,
                    _ => reload(&sender, &discovery, kind == FaultKind::TornReload).await,
                }
            });
        }
        tasks.join_all().await;
    }

    fn switch(&self, fault: &Fault, is_on: bool) {
        if self.switch_surroundings(fault, is_on) {
            return;
        }
        for sender in self.senders_of(fault) {
            if let Err(error) = switch_calls(&sender, fault, is_on) {
                eprintln!("control file: {error}");
            }
        }
    }

    /// Switches a fault of endpoints, discovery or clients; false if it is none.
    fn switch_surroundings(&self, fault: &Fault, is_on: bool) -> bool {
        let behaviour = |behaviour| self.set_behaviour(fault, is_on.then_some(behaviour));
        let habit = |habit: &AtomicBool| habit.store(is_on, Ordering::Relaxed);
        let service = |service| self.discovery.set_service(if is_on { service } else { Service::Up });
        match fault.kind {
            FaultKind::EndpointsFlaky => behaviour(Behaviour::Flaky),
            FaultKind::EndpointsHang => behaviour(Behaviour::Hanging),
            FaultKind::EndpointsReset => behaviour(Behaviour::Resetting),
            FaultKind::EndpointsSlow if fault.rate < 1_000 => behaviour(Behaviour::Trickling),
            FaultKind::EndpointsSlow => behaviour(Behaviour::Slow),
            FaultKind::EndpointsDrain => self.drain(fault, is_on),
            FaultKind::DiscoveryDown => service(Service::Down),
            FaultKind::DiscoverySilent => service(Service::Silent),
            FaultKind::DiscoveryReset if is_on => self.discovery.reset_versions(),
            FaultKind::DiscoveryReset => {}
            FaultKind::ClientsLeave => habit(&self.habits.leave),
            FaultKind::PeersStall => habit(&self.habits.stall),
            FaultKind::PeersGarbage => habit(&self.habits.garbage),
            FaultKind::ClientsReplay => habit(&self.habits.replay),
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

    /// Drains one endpoint or removes it, so that its destination keeps the other one.
    fn drain(&self, fault: &Fault, is_on: bool) {
        let endpoint = fault.targets[0] % self.endpoints.len();
        let status = match (is_on, fault.rate) {
            (false, _) => Status::Up,
            (true, 0..1_000) => Status::Removed,
            (true, _) => Status::Draining,
        };
        self.discovery.list(endpoint, status);
    }
}

async fn reload(sender: &Sender, discovery: &Arc<Discovery>, is_torn: bool) {
    match discovery.listen(sender.index).await {
        Ok(address) if is_torn => sender.reload_torn(address).await,
        Ok(address) => sender.reload(address).await,
        Err(error) => eprintln!("discovery cannot listen: {error}"),
    }
}

fn switch_calls(sender: &Sender, fault: &Fault, is_on: bool) -> io::Result<()> {
    let offset = match fault.kind {
        FaultKind::WallClockBack => -HOUR_MICROS,
        FaultKind::WallClockForward => HOUR_MICROS,
        FaultKind::WallClockSeconds => (i64::from(fault.rate) - 1_500) * 4_000,
        _ => return switch_rules(sender, fault, is_on),
    };
    // A step stays: it is a second one that sets the clock right again.
    if is_on {
        sender.control.set_wall_offset(offset)?;
    }
    Ok(())
}

fn switch_rules(sender: &Sender, fault: &Fault, is_on: bool) -> io::Result<()> {
    for (call, modes, errnos, rate) in rules(fault) {
        if is_on {
            sender.control.set(call, &Rule { rate, modes, errnos })?;
        } else {
            sender.control.clear(call)?;
        }
    }
    Ok(())
}

type CallRule = (Call, Vec<Mode>, Vec<i32>, u32);

/// The calls that a fault makes fail, and how.
fn rules(fault: &Fault) -> Vec<CallRule> {
    let often = fault.rate * 2;
    let now_and_then = fault.rate.min(MAX_START_RATE);
    let fails = || vec![Mode::Fails];
    match fault.kind {
        FaultKind::DiskWrites => vec![(Call::WriteFile, fails(), vec![ENOSPC, EIO], often.max(2_000))],
        FaultKind::DiskTornWrites => vec![
            (Call::WriteFile, vec![Mode::PartlyDone], vec![ENOSPC, EIO], often),
            (Call::Truncate, fails(), vec![EIO], 8_000),
        ],
        FaultKind::DiskFalseFailures => {
            vec![(Call::WriteFile, vec![Mode::DoneButFailed], vec![EIO], often)]
        }
        FaultKind::DiskNames => vec![
            (Call::Rename, vec![Mode::Fails, Mode::DoneButFailed], vec![EIO, ENOSPC], often),
            (Call::OpenFile, fails(), vec![EMFILE, ENFILE, EIO, EINTR], now_and_then),
            (Call::Unlink, fails(), vec![EIO], often),
            (Call::Lock, fails(), vec![EINTR, ENOLCK], now_and_then),
            (Call::Truncate, fails(), vec![EIO, EINTR], often),
        ],
        FaultKind::DiskReads => {
            vec![(Call::ReadFile, vec![Mode::Fails, Mode::PartlyDone], vec![EIO, EINTR], now_and_then)]
        }
        FaultKind::Sockets => {
            vec![(Call::Socket, fails(), vec![EMFILE, ENFILE, ENOBUFS, ENOMEM], now_and_then)]
        }
        FaultKind::Accepts => {
            vec![(Call::Accept, fails(), vec![EMFILE, ENFILE, ENOMEM, ECONNABORTED, EINTR], now_and_then)]
        }
        FaultKind::Connects => {
            vec![(Call::Connect, fails(), vec![EINTR, ETIMEDOUT, EHOSTUNREACH], now_and_then)]
        }
        FaultKind::Interrupts => vec![
            (Call::Receive, vec![Mode::Fails, Mode::PartlyDone], vec![EINTR], fault.rate),
            (Call::Send, vec![Mode::Fails, Mode::PartlyDone], vec![EINTR], fault.rate),
            (Call::EpollWait, fails(), vec![EINTR], fault.rate),
        ],
        _ => Vec::new(),
    }
}
