//! Operators' commands to the event loop.

use tokio::sync::oneshot;

/// What an operator wants done with an endpoint, which is given by its name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Send it no new attempts from now on, whatever the endpoint list says.
    Drain(String),
    /// Put it back in service.
    Restore(String),
}

/// What became of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandResult {
    /// It is in force and persisted.
    Done,
    /// No endpoint has that name.
    UnknownEndpoint,
    /// The journal could not store it; nothing has changed.
    NotPersisted,
}

/// A command, and where its result goes. A caller that gives up closes `reply`; the command is not carried
/// out then unless that has begun.
#[derive(Debug)]
pub struct OperatorRequest {
    /// What is to be done.
    pub command: OperatorCommand,
    /// Receives the result.
    pub reply: oneshot::Sender<CommandResult>,
}
