//! Tests of the controller through its public interface, with one module for each area of behaviour.

mod admission;
mod controller;
mod dispatch;
mod endpoints;
mod fleet_slow_start;
mod health;
mod invariants;
mod load_reports;
mod maintenance;
mod many_senders;
mod ordering;
mod rate_limit;
mod reconciliation;
mod recovery;
mod retry;
mod settings;
mod support;
