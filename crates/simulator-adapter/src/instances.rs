//! The instances of this process, each with a controller of its own.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use delivery_control::{Action, Controller, Event, Micros};
use deployment_config::Names;

use crate::error::LineError;
use crate::incoming::{InstanceStart, MessageLine};
use crate::outgoing;

/// A controller, the names in its settings, and its events of the current batch.
pub struct Instance {
    controller: Controller,
    names: Names,
    /// Events of the current batch that the controller has not yet handled.
    events: Vec<Event>,
    /// Whether the controller runs at the end of the batch: it has events, or it was created in this batch.
    is_due: bool,
}

impl Instance {
    /// Adds the submission of a message to the events of the batch.
    pub fn submit(&mut self, line: MessageLine) -> Result<(), LineError> {
        let event = line.into_event(&self.names)?;
        self.push(event);
        Ok(())
    }

    /// Adds an event to the events of the batch.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
        self.is_due = true;
    }

    /// The names that the instance's settings list.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Runs the controller on the events of the batch and appends its actions to the reply. After a panic the
    /// state of the controller may be inconsistent, and the instance must not be used again.
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

/// A controller panicked. The line that reports the panic is already in the reply.
struct ControllerPanicked;

/// The running instances by their numbers.
#[derive(Default)]
pub struct Instances(BTreeMap<u64, Instance>);

impl Instances {
    /// The running instance with this number.
    pub fn get_mut(&mut self, number: u64) -> Result<&mut Instance, LineError> {
        self.0.get_mut(&number).ok_or(LineError::NotAttached(number))
    }

    /// Starts an instance; it replaces a running instance with the same number.
    pub fn attach(&mut self, start: &InstanceStart) -> Result<(), LineError> {
        let names = start.config.names();
        let settings = start.config.settings()?;
        let controller = Controller::new(settings, start.seed)?;
        let instance = Instance { controller, names, events: Vec::new(), is_due: true };
        self.0.insert(start.instance, instance);
        Ok(())
    }

    /// Removes an instance. Its events of the current batch are dropped.
    pub fn detach(&mut self, number: u64) -> Result<(), LineError> {
        match self.0.remove(&number) {
            Some(_) => Ok(()),
            None => Err(LineError::NotAttached(number)),
        }
    }

    /// Runs all instances that are due, in the order of their numbers, and returns the reply to the batch
    /// with their actions. `now` is the time of the batch in µs. Removes instances whose controller panicked.
    pub fn reply(&mut self, now: Micros, round: u64) -> String {
        let mut reply = String::new();
        self.0.retain(|number, instance| !instance.is_due || instance.turn(*number, now, &mut reply).is_ok());
        outgoing::append_reply_end(&mut reply, round);
        reply
    }
}
