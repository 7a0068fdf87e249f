//! Executes operator commands and acknowledges them.

use delivery_control::{Event, MaintenanceCommand};

use super::EventLoop;
use crate::journal::JournalError;
use crate::operator_api::{CommandResult, OperatorCommand, OperatorRequest};

impl EventLoop {
    /// Executes an operator command. The command is stored in the journal first, and acknowledged after the
    /// controller's next turn.
    pub(super) fn handle_command(&mut self, request: OperatorRequest) {
        let OperatorRequest { command, reply } = request;
        // A command is dropped if its caller has disconnected: it was not acknowledged. For the same reason,
        // failures to send a reply are ignored below.
        if reply.is_closed() {
            return;
        }
        let (name, command) = match &command {
            OperatorCommand::Drain(name) => (name, MaintenanceCommand::Drain),
            OperatorCommand::Restore(name) => (name, MaintenanceCommand::Restore),
        };
        if !self.registry.is_known(name) {
            let _ = reply.send(CommandResult::UnknownEndpoint);
            return;
        }
        if let Err(error) = self.store_command(name, command) {
            tracing::error!(%error, "operator command not stored");
            let _ = reply.send(CommandResult::NotPersisted);
            return;
        }
        tracing::info!(endpoint = name, ?command, "operator command accepted");
        self.apply_command(name, command);
        self.unacknowledged_commands.push(reply);
    }

    fn store_command(&self, name: &str, command: MaintenanceCommand) -> Result<(), JournalError> {
        let mut journal = self.journal.borrow_mut();
        match command {
            MaintenanceCommand::Drain => journal.record_drained(name),
            MaintenanceCommand::Restore => journal.record_restored(name),
        }
    }

    fn apply_command(&mut self, name: &str, command: MaintenanceCommand) {
        let endpoint = match command {
            MaintenanceCommand::Drain => {
                let endpoint = self.registry.mark_drained(name);
                self.delivery.drain(endpoint);
                endpoint
            }
            MaintenanceCommand::Restore => self.registry.mark_restored(name),
        };
        self.events.push(Event::Maintenance { endpoint, command });
    }

    /// Acknowledges the commands that the controller has processed.
    pub(super) fn acknowledge_commands(&mut self) {
        for reply in self.unacknowledged_commands.drain(..) {
            let _ = reply.send(CommandResult::Done);
        }
    }
}
