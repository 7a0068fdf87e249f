//! Starting a sender on journals of an earlier version, which `tests/data/journal/README.md` describes.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{json, Value};
use support::configuration::{Idempotency, SenderOptions};
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, OK};
use support::http::HttpMessage;
use support::sender_process::SenderProcess;

/// The journal as its records were appended.
const APPENDED: &[u8] = include_bytes!("data/journal/appended.bin");
/// The same journal after a compaction.
const COMPACTED: &[u8] = include_bytes!("data/journal/compacted.bin");

/// The name of the journal file in the state directory.
const JOURNAL: &str = "journal";
/// How long a test waits before it checks that nothing more is sent: resumed messages of a destination start
/// up to 0.9 s apart.
const RESUMPTION_TIME: Duration = Duration::from_millis(1_200);

/// A state directory with a recorded journal, the discovery server that lists all endpoints, and the
/// endpoints.
struct Environment {
    folder: tempfile::TempDir,
    /// `s-1` of destination 7.
    endpoint: Endpoint,
    /// `s-2` of destination 7, which is drained in the journals.
    drained: Endpoint,
    /// `s-3` of destination 8, which was drained and restored in the journals.
    restored: Endpoint,
    discovery: Discovery,
    options: SenderOptions,
}

impl Environment {
    fn new(journal: &[u8], idempotency: Idempotency) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let state = folder.path().join("state");
        std::fs::create_dir(&state).unwrap();
        std::fs::write(state.join(JOURNAL), journal).unwrap();
        let endpoint = Endpoint::start(vec![OK]);
        let drained = Endpoint::start(vec![OK]);
        let restored = Endpoint::start(vec![OK]);
        let list = vec![
            endpoint_line("s-1", endpoint.address, 7, "up"),
            endpoint_line("s-2", drained.address, 7, "up"),
            endpoint_line("s-3", restored.address, 8, "up"),
        ];
        let discovery = Discovery::start(list);
        let options = SenderOptions { idempotency, is_ordered: true, ..SenderOptions::default() };
        Self { folder, endpoint, drained, restored, discovery, options }
    }

    fn start_sender(&self) -> SenderProcess {
        let state = self.folder.path().join("state");
        let known = vec![
            endpoint_line("s-1", self.endpoint.address, 7, "up"),
            endpoint_line("s-2", self.drained.address, 7, "up"),
            endpoint_line("s-3", self.restored.address, 8, "up"),
        ];
        SenderProcess::start(&state, &self.discovery, known, &self.options)
    }

    /// Waits for `count` calls to `s-1`, and returns them by message id. Panics if a message arrives twice.
    fn calls(&self, count: usize) -> BTreeMap<String, HttpMessage> {
        let mut calls = BTreeMap::new();
        for _ in 0..count {
            let call = self.endpoint.next_call();
            let call_id = call.headers["x-call-id"].clone();
            assert!(calls.insert(call_id.clone(), call).is_none(), "{call_id} was sent twice");
        }
        calls
    }

    /// Takes the notices that have arrived by now, and returns them by message id. Panics if two are about
    /// one message.
    fn notices(&self) -> BTreeMap<String, Value> {
        let mut notices = BTreeMap::new();
        for notice in self.discovery.notices.try_iter() {
            let call_id = notice["ref"].as_str().unwrap().to_owned();
            assert!(notices.insert(call_id.clone(), notice).is_none(), "two notices for {call_id}");
        }
        notices
    }
}

/// The notice with this result, by its message id.
fn notice(call_id: &str, result: &str) -> (String, Value) {
    (call_id.to_owned(), json!({"ref": call_id, "result": result}))
}

/// Starts a sender on this journal and checks how each message ends. `repeats_ambiguous` says whether `m5`,
/// `m6` and `m7`, which may have taken effect, are sent again or fail; all other messages end the same way.
fn assert_resumes(journal: &[u8], idempotency: Idempotency, repeats_ambiguous: bool) {
    let environment = Environment::new(journal, idempotency);
    let sender = environment.start_sender();
    sender.await_metric("in_progress", 0);

    let ambiguous = ["m5", "m6", "m7"];
    let mut delivered = vec!["m1", "m2", "m3", "m4", "m13", "m14"];
    let mut notices =
        BTreeMap::from([notice("m10", "dead"), notice("m11", "bounced"), notice("m15", "dead")]);
    let rejected = json!({"ref": "m9", "result": "bounced", "wait_ms": 9_000});
    notices.insert("m9".to_owned(), rejected);
    if repeats_ambiguous {
        delivered.extend(ambiguous);
    } else {
        notices.extend(ambiguous.map(|call_id| notice(call_id, "dead")));
    }
    delivered.sort_unstable();

    let calls = environment.calls(delivered.len());
    assert_eq!(calls.keys().collect::<Vec<_>>(), delivered);
    assert!(environment.endpoint.has_no_call(), "another call was made to destination 7");
    for (call_id, call) in &calls {
        assert_eq!(call.headers.get("idempotency-key"), expected_key(call_id).as_ref(), "{call_id}");
        assert_eq!(call.body, expected_body(call_id), "{call_id}");
    }
    assert_eq!(environment.notices(), notices);
    assert_eq!(environment.restored.next_call().headers["x-call-id"], "m16");
    assert!(environment.restored.has_no_call(), "more than one call was made to destination 8");
    assert!(environment.drained.has_no_call(), "a drained endpoint got a call");
    // Messages that have ended stay ended in the next process.
    sender.kill();
    let _next = environment.start_sender();
    std::thread::sleep(RESUMPTION_TIME);
    assert!(environment.endpoint.has_no_call());
    assert!(environment.notices().is_empty());
    assert!(environment.restored.has_no_call());
}

fn expected_key(call_id: &str) -> Option<String> {
    let has_key = !["m4", "m14"].contains(&call_id);
    has_key.then(|| format!("key-of-{call_id}"))
}

fn expected_body(call_id: &str) -> Vec<u8> {
    match call_id {
        "m2" => (0..=255).chain(0..=43).collect(),
        "m14" => Vec::new(),
        _ => format!("body of {call_id}").into_bytes(),
    }
}

/// Guards against losing what an earlier version stored, and against sending again or rejecting a message
/// that may have taken effect in a class where repeats are harmful.
#[test]
fn an_appended_journal_of_an_earlier_version_is_resumed() {
    assert_resumes(APPENDED, Idempotency::Never, false);
}

/// Guards against misreading the records that only a compaction writes: messages would be lost, or sent again
/// or rejected although they may have taken effect in a class where repeats are harmful.
#[test]
fn a_compacted_journal_of_an_earlier_version_is_resumed() {
    assert_resumes(COMPACTED, Idempotency::Never, false);
}

/// Guards against failing a message that may have taken effect in a class where repeats are harmless.
#[test]
fn ambiguous_messages_of_an_earlier_version_are_sent_again_where_repeats_are_harmless() {
    assert_resumes(APPENDED, Idempotency::Always, true);
    assert_resumes(COMPACTED, Idempotency::Always, true);
}

/// Guards against sending a message before the platform has acknowledged the rejection of an earlier message
/// with the same order key.
#[test]
fn a_pending_notice_of_an_earlier_version_holds_back_its_order_key() {
    for journal in [APPENDED, COMPACTED] {
        let environment = Environment::new(journal, Idempotency::Never);
        environment.discovery.reject_notices(10_000);
        let sender = environment.start_sender();
        environment.discovery.await_rejected_notice();
        // m13 must wait until the notice of m9, which has the same order key, is acknowledged. The other
        // messages for destination 7 have already ended, or fail without a call.
        let calls = environment.calls(5);
        assert_eq!(calls.keys().collect::<Vec<_>>(), ["m1", "m14", "m2", "m3", "m4"]);
        std::thread::sleep(RESUMPTION_TIME);
        assert!(
            environment.endpoint.has_no_call(),
            "a call was made before the notice of m9 was acknowledged"
        );
        environment.discovery.reject_notices(0);
        assert_eq!(environment.endpoint.next_call().headers["x-call-id"], "m13");
        drop(sender);
    }
}
