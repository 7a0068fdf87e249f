//! Tests of the mapping from the names that deployments use to the controller's settings and load reports.

use std::collections::BTreeMap;

use delivery_control::{
    DestinationKind, DiscoveryMode, Idempotency, IdempotencyScope, Limits, LoadReport, Prices, Rules,
    Settings, Tenant, ValueDecay, Zone,
};
use deployment_config::{load_report, Config};
use serde_json::{json, Value};

/// A configuration with every key. No optional key has its default value.
fn complete() -> Value {
    json!({
        "balancers": 3, "ordinal": 2,
        "categories": [{
            "name": "order", "effect": "token", "dedupScope": "zone", "windowMs": 1.5, "aimMs": 2.5,
            "aimStretch": 3.5, "deadlineMs": 4.5, "worth": 5.5, "lateShare": 6.5, "fifoByKey": true,
            "stream": true,
        }],
        "familyInfo": {
            "ownLimits": [true], "bundleMax": [7, 8], "decay": "halves", "refusalCost": 9.5, "maxCalls": 10,
            "carriage": [1.25],
        },
        "kinds": ["big", "small"], "zones": ["here", "there"], "zone": "there",
        "orgs": [{"name": "acme", "allowancePerS": 11.5}], "overShareWorth": 12.5,
        "membershipMode": "subscribe", "weights": "rough", "resolutionMs": 13.5,
        "limits": {
            "mostHeld": 14, "sendCap": 15, "cancel": true, "mayProbe": true, "peers": true,
            "secondCopies": true, "retryAfter": true, "maxRetryAfterMs": 16.5, "connectTimeoutMs": 17.5,
            "connIdleMs": 18.5,
        },
        "rules": {
            "answerSlackMs": 1, "askWithinMs": 2, "drainGraceMs": 3, "fallMs": 4, "overloadFactor": 5,
            "startCapacity": 6, "warmWithinMs": 7, "orderPauseMs": 8,
        },
        "deductions": {"crossZone": 1.5, "handshake": 2.5, "probe": 3.5},
    })
}

/// A configuration with only the required keys, kinds and zones.
fn minimal() -> Value {
    json!({
        "balancers": 1, "ordinal": 0,
        "categories": [{"name": "order", "effect": "pure", "aimMs": 1, "deadlineMs": 2, "worth": 3}],
        "familyInfo": {"maxCalls": 1}, "kinds": ["big"], "zones": ["here"],
        "membershipMode": "automatic", "resolutionMs": 5, "limits": {"mostHeld": 1, "sendCap": 1}, "rules": {},
    })
}

fn config(value: Value) -> Config {
    serde_json::from_value(value).expect("a configuration")
}

fn settings(value: Value) -> Settings {
    config(value).settings().expect("settings")
}

/// Guards against a key that is ignored, converted in the wrong unit or assigned to the wrong setting: keys
/// and fields have different names, so the compiler finds no such mistake.
#[test]
fn every_name_stands_for_its_setting() {
    let settings = settings(complete());
    let class = &settings.classes[0];
    assert_eq!(class.idempotency, Idempotency::WithKey);
    assert_eq!(class.idempotency_scope, IdempotencyScope::Zone);
    assert_eq!((class.idempotency_window, class.latency_objective, class.deadline), (1_500, 2_500, 4_500));
    assert_eq!((class.latency_objective_stretch, class.value, class.residual_value), (3.5, 5.5, 6.5));
    assert!(class.ordered && class.stream);
    let kinds = [(true, 7), (false, 8)]
        .map(|(per_endpoint_limits, max_batch_size)| DestinationKind { per_endpoint_limits, max_batch_size });
    assert_eq!(settings.kinds, kinds);
    assert_eq!(settings.zones, [Zone { fee: 1.25 }, Zone { fee: 0.0 }]);
    assert_eq!(settings.tenants, [Tenant { quota: 11.5 }]);
    assert_eq!((settings.over_quota_value, settings.turn_interval), (12.5, 13_500));
    assert_eq!((settings.decay, settings.discovery), (ValueDecay::Exponential, DiscoveryMode::Subscribe));
    assert!(settings.rates_are_listed && !settings.notices_are_acknowledged);
    assert_eq!((settings.sender_count, settings.ordinal, settings.zone), (3, 2, 1));
    let limits = Limits {
        max_in_flight: 10,
        buffer_capacity: 14,
        max_attempts: 15,
        may_cancel: true,
        may_probe: true,
        may_send_notes: true,
        may_hedge: true,
        may_advise_retry: true,
        max_retry_after: 16_500,
        connect_timeout: 17_500,
        connection_idle: 18_500,
    };
    assert_eq!(settings.limits, limits);
    let rules = Rules {
        answer_slack: 1_000,
        poll_within: 2_000,
        drain_grace: 3_000,
        overload_tolerance: 4_000,
        overload_factor: 5.0,
        initial_capacity: 6.0,
        warm_up_time: 7_000,
        quarantine_time: 8_000,
    };
    assert_eq!(settings.rules, rules);
    let prices = Prices { cross_zone: 1.5, handshake: 2.5, probe: 3.5, rejection: 9.5 };
    assert_eq!(settings.prices, prices);
}

/// Guards against a wrong default for an omitted key, for example a factor of 0 where 1 means no change.
#[test]
fn what_is_left_out_has_a_default() {
    let settings = settings(minimal());
    let class = &settings.classes[0];
    assert_eq!(class.idempotency_scope, IdempotencyScope::All);
    assert_eq!((class.idempotency_window, class.residual_value), (0, 0.0));
    assert!(!class.ordered && !class.stream);
    assert_eq!(settings.kinds, [DestinationKind { per_endpoint_limits: false, max_batch_size: 1 }]);
    assert_eq!(settings.zone, 1, "one past the end: the sender's zone is not given");
    assert_eq!((settings.over_quota_value, settings.decay), (1.0, ValueDecay::Linear));
    assert_eq!(settings.discovery, DiscoveryMode::Push);
    assert!(settings.tenants.is_empty() && !settings.rates_are_listed);
    assert_eq!((settings.rules.overload_factor, settings.rules.initial_capacity), (1.0, 1.0));
    assert_eq!(settings.prices, Prices::default());
}

/// Guards against an `effect` that gives the wrong idempotency, so that messages which must not be repeated
/// are sent again. An unknown value has to be refused and named in the error.
#[test]
fn both_names_of_each_effect_are_accepted() {
    let cases = [
        ("pure", Idempotency::Always),
        ("safe", Idempotency::Always),
        ("token", Idempotency::WithKey),
        ("keyed", Idempotency::WithKey),
        ("side_effect", Idempotency::Never),
        ("unsafe", Idempotency::Never),
    ];
    for (effect, idempotency) in cases {
        let mut value = minimal();
        value["categories"][0]["effect"] = json!(effect);
        assert_eq!(settings(value).classes[0].idempotency, idempotency, "{effect}");
    }
    let mut value = minimal();
    value["categories"][0]["effect"] = json!("maybe");
    let error = config(value).settings().expect_err("no such effect");
    assert_eq!(error.to_string(), "unknown effect \"maybe\"");
}

/// Guards against a name that is mapped to the wrong index, and against unlisted kinds and zones that get the
/// index of a listed one.
#[test]
fn names_are_mapped_to_their_indices() {
    let names = config(complete()).names();
    assert_eq!(names.classes(), ["order"]);
    assert_eq!((names.class("order"), names.class("parcel")), (Some(0), None));
    assert_eq!((names.tenant("acme"), names.tenant("other")), (Some(0), None));
    let small = "small".to_owned();
    assert_eq!((names.kind(Some(&small)), names.kind(None), names.zone(Some(&small))), (1, 2, 2));
}

/// Guards against a reported value that is ignored, assigned to the wrong field, or left in milliseconds.
#[test]
fn a_load_report_is_read_by_the_names_on_the_wire() {
    let text = r#"{"x0":1,"x1":2,"concurrent":3,"depth":4,"load_share":5,"mean_ms":6,"tps":7,"err_ps":8}"#;
    let values: BTreeMap<String, f64> = serde_json::from_str(text).expect("values");
    let report = LoadReport {
        limit_remaining: Some(1.0),
        limit: Some(2.0),
        in_flight: Some(3.0),
        queue: Some(4.0),
        utilization: Some(5.0),
        latency: Some(6_000.0),
        rate: Some(7.0),
        error_rate: Some(8.0),
    };
    assert_eq!(load_report(|name| values.get(name).copied()), report);
    assert_eq!(load_report(|_| None), LoadReport::default());
}
