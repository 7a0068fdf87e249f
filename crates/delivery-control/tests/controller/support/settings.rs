//! Default settings of the tests.

use delivery_control::{
    DestinationKind, DiscoveryMode, Idempotency, IdempotencyScope, Limits, MessageClass, Micros, Prices,
    Rules, Settings, Tenant, ValueDecay, Zone,
};

use super::{MILLISECOND, SECOND};

/// Index of the class whose messages may be repeated without restriction.
pub const IDEMPOTENT: usize = 0;
/// Index of the class whose messages may be repeated under their idempotency key.
pub const IDEMPOTENT_WITH_KEY: usize = 1;
/// Index of the class whose messages may not be repeated once they may have taken effect.
pub const NOT_IDEMPOTENT: usize = 2;
/// Index of the ordered class, whose idempotency keys are known within one zone only.
pub const ORDERED_IN_ZONE: usize = 3;

/// Index of the kind whose endpoints share one rate limit.
pub const SHARED_LIMIT: usize = 0;
/// Index of the kind whose endpoints have a rate limit each.
pub const LIMIT_PER_ENDPOINT: usize = 1;
/// Index of the kind whose endpoints accept several messages in one call.
pub const BATCHES: usize = 2;

/// Time after which a message of any class is given up.
const DEADLINE: Micros = 20 * SECOND;

/// A class with a latency objective of 2 s and a deadline of 20 s.
pub fn message_class(idempotency: Idempotency) -> MessageClass {
    MessageClass {
        idempotency,
        idempotency_scope: IdempotencyScope::All,
        idempotency_window: 15 * SECOND,
        latency_objective: 2 * SECOND,
        latency_objective_stretch: 0.0,
        deadline: DEADLINE,
        value: 1.0,
        residual_value: 0.3,
        ordered: false,
        stream: false,
    }
}

/// Settings of the first of two senders, with the classes and kinds to which the constants of this module
/// refer, two zones and two tenants.
pub fn settings() -> Settings {
    Settings {
        classes: classes(),
        kinds: vec![kind(false, 1), kind(true, 1), kind(false, 5)],
        zones: vec![Zone { fee: 0.0 }, Zone { fee: 0.02 }],
        tenants: vec![Tenant { quota: 100.0 }, Tenant { quota: 0.5 }],
        over_quota_value: 0.1,
        decay: ValueDecay::Linear,
        discovery: DiscoveryMode::Push,
        rates_are_listed: false,
        sender_count: 2,
        ordinal: 0,
        zone: 0,
        turn_interval: 5 * MILLISECOND,
        limits: limits(),
        rules: rules(),
        prices: Prices::default(),
        notices_are_acknowledged: false,
    }
}

fn classes() -> Vec<MessageClass> {
    let ordered_in_zone = MessageClass {
        idempotency_scope: IdempotencyScope::Zone,
        ordered: true,
        ..message_class(Idempotency::WithKey)
    };
    vec![
        message_class(Idempotency::Always),
        message_class(Idempotency::WithKey),
        message_class(Idempotency::Never),
        ordered_in_zone,
    ]
}

fn kind(per_endpoint_limits: bool, max_batch_size: usize) -> DestinationKind {
    DestinationKind { per_endpoint_limits, max_batch_size }
}

fn limits() -> Limits {
    Limits {
        max_in_flight: 6,
        buffer_capacity: 60,
        max_attempts: 6,
        may_cancel: true,
        may_probe: true,
        may_send_notes: false,
        may_hedge: false,
        may_advise_retry: true,
        max_retry_after: 2 * SECOND,
        connect_timeout: SECOND,
        connection_idle: 10 * SECOND,
    }
}

fn rules() -> Rules {
    Rules {
        answer_slack: 20 * MILLISECOND,
        poll_within: 10 * SECOND,
        drain_grace: SECOND,
        overload_tolerance: 2 * SECOND,
        overload_factor: 2.0,
        initial_capacity: 0.2,
        warm_up_time: 10 * SECOND,
        quarantine_time: SECOND,
    }
}
