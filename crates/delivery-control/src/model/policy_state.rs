//! State that single policies keep from turn to turn.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Unused quota of one tenant.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    pub tokens: f64,
    pub filled_at: Micros,
}

/// This sender's parts of the tenants' quotas.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct TenantQuotas {
    pub buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Full buckets.
    pub fn new(tenant_count: usize) -> Self {
        Self { buckets: vec![TokenBucket { tokens: f64::MAX, filled_at: 0 }; tenant_count] }
    }
}

/// The subscription of a sender that gets endpoint lists on a subscription only, and when to try again.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Subscription {
    pub next_attempt_at: Option<Micros>,
    pub failures: u32,
}
