//! Settings of a controller and their validation.

use std::str::FromStr;

use crate::ids::Micros;

/// Why settings were not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The settings contain no message class.
    #[error("settings name no message class")]
    NoClasses,
    /// A duration is negative.
    #[error("{0} is negative")]
    Negative(&'static str),
    /// A number that must be positive is not, or is not finite.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    /// The effect of a message class is not one of the known ones.
    #[error("unknown effect {0:?}")]
    UnknownEffect(String),
}

/// Whether the messages of a class may be sent more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Sending again is harmless.
    Always,
    /// The destination drops repeats of an idempotency key within a window and a scope.
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

/// Which endpoints of a destination share the record of idempotency keys.
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
    /// By half with each further latency objective, but not below the residual value.
    Exponential,
}

/// How the endpoint list reaches this sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed.
    #[default]
    Push,
    /// Changes arrive only on a subscription or in the answer to a fetch.
    Subscribe,
}

/// A class of messages.
#[derive(Debug, Clone, PartialEq)]
pub struct MessageClass {
    /// Whether its messages may be sent more than once.
    pub idempotency: Idempotency,
    /// With an idempotency key: which endpoints share the record of keys.
    pub idempotency_scope: IdempotencyScope,
    /// With an idempotency key: how long repeats are dropped, from the first ambiguous attempt on.
    pub idempotency_window: Micros,
    /// A message delivered within this time has its full value.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the message's expected work.
    pub latency_objective_stretch: f64,
    /// A message is given up this long after it was first submitted.
    pub deadline: Micros,
    /// Value of a message.
    pub value: f64,
    /// Fraction of the value that is left at the deadline.
    pub residual_value: f64,
    /// Messages with the same order key are delivered one at a time, in order.
    pub ordered: bool,
    /// Responses are streamed.
    pub stream: bool,
}

/// A kind of destination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationKind {
    /// Each endpoint is a route of its own, with its own rate limit and outages.
    pub per_endpoint_limits: bool,
    /// Messages that one call may carry.
    pub max_batch_size: usize,
}

/// A zone in which endpoints run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Zone {
    /// Cost of each message that an endpoint with limits of its own in this zone accepts.
    pub fee: f64,
}

/// A tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tenant {
    /// Messages per second, over all senders, that are within the tenant's quota.
    pub quota: f64,
}

/// What the host allows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Limits {
    /// Concurrency limit: calls in flight at once.
    pub max_in_flight: usize,
    /// Buffer capacity: messages that may be open at once.
    pub buffer_capacity: usize,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be probed.
    pub may_probe: bool,
    /// Notes to other senders may be sent.
    pub may_send_notes: bool,
    /// A message may have two attempts in flight.
    pub may_hedge: bool,
    /// Clients are told when to submit a rejected message again.
    pub may_advise_retry: bool,
    /// The longest such advice that they honour.
    pub max_retry_after: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// Idle connections are closed after this time.
    pub connection_idle: Micros,
}

/// The parameters of the protocol's rules.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// A final answer counts until this long after the deadline.
    pub answer_slack: Micros,
    /// A sender without a subscription is deemed to know a list that is this old.
    pub poll_within: Micros,
    /// New attempts to a draining or removed endpoint must have ceased after this time.
    pub drain_grace: Micros,
    /// A cold destination fails when it is overloaded for this long.
    pub overload_tolerance: Micros,
    /// Overloaded means to receive more than this multiple of the present capacity.
    pub overload_factor: f64,
    /// Fraction of its capacity that a destination has right after an outage.
    pub initial_capacity: f64,
    /// It has all of its capacity again after this time.
    pub warm_up_time: Micros,
    /// How long an order key is quarantined after an attempt that may still be running.
    pub quarantine_time: Micros,
}

/// What operations cost, each times its rate.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A new connection.
    pub handshake: f64,
    /// A probe.
    pub probe: f64,
    /// A call that a rate limit rejects.
    pub rejection: f64,
}

/// All that a controller is told at its start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Message classes. Events refer to them, as to kinds, zones and tenants, by index.
    pub classes: Vec<MessageClass>,
    /// Kinds of destination.
    pub kinds: Vec<DestinationKind>,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a message beyond its tenant's quota, as a fraction.
    pub over_quota_value: f64,
    /// How value decays after the latency objective.
    pub decay: ValueDecay,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// Whether the rates in endpoint lists mean calls per second of all senders together.
    pub rates_are_listed: bool,
    /// Number of senders in the fleet.
    pub sender_count: u32,
    /// This sender's number among them.
    pub ordinal: u32,
    /// Index of this sender's zone.
    pub zone: usize,
    /// Turns come no more often than this.
    pub turn_interval: Micros,
    /// What the host allows.
    pub limits: Limits,
    /// The parameters of the protocol's rules.
    pub rules: Rules,
    /// What operations cost.
    pub prices: Prices,
    /// A rejected or failed message is over only once [`crate::Event::NoticeAcknowledged`] says so.
    pub notices_are_acknowledged: bool,
}

impl Settings {
    /// Checks that the settings are well formed.
    ///
    /// # Errors
    /// Names the first setting that is not.
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
                ("aim", class.latency_objective),
                ("deadline", class.deadline),
                ("key window", class.idempotency_window),
            ]
        });
        let durations = [
            ("resolution", self.turn_interval),
            ("connect time-out", self.limits.connect_timeout),
            ("connection idle time", self.limits.connection_idle),
            ("retry-after maximum", self.limits.max_retry_after),
            ("answer slack", self.rules.answer_slack),
            ("ask-within time", self.rules.poll_within),
            ("drain grace", self.rules.drain_grace),
            ("fall time", self.rules.overload_tolerance),
            ("warm time", self.rules.warm_up_time),
            ("order pause", self.rules.quarantine_time),
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
                ("late share", class.residual_value),
                ("aim stretch", class.latency_objective_stretch),
            ]
        });
        let factors = [
            ("overload factor", self.rules.overload_factor),
            ("start capacity", self.rules.initial_capacity),
            ("over-share worth", self.over_quota_value),
        ];
        let is_valid = |factor: f64| factor.is_finite() && factor >= 0.0;
        match class_factors.chain(factors).find(|(_, factor)| !is_valid(*factor)) {
            Some((name, _)) => Err(SettingsError::OutOfRange(name)),
            None => Ok(()),
        }
    }

    fn validate_counts(&self) -> Result<(), SettingsError> {
        let counts = [
            ("slots", self.limits.max_in_flight),
            ("held messages", self.limits.buffer_capacity),
            ("attempts", self.limits.max_attempts as usize),
            ("senders", self.sender_count as usize),
        ];
        match counts.iter().find(|(_, count)| *count == 0) {
            Some((name, _)) => Err(SettingsError::OutOfRange(name)),
            None => Ok(()),
        }
    }
}
