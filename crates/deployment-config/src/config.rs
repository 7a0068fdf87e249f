//! Decoding of a sender's settings from JSON, and their conversion to the controller's [`Settings`].
//!
//! A sender's configuration file has this object as its `settings`, and the simulator's protocol as the
//! `config` of an instance. Fields are named as in [`Settings`], where they are described, unless they have a
//! comment here. `serde` attributes give their keys in JSON. Durations are in milliseconds, and their fields
//! end in `_ms`.

use delivery_control::{
    DestinationKind, DiscoveryMode, Idempotency, IdempotencyScope, Limits, MessageClass, Prices, Rules,
    Settings, SettingsError, Tenant, ValueDecay, Zone,
};
use serde::Deserialize;

use crate::names::{index_or_end, Names};
use crate::time::{micros_from_millis, micros_or_zero};

/// The settings of one sender, as written in the configuration.
#[derive(Deserialize)]
pub struct Config {
    #[serde(rename = "balancers")]
    sender_count: u32,
    ordinal: u32,
    #[serde(rename = "categories")]
    classes: Vec<ClassConfig>,
    #[serde(rename = "familyInfo")]
    family: FamilyConfig,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
    zone: Option<String>,
    #[serde(rename = "orgs")]
    tenants: Option<Vec<TenantConfig>>,
    #[serde(rename = "overShareWorth")]
    over_quota_value: Option<f64>,
    /// `subscribe` for [`DiscoveryMode::Subscribe`]; any other text is [`DiscoveryMode::Push`].
    #[serde(rename = "membershipMode")]
    discovery: String,
    /// `nominal` or `rough` if the weights in endpoint lists are rate limits; see
    /// [`Settings::rates_are_listed`].
    #[serde(rename = "weights")]
    listed_weights: Option<String>,
    #[serde(rename = "resolutionMs")]
    turn_interval_ms: f64,
    limits: LimitsConfig,
    rules: RulesConfig,
    #[serde(rename = "deductions", default)]
    prices: PricesConfig,
}

/// A class of messages; converted to [`MessageClass`].
#[derive(Deserialize)]
struct ClassConfig {
    name: String,
    /// Text for an [`Idempotency`].
    effect: String,
    /// `all` or absent for [`IdempotencyScope::All`]; any other text is [`IdempotencyScope::Zone`].
    #[serde(rename = "dedupScope")]
    idempotency_scope: Option<String>,
    #[serde(rename = "windowMs")]
    idempotency_window_ms: Option<f64>,
    #[serde(rename = "aimMs")]
    latency_objective_ms: f64,
    #[serde(rename = "aimStretch")]
    latency_objective_stretch: Option<f64>,
    #[serde(rename = "deadlineMs")]
    deadline_ms: f64,
    #[serde(rename = "worth")]
    value: f64,
    #[serde(rename = "lateShare")]
    residual_value: Option<f64>,
    #[serde(rename = "fifoByKey")]
    ordered: Option<bool>,
    stream: Option<bool>,
}

/// Settings that all deployments of a family share. The elements of a list belong to the kinds or zones with
/// the same indices; missing elements have defaults.
#[derive(Deserialize)]
struct FamilyConfig {
    #[serde(rename = "ownLimits")]
    per_endpoint_limits: Option<Vec<bool>>,
    #[serde(rename = "bundleMax")]
    max_batch_sizes: Option<Vec<usize>>,
    /// `halves` for [`ValueDecay::Exponential`]; otherwise [`ValueDecay::Linear`].
    decay: Option<String>,
    #[serde(rename = "refusalCost")]
    rejection_price: Option<f64>,
    #[serde(rename = "maxCalls")]
    max_in_flight: usize,
    #[serde(rename = "carriage")]
    zone_fees: Option<Vec<f64>>,
}

/// A tenant; converted to [`Tenant`].
#[derive(Deserialize)]
struct TenantConfig {
    name: String,
    #[serde(rename = "allowancePerS")]
    quota_per_second: f64,
}

/// Limits and permissions; converted to [`Limits`]. Permissions that are not given are not granted.
#[derive(Deserialize)]
struct LimitsConfig {
    #[serde(rename = "mostHeld")]
    buffer_capacity: usize,
    #[serde(rename = "sendCap")]
    max_attempts: u32,
    #[serde(rename = "cancel")]
    may_cancel: Option<bool>,
    #[serde(rename = "mayProbe")]
    may_probe: Option<bool>,
    #[serde(rename = "peers")]
    may_send_notes: Option<bool>,
    #[serde(rename = "secondCopies")]
    may_hedge: Option<bool>,
    #[serde(rename = "retryAfter")]
    may_advise_retry: Option<bool>,
    #[serde(rename = "maxRetryAfterMs")]
    max_retry_after_ms: Option<f64>,
    #[serde(rename = "connectTimeoutMs")]
    connect_timeout_ms: Option<f64>,
    #[serde(rename = "connIdleMs")]
    connection_idle_ms: Option<f64>,
}

/// Parameters of the protocol's rules; converted to [`Rules`].
#[derive(Deserialize)]
struct RulesConfig {
    #[serde(rename = "answerSlackMs")]
    answer_slack_ms: Option<f64>,
    #[serde(rename = "askWithinMs")]
    poll_within_ms: Option<f64>,
    #[serde(rename = "drainGraceMs")]
    drain_grace_ms: Option<f64>,
    #[serde(rename = "fallMs")]
    overload_tolerance_ms: Option<f64>,
    #[serde(rename = "overloadFactor")]
    overload_factor: Option<f64>,
    #[serde(rename = "startCapacity")]
    initial_capacity: Option<f64>,
    #[serde(rename = "warmWithinMs")]
    warm_up_time_ms: Option<f64>,
    #[serde(rename = "orderPauseMs")]
    quarantine_time_ms: Option<f64>,
}

/// Costs of operations; converted to [`Prices`]. Prices that are not given are 0.
#[derive(Deserialize, Default)]
#[serde(default)]
struct PricesConfig {
    #[serde(rename = "crossZone")]
    cross_zone: Option<f64>,
    handshake: Option<f64>,
    probe: Option<f64>,
}

impl Config {
    /// The names of the classes, kinds, zones and tenants that the settings list.
    pub fn names(&self) -> Names {
        Names {
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            kinds: self.kinds.clone(),
            zones: self.zones.clone(),
            tenants: self.tenants.iter().flatten().map(|tenant| tenant.name.clone()).collect(),
        }
    }

    /// Converts to the controller's settings. [`Settings::notices_are_acknowledged`] is false, since notices
    /// need no acknowledgement in the simulator; the message sender sets it to true.
    ///
    /// # Errors
    /// Returns an error if the `effect` of a class is not a known value.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let classes = self.classes.iter().map(ClassConfig::message_class);
        Ok(Settings {
            notices_are_acknowledged: false,
            classes: classes.collect::<Result<_, _>>()?,
            kinds: self.destination_kinds(),
            zones: self.zones(),
            tenants: self.tenants(),
            over_quota_value: self.over_quota_value.unwrap_or(1.0),
            decay: self.value_decay(),
            discovery: self.discovery_mode(),
            rates_are_listed: self.rates_are_listed(),
            sender_count: self.sender_count,
            ordinal: self.ordinal,
            zone: index_or_end(&self.zones, self.zone.as_ref()),
            turn_interval: micros_from_millis(self.turn_interval_ms),
            limits: self.limits.limits(self.family.max_in_flight),
            rules: self.rules.rules(),
            prices: self.prices(),
        })
    }

    fn destination_kinds(&self) -> Vec<DestinationKind> {
        let per_endpoint_limits = self.family.per_endpoint_limits.as_deref().unwrap_or_default();
        let max_batch_sizes = self.family.max_batch_sizes.as_deref().unwrap_or_default();
        let kind = |index: usize| DestinationKind {
            per_endpoint_limits: per_endpoint_limits.get(index).copied().unwrap_or(false),
            max_batch_size: max_batch_sizes.get(index).copied().unwrap_or(1),
        };
        (0..self.kinds.len()).map(kind).collect()
    }

    fn zones(&self) -> Vec<Zone> {
        let fees = self.family.zone_fees.as_deref().unwrap_or_default();
        let zone = |index: usize| Zone { fee: fees.get(index).copied().unwrap_or(0.0) };
        (0..self.zones.len()).map(zone).collect()
    }

    fn tenants(&self) -> Vec<Tenant> {
        let tenants = self.tenants.iter().flatten();
        tenants.map(|tenant| Tenant { quota: tenant.quota_per_second }).collect()
    }

    fn value_decay(&self) -> ValueDecay {
        match self.family.decay.as_deref() {
            Some("halves") => ValueDecay::Exponential,
            _ => ValueDecay::Linear,
        }
    }

    fn discovery_mode(&self) -> DiscoveryMode {
        match self.discovery.as_str() {
            "subscribe" => DiscoveryMode::Subscribe,
            _ => DiscoveryMode::Push,
        }
    }

    /// Whether the weights in endpoint lists are rate limits in calls per second of all senders together.
    fn rates_are_listed(&self) -> bool {
        matches!(self.listed_weights.as_deref(), Some("nominal" | "rough"))
    }

    fn prices(&self) -> Prices {
        Prices {
            cross_zone: self.prices.cross_zone.unwrap_or(0.0),
            handshake: self.prices.handshake.unwrap_or(0.0),
            probe: self.prices.probe.unwrap_or(0.0),
            rejection: self.family.rejection_price.unwrap_or(0.0),
        }
    }
}

impl ClassConfig {
    fn message_class(&self) -> Result<MessageClass, SettingsError> {
        Ok(MessageClass {
            idempotency: self.idempotency()?,
            idempotency_scope: self.idempotency_scope(),
            idempotency_window: micros_or_zero(self.idempotency_window_ms),
            latency_objective: micros_from_millis(self.latency_objective_ms),
            latency_objective_stretch: self.latency_objective_stretch.unwrap_or(0.0),
            deadline: micros_from_millis(self.deadline_ms),
            value: self.value,
            residual_value: self.residual_value.unwrap_or(0.0),
            ordered: self.ordered.unwrap_or(false),
            stream: self.stream.unwrap_or(false),
        })
    }

    /// Accepts the three values below, and those that [`Idempotency`] itself parses.
    fn idempotency(&self) -> Result<Idempotency, SettingsError> {
        match self.effect.as_str() {
            "pure" => Ok(Idempotency::Always),
            "token" => Ok(Idempotency::WithKey),
            "side_effect" => Ok(Idempotency::Never),
            other => other.parse(),
        }
    }

    fn idempotency_scope(&self) -> IdempotencyScope {
        match self.idempotency_scope.as_deref() {
            None | Some("all") => IdempotencyScope::All,
            Some(_) => IdempotencyScope::Zone,
        }
    }
}

impl LimitsConfig {
    fn limits(&self, max_in_flight: usize) -> Limits {
        Limits {
            max_in_flight,
            buffer_capacity: self.buffer_capacity,
            max_attempts: self.max_attempts,
            may_cancel: self.may_cancel.unwrap_or(false),
            may_probe: self.may_probe.unwrap_or(false),
            may_send_notes: self.may_send_notes.unwrap_or(false),
            may_hedge: self.may_hedge.unwrap_or(false),
            may_advise_retry: self.may_advise_retry.unwrap_or(false),
            max_retry_after: micros_or_zero(self.max_retry_after_ms),
            connect_timeout: micros_or_zero(self.connect_timeout_ms),
            connection_idle: micros_or_zero(self.connection_idle_ms),
        }
    }
}

impl RulesConfig {
    fn rules(&self) -> Rules {
        Rules {
            answer_slack: micros_or_zero(self.answer_slack_ms),
            poll_within: micros_or_zero(self.poll_within_ms),
            drain_grace: micros_or_zero(self.drain_grace_ms),
            overload_tolerance: micros_or_zero(self.overload_tolerance_ms),
            overload_factor: self.overload_factor.unwrap_or(1.0),
            initial_capacity: self.initial_capacity.unwrap_or(1.0),
            warm_up_time: micros_or_zero(self.warm_up_time_ms),
            quarantine_time: micros_or_zero(self.quarantine_time_ms),
        }
    }
}
