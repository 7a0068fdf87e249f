//! Tests of the registry with sequences of lists.

use super::*;

fn names() -> Names {
    let config = serde_json::json!({
        "balancers": 1, "ordinal": 0, "kinds": ["big"], "zones": ["here"], "zone": "here",
        "categories": [], "familyInfo": {"maxCalls": 1}, "membershipMode": "automatic", "resolutionMs": 5.0,
        "limits": {"mostHeld": 1, "sendCap": 1}, "rules": {},
    });
    let config: deployment_config::Config = serde_json::from_value(config).unwrap();
    config.names()
}

fn registry() -> EndpointRegistry {
    EndpointRegistry::new(names(), Vec::new())
}

fn listed(name: &str, status: ListedStatus) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: None,
        kind: None,
        destination: 7,
        status,
        weight: 1.0,
        online_since_ms: 0.0,
    }
}

fn delta(endpoints: Vec<ListedEndpoint>) -> EndpointList {
    EndpointList { version: 1, is_snapshot: false, endpoints }
}

fn snapshot(endpoints: Vec<ListedEndpoint>) -> EndpointList {
    EndpointList { version: 1, is_snapshot: true, endpoints }
}

/// Guards against a registry that grows without limit as endpoints are replaced, because departed ones never
/// expire, and against an id that is reused for another endpoint.
#[tokio::test(start_paused = true)]
async fn departed_endpoints_expire_and_ids_are_never_reassigned() {
    let mut registry = registry();
    let mut assigned = HashSet::new();
    for number in 0..100 {
        let name = format!("s-{number}");
        let update = registry.apply_update(&delta(vec![listed(&name, ListedStatus::Up)]));
        assert!(assigned.insert(update.entries[0].endpoint));
        registry.apply_update(&delta(vec![listed(&name, ListedStatus::Removed)]));
        tokio::time::advance(DEPARTED_RETENTION / 4).await;
    }
    assert!(registry.endpoints.len() <= 6 && registry.ids.len() == registry.endpoints.len());
    let first = registry.ids.get("s-99").unwrap();
    let update = registry.apply_update(&delta(vec![listed("s-99", ListedStatus::Up)]));
    assert_eq!(update.entries[0].endpoint, first);
}

/// Guards against endpoints and idle connections that are kept after a snapshot which does not name them.
#[tokio::test(start_paused = true)]
async fn a_snapshot_removes_the_endpoints_that_it_leaves_out() {
    let mut registry = registry();
    assert_eq!(registry.destination_status(7), DestinationStatus::Undetermined);
    let both = vec![listed("s-1", ListedStatus::Up), listed("s-2", ListedStatus::Up)];
    let departed = registry.apply_update(&snapshot(both)).entries[0].endpoint;
    assert_eq!(registry.destination_status(7), DestinationStatus::Known);
    assert_eq!(registry.destination_status(8), DestinationStatus::Unknown);
    let update = registry.apply_update(&snapshot(vec![listed("s-2", ListedStatus::Up)]));
    assert_eq!(update.update_kind, UpdateKind::Snapshot);
    assert_eq!(update.invalidated, vec![departed]);
    tokio::time::advance(DEPARTED_RETENTION).await;
    registry.apply_update(&delta(Vec::new()));
    assert!(registry.get(departed).is_none());
    assert_eq!(registry.destination_status(7), DestinationStatus::Known);
}

/// Guards against a successor process that treats known endpoints as new ones, or loses other state of its
/// predecessor, because the handover leaves it out.
#[tokio::test(start_paused = true)]
async fn a_restored_registry_continues_from_its_snapshot() {
    let mut predecessor = registry();
    let both = vec![listed("s-1", ListedStatus::Up), listed("s-2", ListedStatus::Up)];
    let entries = predecessor.apply_update(&snapshot(both)).entries;
    predecessor.apply_update(&delta(vec![listed("s-2", ListedStatus::Removed)]));
    let saved = rmp_serde::to_vec_named(&predecessor.snapshot()).unwrap();

    let restored = rmp_serde::from_slice(&saved).unwrap();
    let mut successor = EndpointRegistry::restore(names(), Vec::new(), restored);
    assert_eq!(successor.listed_count(), 1);
    assert!(successor.is_known("s-1") && !successor.is_known("s-2"));
    assert_eq!(successor.destination_status(8), DestinationStatus::Unknown);
    for entry in &entries {
        let restored = successor.get(entry.endpoint).unwrap();
        let original = predecessor.get(entry.endpoint).unwrap();
        assert_eq!(restored.address, original.address);
        assert_eq!(restored.route, original.route);
        assert_eq!(restored.zone, original.zone);
    }
    let update = successor.apply_update(&delta(vec![
        listed("s-1", ListedStatus::Up),
        listed("s-2", ListedStatus::Up),
        listed("s-3", ListedStatus::Up),
    ]));
    assert_eq!(update.entries[0].endpoint, entries[0].endpoint);
    assert_eq!(update.entries[1].endpoint, entries[1].endpoint);
    assert!(entries.iter().all(|entry| entry.endpoint != update.entries[2].endpoint));
}
