//! State that belongs to one policy each and is kept from turn to turn.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Token bucket with the unused quota of one tenant.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    /// Number of messages that are still within the quota.
    pub tokens: f64,
    /// When tokens were last added, in µs on the host's clock.
    pub filled_at: Micros,
}

/// This sender's share of each tenant's quota.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct TenantQuotas {
    /// One bucket for each tenant, by its index in the settings.
    pub buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Starts with a full bucket for each tenant; the first use caps it at the bucket's size.
    pub fn new(tenant_count: usize) -> Self {
        Self { buckets: vec![TokenBucket { tokens: f64::MAX, filled_at: 0 }; tenant_count] }
    }
}

/// The subscription of a sender that gets changes of the endpoint list only on a subscription.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Subscription {
    /// When to subscribe next, in µs on the host's clock, unless an endpoint list arrives before then;
    /// `None` while the subscription works or none is needed.
    pub next_attempt_at: Option<Micros>,
    /// Failures in a row, up to the number that still lengthens the backoff.
    pub failures: u32,
}
