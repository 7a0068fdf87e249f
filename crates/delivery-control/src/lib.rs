//! Decision logic of message delivery: which message goes to which endpoint, when, and how it ends.
//!
//! [`Controller`] has no clock, performs no I/O and starts no threads. Its host reports [`Event`]s to it and
//! carries out the [`Action`]s that it returns. The README has an embedding example.
#![deny(missing_docs)]
#![doc = include_str!("../../../README.md")]

mod action;
mod admission;
mod backlog;
mod cancellation;
mod controller;
mod diagnostics;
mod dispatch;
mod eligibility;
mod endpoints;
mod estimates;
mod event;
mod health;
mod ids;
mod invariant;
mod invariants;
mod model;
mod ordering;
mod outlier_detection;
mod rate_limit;
mod reconciliation;
mod retry;
mod settings;
mod subscription;
mod turn;

pub use action::Action;
pub use backlog::{BacklogReport, EndpointHealth};
pub use controller::Controller;
pub use event::{
    AmbiguousAttempt, AttemptEnd, AttemptOutcome, EndpointEntry, Event, ListingState, LoadReport,
    MaintenanceCommand, MessageSubmission, UpdateKind,
};
pub use ids::{AttemptId, DestinationId, EndpointId, MessageId, Micros};
pub use invariant::Invariant;
pub use invariants::{AttemptGuard, AttemptStarting, GuardedMessage};
pub use reconciliation::AttemptReconciliation;
pub use settings::{
    DestinationKind, DiscoveryMode, Idempotency, IdempotencyScope, Limits, MessageClass, Prices, Rules,
    Settings, SettingsError, Tenant, ValueDecay, Zone,
};
