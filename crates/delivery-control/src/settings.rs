//! Settings of a controller and their validation.

use std::str::FromStr;

use crate::ids::Micros;

/// The reason why settings are not valid. Its text names a setting by its key in the configuration file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The settings contain no message class.
    #[error("the settings contain no message class")]
    NoClasses,
    /// A duration is negative. Holds the key of the setting in the configuration file.
    #[error("{0} is negative")]
    Negative(&'static str),
    /// A factor is negative or not finite, or a count is zero. Holds the key of the setting in the
    /// configuration file.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    /// The text that states a message class's idempotency is not a known value.
    #[error("unknown effect {0:?}")]
    UnknownEffect(String),
}

/// Whether the messages of a class may be sent again after an attempt that may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Sending again is harmless.
    Always,
    /// The destination ignores repeats of an idempotency key, within a window and a scope.
    WithKey,
    /// Sending again may take effect twice.
    Never,
}

impl FromStr for Idempotency {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "safe" => Ok(Self::Always),
            "keyed" => Ok(Self::WithKey),
            "unsafe" => Ok(Self::Never),
            other => Err(SettingsError::UnknownEffect(other.to_owned())),
        }
    }
}

/// Which endpoints of a destination share a record of the idempotency keys they have seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All endpoints.
    #[default]
    All,
    /// The endpoints of one zone.
    Zone,
}

/// How the value of a message decays after its latency objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// Linearly, down to the residual value at the deadline.
    #[default]
    Linear,
    /// Exponentially: it halves with each further latency objective that passes, but not below the residual
    /// value.
    Exponential,
}

/// How changes of the endpoint list reach this sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed without a subscription.
    #[default]
    Push,
    /// Changes arrive only on a subscription or in the response to a fetch.
    Subscribe,
}

/// A class of messages.
#[derive(Debug, Clone, PartialEq)]
pub struct MessageClass {
    /// Whether its messages may be sent more than once.
    pub idempotency: Idempotency,
    /// For [`Idempotency::WithKey`]: which endpoints share the record of keys.
    pub idempotency_scope: IdempotencyScope,
    /// For [`Idempotency::WithKey`]: how long repeats are ignored, in µs from the first ambiguous attempt.
    pub idempotency_window: Micros,
    /// A message has its full value if it is delivered within this time in µs after it was first submitted.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the message's expected processing time.
    pub latency_objective_stretch: f64,
    /// A message is given up this long, in µs, after it was first submitted.
    pub deadline: Micros,
    /// Value of a delivery within the latency objective.
    pub value: f64,
    /// Fraction of the value that is left just before the deadline.
    pub residual_value: f64,
    /// Whether messages with the same order key are delivered one at a time, in order.
    pub ordered: bool,
    /// Whether responses are streamed to the client.
    pub stream: bool,
}

/// A kind of destination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationKind {
    /// Whether each endpoint is a route of its own, with its own rate limit and outages.
    pub per_endpoint_limits: bool,
    /// Maximum number of messages in one call.
    pub max_batch_size: usize,
}

/// A zone in which endpoints run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Zone {
    /// Cost of each message that is accepted by an endpoint in this zone that has limits of its own.
    pub fee: f64,
}

/// A tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tenant {
    /// The tenant's quota, in messages per second over all senders.
    pub quota: f64,
}

/// Limits and permissions of the host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Limits {
    /// Concurrency limit: maximum number of calls in flight.
    pub max_in_flight: usize,
    /// Buffer capacity: maximum number of messages without a final answer.
    pub buffer_capacity: usize,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether endpoints may be probed with [`crate::Action::Probe`].
    pub may_probe: bool,
    /// Whether notes may be sent to other senders.
    pub may_send_notes: bool,
    /// Whether a message may have two attempts in flight.
    pub may_hedge: bool,
    /// Whether clients are told when to submit a rejected message again.
    pub may_advise_retry: bool,
    /// The longest Retry-After that clients honour, in µs.
    pub max_retry_after: Micros,
    /// Timeout for establishing a connection, in µs.
    pub connect_timeout: Micros,
    /// Idle time in µs after which a connection is closed.
    pub connection_idle: Micros,
}

/// Parameters of the protocol's rules.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// A final answer is accepted until this long, in µs, after the deadline.
    pub answer_slack: Micros,
    /// A sender without a subscription is expected to know changes of the endpoint list that are this old, in
    /// µs.
    pub poll_within: Micros,
    /// Time in µs within which new attempts to a draining or removed endpoint must cease.
    pub drain_grace: Micros,
    /// A cold destination fails if it is overloaded for this long, in µs.
    pub overload_tolerance: Micros,
    /// A destination is overloaded if it receives more calls than this multiple of its current capacity.
    pub overload_factor: f64,
    /// Fraction of its full capacity that a destination has right after an outage.
    pub initial_capacity: f64,
    /// Time in µs after an outage until a destination has its full capacity again.
    pub warm_up_time: Micros,
    /// How long in µs an order key is quarantined after an attempt that may still be running at its endpoint.
    pub quarantine_time: Micros,
}

/// Costs of operations; each price is multiplied by the rate of its operation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Prices {
    /// Price of an attempt to an endpoint in another zone.
    pub cross_zone: f64,
    /// Price of a new connection.
    pub handshake: f64,
    /// Price of a probe.
    pub probe: f64,
    /// Price of a call that a rate limit rejects.
    pub rejection: f64,
}

/// The settings that a controller is created with.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Message classes. Events refer to classes, kinds, zones and tenants by index.
    pub classes: Vec<MessageClass>,
    /// Kinds of destinations.
    pub kinds: Vec<DestinationKind>,
    /// Zones in which endpoints run.
    pub zones: Vec<Zone>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Factor on the value of a message beyond its tenant's quota.
    pub over_quota_value: f64,
    /// How the value of a message decays after its latency objective.
    pub decay: ValueDecay,
    /// How changes of the endpoint list reach this sender.
    pub discovery: DiscoveryMode,
    /// Whether the rates in endpoint lists are rate limits in calls per second of all senders together.
    pub rates_are_listed: bool,
    /// Number of senders in the fleet.
    pub sender_count: u32,
    /// Number of this sender in the fleet, counted from 0.
    pub ordinal: u32,
    /// Index of this sender's zone; one past the end if the settings do not list it.
    pub zone: usize,
    /// Minimum time between turns, in µs.
    pub turn_interval: Micros,
    /// Limits and permissions of the host.
    pub limits: Limits,
    /// Parameters of the protocol's rules.
    pub rules: Rules,
    /// Costs of operations.
    pub prices: Prices,
    /// Whether a message that is rejected or failed keeps its place in the queue of its order key until
    /// [`crate::Event::NoticeAcknowledged`] is reported.
    pub notices_are_acknowledged: bool,
}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Returns an error that names the first setting that is not valid by its key in the configuration file.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.validate_durations()?;
        self.validate_factors()?;
        self.validate_counts()
    }

    fn validate_durations(&self) -> Result<(), SettingsError> {
        let class_durations = self.classes.iter().flat_map(|class| {
            [
                ("aimMs", class.latency_objective),
                ("deadlineMs", class.deadline),
                ("windowMs", class.idempotency_window),
            ]
        });
        let durations = [
            ("resolutionMs", self.turn_interval),
            ("connectTimeoutMs", self.limits.connect_timeout),
            ("connIdleMs", self.limits.connection_idle),
            ("maxRetryAfterMs", self.limits.max_retry_after),
            ("answerSlackMs", self.rules.answer_slack),
            ("askWithinMs", self.rules.poll_within),
            ("drainGraceMs", self.rules.drain_grace),
            ("fallMs", self.rules.overload_tolerance),
            ("warmWithinMs", self.rules.warm_up_time),
            ("orderPauseMs", self.rules.quarantine_time),
        ];
        match class_durations.chain(durations).find(|(_, duration)| *duration < 0) {
            Some((name, _)) => Err(SettingsError::Negative(name)),
            None => Ok(()),
        }
    }

    fn validate_factors(&self) -> Result<(), SettingsError> {
        let class_factors = self.classes.iter().flat_map(|class| {
            [
                ("worth", class.value),
                ("lateShare", class.residual_value),
                ("aimStretch", class.latency_objective_stretch),
            ]
        });
        let factors = [
            ("overloadFactor", self.rules.overload_factor),
            ("startCapacity", self.rules.initial_capacity),
            ("overShareWorth", self.over_quota_value),
        ];
        let is_valid = |factor: f64| factor.is_finite() && factor >= 0.0;
        match class_factors.chain(factors).find(|(_, factor)| !is_valid(*factor)) {
            Some((name, _)) => Err(SettingsError::OutOfRange(name)),
            None => Ok(()),
        }
    }

    fn validate_counts(&self) -> Result<(), SettingsError> {
        let counts = [
            ("maxCalls", self.limits.max_in_flight),
            ("mostHeld", self.limits.buffer_capacity),
            ("sendCap", self.limits.max_attempts as usize),
            ("balancers", self.sender_count as usize),
        ];
        match counts.iter().find(|(_, count)| *count == 0) {
            Some((name, _)) => Err(SettingsError::OutOfRange(name)),
            None => Ok(()),
        }
    }
}
