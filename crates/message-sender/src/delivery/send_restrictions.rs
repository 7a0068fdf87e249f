//! Conditions that forbid sending an attempt that was decided on earlier. They are checked again when the
//! attempt's connection is established, because they may have changed since the decision.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use delivery_control::{EndpointId, Micros};
use tokio::time::Instant;

use super::attempt::Route;
use crate::time::duration;

/// Why an attempt may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendRestriction {
    /// The attempt's start deadline has passed.
    StartDeadline,
    /// The attempt's endpoint was drained or has departed since the decision.
    Drained,
    /// Another process is now the sender.
    Suspended,
    /// A Retry-After is in force on the attempt's route.
    RetryAfter,
}

/// Retry-After deadlines by route, drain times by endpoint, and whether sending is suspended.
#[derive(Debug, Default)]
pub struct SendRestrictions {
    is_suspended: Cell<bool>,
    retry_after_until: RefCell<HashMap<Route, Instant>>,
    drained_at: RefCell<HashMap<EndpointId, Instant>>,
}

impl SendRestrictions {
    /// Forbids all attempts, because another process is now the sender.
    pub fn suspend(&self) {
        self.is_suspended.set(true);
    }

    /// Allows attempts again after `suspend`.
    pub fn resume(&self) {
        self.is_suspended.set(false);
    }

    /// Whether all attempts are forbidden.
    pub fn is_suspended(&self) -> bool {
        self.is_suspended.get()
    }

    /// The restriction, if any, that forbids an attempt to the endpoint that was decided on at `decided_at`.
    pub fn find(&self, endpoint: EndpointId, decided_at: Instant, route: Route) -> Option<SendRestriction> {
        if self.is_drained_since(endpoint, decided_at) {
            return Some(SendRestriction::Drained);
        }
        if self.is_suspended() {
            return Some(SendRestriction::Suspended);
        }
        self.awaits_retry_after(route).then_some(SendRestriction::RetryAfter)
    }

    /// Forbids attempts to an endpoint that were decided on before now.
    pub fn drain(&self, endpoint: EndpointId) {
        self.drained_at.borrow_mut().insert(endpoint, Instant::now());
    }

    /// Whether the endpoint was drained at `decided_at` or later.
    fn is_drained_since(&self, endpoint: EndpointId, decided_at: Instant) -> bool {
        self.drained_at.borrow().get(&endpoint).is_some_and(|drained_at| *drained_at >= decided_at)
    }

    /// Forbids attempts on a route for `retry_after` microseconds from now on, unless a later deadline is
    /// already in force.
    pub fn record_retry_after(&self, route: Route, retry_after: Micros) {
        if retry_after <= 0 {
            return;
        }
        let until = Instant::now() + duration(retry_after);
        let mut deadlines = self.retry_after_until.borrow_mut();
        let deadline = deadlines.entry(route).or_insert(until);
        *deadline = until.max(*deadline);
    }

    /// Whether a Retry-After is still in force on the route.
    fn awaits_retry_after(&self, route: Route) -> bool {
        self.retry_after_until.borrow().get(&route).is_some_and(|until| *until > Instant::now())
    }

    /// Forgets Retry-After deadlines that have passed and drains that are at least `max_connect_time` old:
    /// attempts that were decided on before such a drain have started by now, or never will.
    pub fn expire(&self, max_connect_time: Duration) {
        self.retry_after_until.borrow_mut().retain(|_, until| *until > Instant::now());
        self.drained_at.borrow_mut().retain(|_, drained_at| drained_at.elapsed() < max_connect_time);
    }
}
