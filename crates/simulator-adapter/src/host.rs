//! The controllers of this process, and the batch that is being read.

use std::collections::BTreeMap;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

use delivery_control::{Action, Controller, Event, Micros, SettingsError};
use deployment_config::Names;

use crate::endpoint_list::{update_event, ListKind, ListedEndpoint};
use crate::incoming::{
    BatchStart, Catalog, EndpointListLine, EventError, IncomingLine, InstanceStart, MessageLine,
};
use crate::outgoing;

/// What is wrong with the input, and where.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct InputError {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: LineError,
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It could not be read, or its reply could not be written.
    #[error(transparent)]
    Stream(#[from] io::Error),
    /// It is not a line of the protocol.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The previous batch has not ended.
    #[error("a batch begins inside a batch")]
    BatchInsideBatch,
    /// Only the start of a batch may stand outside one.
    #[error("no batch has begun")]
    OutsideBatch,
    /// The last batch has not ended.
    #[error("input ends inside a batch")]
    EndInsideBatch,
    /// No such instance runs.
    #[error("instance {0} is not attached")]
    NotAttached(u64),
    /// The controller does not accept an instance's settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An endpoint list names no catalog.
    #[error("missing field `buffer`")]
    NoCatalog,
    /// An endpoint list names a catalog that was not sent.
    #[error("unknown catalog number {0}")]
    UnknownCatalog(u64),
    /// The line makes no event.
    #[error(transparent)]
    Event(#[from] EventError),
}

/// One controller.
struct Instance {
    controller: Controller,
    names: Names,
    /// Events of the present batch.
    events: Vec<Event>,
    /// The controller's turn comes at the end of the batch, be it only because it was started.
    is_due: bool,
}

impl Instance {
    fn submit(&mut self, line: MessageLine) -> Result<(), LineError> {
        let event = line.into_event(&self.names)?;
        self.push(event);
        Ok(())
    }

    fn push(&mut self, event: Event) {
        self.events.push(event);
        self.is_due = true;
    }

    /// Runs the controller on the events of the batch and appends its actions to the reply. After a panic the
    /// instance is of no more use.
    fn turn(&mut self, number: u64, now: Micros, reply: &mut String) -> Result<(), ControllerPanicked> {
        self.is_due = false;
        let events = std::mem::take(&mut self.events);
        let controller = &mut self.controller;
        let turn = AssertUnwindSafe(|| {
            let mut actions: Vec<Action> = Vec::new();
            controller.turn(now, &events, &mut actions);
            actions
        });
        match catch_unwind(turn) {
            Ok(actions) => {
                for action in actions {
                    outgoing::append_action(reply, number, action);
                }
                Ok(())
            }
            Err(payload) => {
                outgoing::append_panic(reply, number, payload.as_ref());
                Err(ControllerPanicked)
            }
        }
    }
}

/// A controller panicked; the reply says so already.
struct ControllerPanicked;

/// The running instances by their numbers.
#[derive(Default)]
struct Instances(BTreeMap<u64, Instance>);

impl Instances {
    fn get_mut(&mut self, number: u64) -> Result<&mut Instance, LineError> {
        self.0.get_mut(&number).ok_or(LineError::NotAttached(number))
    }

    /// Starts an instance, in place of one that has the same number.
    fn attach(&mut self, start: &InstanceStart) -> Result<(), LineError> {
        let names = start.config.names();
        let settings = start.config.settings()?;
        let controller = Controller::new(settings, start.seed)?;
        let instance = Instance { controller, names, events: Vec::new(), is_due: true };
        self.0.insert(start.instance, instance);
        Ok(())
    }

    fn detach(&mut self, number: u64) -> Result<(), LineError> {
        match self.0.remove(&number) {
            Some(_) => Ok(()),
            None => Err(LineError::NotAttached(number)),
        }
    }

    /// The reply to a batch: the actions of all instances that are due, in the order of their numbers.
    fn reply(&mut self, now: Micros, round: u64) -> String {
        let mut reply = String::new();
        self.0.retain(|number, instance| !instance.is_due || instance.turn(*number, now, &mut reply).is_ok());
        outgoing::append_batch_end(&mut reply, round);
        reply
    }
}

/// All instances of this process, the catalogs, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: Instances,
    catalogs: BTreeMap<u64, Vec<ListedEndpoint>>,
    batch: Option<BatchStart>,
    lines_read: usize,
}

impl Host {
    /// Handles one line, without its end; returns the reply if the line ends a batch.
    pub fn handle_line(&mut self, number: usize, line: &[u8]) -> Result<Option<String>, InputError> {
        self.lines_read = number;
        let handled =
            serde_json::from_slice(line).map_err(LineError::from).and_then(|line| self.handle(line));
        handled.map_err(|reason| InputError { line: number, reason })
    }

    /// Checks that the input may end here: between batches only.
    pub fn finish(&self) -> Result<(), InputError> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err(InputError { line: self.lines_read, reason: LineError::EndInsideBatch }),
        }
    }

    fn handle(&mut self, line: IncomingLine) -> Result<Option<String>, LineError> {
        if self.batch.is_none() && !matches!(line, IncomingLine::BatchStart(_)) {
            return Err(LineError::OutsideBatch);
        }
        let instances = &mut self.instances;
        match line {
            IncomingLine::BatchStart(start) => self.start_batch(start)?,
            IncomingLine::BatchEnd => return Ok(self.end_batch()),
            IncomingLine::Attach(start) => instances.attach(&start)?,
            IncomingLine::Detach(end) => instances.detach(end.instance)?,
            IncomingLine::Catalog(catalog) => self.store_catalog(catalog),
            IncomingLine::EndpointList(list) => self.update_endpoints(&list)?,
            IncomingLine::Message(line) => instances.get_mut(line.instance)?.submit(*line)?,
            IncomingLine::ResponseStarted(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::AttemptEnded(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::Withdrawn(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::TimerFired(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::ProbeEnded(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::Note(line) => instances.get_mut(line.instance)?.push(line.into_event()?),
        }
        Ok(None)
    }

    fn start_batch(&mut self, start: BatchStart) -> Result<(), LineError> {
        if self.batch.is_some() {
            return Err(LineError::BatchInsideBatch);
        }
        self.batch = Some(start);
        Ok(())
    }

    fn end_batch(&mut self) -> Option<String> {
        let batch = self.batch.take()?;
        Some(self.instances.reply(batch.time(), batch.round))
    }

    fn store_catalog(&mut self, catalog: Catalog) {
        self.catalogs.insert(catalog.number, catalog.endpoints);
    }

    fn update_endpoints(&mut self, list: &EndpointListLine) -> Result<(), LineError> {
        let instance = self.instances.get_mut(list.instance)?;
        let endpoints: &[ListedEndpoint] = match list.kind {
            ListKind::Failed => &[],
            ListKind::Delta | ListKind::Snapshot | ListKind::Cached => {
                let number = list.catalog.ok_or(LineError::NoCatalog)?;
                self.catalogs.get(&number).ok_or(LineError::UnknownCatalog(number))?
            }
        };
        let event = update_event(list.kind, list.version, endpoints, &instance.names);
        instance.push(event);
        Ok(())
    }
}
