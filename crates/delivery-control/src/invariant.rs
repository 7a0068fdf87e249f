//! The invariants that are checked at run time, by name.

/// An invariant. Each variant is named after the rule, and described by what violates it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// An attempt starts while another one of the message is in flight.
    OneAttemptAtATime,
    /// An attempt starts for a message that has ended.
    NoAttemptAfterEnd,
    /// An attempt goes to an endpoint of another destination.
    OwnDestination,
    /// An attempt repeats one that may have taken effect, although the message may not be repeated.
    NoUnsafeRepeat,
    /// A repeat under an idempotency key starts outside the key's window or zone.
    RepeatWithinWindow,
    /// An attempt starts after the message's deadline.
    NoAttemptAfterDeadline,
    /// An attempt starts while an earlier message of its order key is open, or has an unacknowledged
    /// notice.
    OrderOfKey,
    /// A message ends after the platform has counted it as lost.
    EndInTime,
    /// The journal holds a message as open that is not open in the process.
    JournalHoldsNoOrphan,
    /// A message is open in the process, but not in the journal.
    OpenMessageIsJournalled,
    /// A client's request was received in full, but this sender closed its connection without an answer.
    RequestIsAnswered,
    /// An endpoint counts as drained by an operator, but no operator has drained it.
    DrainedByOperator,
    /// An attempt is in flight, but no call carries it.
    AttemptHasCall,
    /// A call ended that carried no attempt in flight.
    EndHasAttempt,
}

impl Invariant {
    /// All invariants, in the order of the metrics.
    pub const ALL: [Self; 14] = [
        Self::OneAttemptAtATime,
        Self::NoAttemptAfterEnd,
        Self::OwnDestination,
        Self::NoUnsafeRepeat,
        Self::RepeatWithinWindow,
        Self::NoAttemptAfterDeadline,
        Self::OrderOfKey,
        Self::EndInTime,
        Self::JournalHoldsNoOrphan,
        Self::OpenMessageIsJournalled,
        Self::RequestIsAnswered,
        Self::DrainedByOperator,
        Self::AttemptHasCall,
        Self::EndHasAttempt,
    ];
}
