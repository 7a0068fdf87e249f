//! Tests of the endpoint list's wire format.

use super::*;

/// Guards the field names of the wire format and its optional fields: a renamed field would make lists from
/// discovery unreadable or silently drop its values.
#[test]
fn a_list_is_read_under_the_names_of_the_wire() {
    let text = r#"{"index": 9, "snapshot": true, "endpoints": [
        {"name": "s-1", "address": "127.0.0.1:9", "zone": "here", "type": "big", "group": 7, "status": "up",
         "weight": 2.5, "since_ms": 12.5},
        {"name": "s-2", "address": "127.0.0.1:8", "group": 8, "status": "draining"},
        {"name": "s-3", "address": "127.0.0.1:7", "zone": null, "type": null, "group": 8, "status": "removed"}
    ]}"#;
    let list: EndpointList = serde_json::from_str(text).unwrap();
    assert_eq!(list.version, 9);
    assert_eq!(list.update_kind(), UpdateKind::Snapshot);

    let complete = &list.endpoints[0];
    assert_eq!(complete.name, "s-1");
    assert_eq!(complete.address, "127.0.0.1:9".parse().unwrap());
    assert_eq!(complete.zone.as_deref(), Some("here"));
    assert_eq!(complete.kind.as_deref(), Some("big"));
    assert_eq!(complete.destination, 7);
    assert_eq!(complete.status, ListedStatus::Up);
    assert_eq!(complete.weight, 2.5);
    assert_eq!(complete.online_since(), Some(12_500));

    let short = &list.endpoints[1];
    assert_eq!((short.zone.as_ref(), short.kind.as_ref()), (None, None));
    assert_eq!(short.weight, 0.0);
    assert_eq!(short.online_since(), None);

    let statuses: Vec<_> = list.endpoints.iter().map(|endpoint| endpoint.status).collect();
    assert_eq!(statuses, [ListedStatus::Up, ListedStatus::Draining, ListedStatus::Removed]);
}

/// Guards against a list of changes that is treated as complete: all endpoints that it does not name would be
/// removed.
#[test]
fn a_list_that_is_no_snapshot_is_a_delta() {
    let list: EndpointList =
        serde_json::from_str(r#"{"index": 9, "snapshot": false, "endpoints": []}"#).unwrap();
    assert_eq!(list.update_kind(), UpdateKind::Delta);
}
