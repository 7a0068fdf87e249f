//! The controllers of this process.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use delivery_control::{Action, Controller, Event, Micros};
use deployment_config::Names;

use crate::error::LineError;
use crate::incoming::{InstanceStart, MessageLine};
use crate::outgoing;

/// One controller.
pub struct Instance {
    controller: Controller,
    names: Names,
    /// Events of the present batch.
    events: Vec<Event>,
    /// The controller's turn comes at the end of the batch, be it only because it was started.
    is_due: bool,
}

impl Instance {
    /// Adds a message to the batch.
    pub fn submit(&mut self, line: MessageLine) -> Result<(), LineError> {
        let event = line.into_event(&self.names)?;
        self.push(event);
        Ok(())
    }

    /// Adds an event to the batch.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
        self.is_due = true;
    }

    /// The names that the instance's settings list.
    pub fn names(&self) -> &Names {
        &self.names
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
pub struct Instances(BTreeMap<u64, Instance>);

impl Instances {
    /// A running instance.
    pub fn get_mut(&mut self, number: u64) -> Result<&mut Instance, LineError> {
        self.0.get_mut(&number).ok_or(LineError::NotAttached(number))
    }

    /// Starts an instance, in place of one that has the same number.
    pub fn attach(&mut self, start: &InstanceStart) -> Result<(), LineError> {
        let names = start.config.names();
        let settings = start.config.settings()?;
        let controller = Controller::new(settings, start.seed)?;
        let instance = Instance { controller, names, events: Vec::new(), is_due: true };
        self.0.insert(start.instance, instance);
        Ok(())
    }

    /// Ends an instance.
    pub fn detach(&mut self, number: u64) -> Result<(), LineError> {
        match self.0.remove(&number) {
            Some(_) => Ok(()),
            None => Err(LineError::NotAttached(number)),
        }
    }

    /// The reply to a batch: the actions of all instances that are due, in the order of their numbers.
    pub fn reply(&mut self, now: Micros, round: u64) -> String {
        let mut reply = String::new();
        self.0.retain(|number, instance| !instance.is_due || instance.turn(*number, now, &mut reply).is_ok());
        outgoing::append_batch_end(&mut reply, round);
        reply
    }
}
