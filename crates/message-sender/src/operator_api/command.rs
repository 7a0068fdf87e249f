//! Commands that operators send to the event loop.

use tokio::sync::oneshot;

/// A command for the endpoint with the given name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Send no new attempts to the endpoint from now on, whatever the endpoint list says.
    Drain(String),
    /// Put the endpoint back in service.
    Restore(String),
}

/// The result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandResult {
    /// The command is in effect and persisted.
    Done,
    /// No endpoint has that name.
    UnknownEndpoint,
    /// The journal could not store the command, and nothing has changed.
    NotPersisted,
}

/// A command and the channel for its result. If the caller gives up, `reply` is closed, and the command is
/// not carried out unless it has already begun.
#[derive(Debug)]
pub struct OperatorRequest {
    /// The command to carry out.
    pub command: OperatorCommand,
    /// The channel for the result.
    pub reply: oneshot::Sender<CommandResult>,
}
