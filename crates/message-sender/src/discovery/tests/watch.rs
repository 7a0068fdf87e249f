//! Tests of the watch with a simulated discovery on local sockets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::{push_policy, subscribe_policy, CHANGE_KNOWN_AFTER};
use crate::discovery::{watch, PollPolicy};
use crate::endpoint_list::EndpointList;
use crate::event::SenderEvent;

/// Serves one connection, answers each request with the next of these bodies, and reports the request lines.
async fn serve_bodies(listener: TcpListener, bodies: [&str; 4], request_lines: mpsc::Sender<String>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    for body in bodies {
        let mut request = [0; 4096];
        let length = stream.read(&mut request).await.unwrap();
        let line = String::from_utf8_lossy(&request[..length]).lines().next().unwrap().to_owned();
        request_lines.send(line).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + body).as_bytes()).await.unwrap();
    }
}

/// Splits a request line into its query without the wait, and the wait in milliseconds, 0 if there is none.
fn split_wait(request_line: &str) -> (String, u64) {
    let query = request_line.replace(" HTTP/1.1", "").replace("GET /v1/servers", "");
    match query.split_once("&wait_ms=") {
        Some((query, wait)) => (query.to_owned(), wait.parse().unwrap()),
        None => (query, 0),
    }
}

/// Guards against two polls by each process of a restarted fleet where one is enough, since the process
/// already knows a list. Also guards against a sender that waits for a discovery with a restarted version
/// count to reach the known version, and gets no changes until then.
#[tokio::test]
async fn a_known_list_is_watched_from_its_version_on() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_address_sender, addresses) = tokio::sync::watch::channel(listener.local_addr().unwrap());
        let (line_sender, mut request_lines) = mpsc::channel(8);
        let bodies = [
            r#"{"index":9,"snapshot":false,"endpoints":[]}"#,
            r#"{"index":9,"snapshot":false,"endpoints":[]}"#,
            r#"{"index":3,"snapshot":false,"endpoints":[]}"#,
            "",
        ];
        tokio::task::spawn_local(serve_bodies(listener, bodies, line_sender));
        let (event_sender, mut events) = mpsc::channel(8);
        tokio::task::spawn_local(watch(addresses, event_sender, subscribe_policy(1), Some(7)));
        let mut queries = Vec::new();
        let mut waits = Vec::new();
        for _ in 0..4 {
            let (query, wait) = split_wait(&request_lines.recv().await.unwrap());
            queries.push(query);
            waits.push(wait);
        }
        assert_eq!(queries, ["?after=7", "?after=9", "?after=9", ""]);
        assert_eq!(waits[0], 50);
        // The wait of polls that continue a watch is partly random.
        assert!(waits[1..3].iter().all(|wait| (1_400..=2_000).contains(wait)), "{waits:?}");
        assert!(matches!(
            events.recv().await,
            Some(SenderEvent::EndpointListReceived(EndpointList { version: 9, .. }))
        ));
    };
    LocalSet::new().run_until(test).await;
}

/// How a scripted discovery responds to a poll, on any connection.
#[derive(Clone, Copy)]
enum Response {
    /// With a list of this version without entries.
    Version(u64),
    /// With nothing; the connection stays open.
    Nothing,
    /// With only the start of a list; the connection stays open.
    Partial,
    /// With status 503.
    Rejection,
}

impl Response {
    fn text(self) -> String {
        match self {
            Self::Version(version) => {
                // Indented, since discovery may send indented lists.
                let list = format!(
                    "{{\n  \"index\": {version},\n  \"snapshot\": false,\n  \"endpoints\": [\n  ]\n}}\n"
                );
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
            }
            Self::Nothing => String::new(),
            Self::Partial => "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"index\":9,".to_owned(),
            Self::Rejection => "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
        }
    }
}

/// Receives the version after which each poll requests changes; `None` for a snapshot.
type PolledVersions = mpsc::UnboundedReceiver<Option<u64>>;

/// State that the connections of a scripted discovery share.
struct ScriptedDiscovery {
    script: RefCell<Vec<Response>>,
    polled_versions: mpsc::UnboundedSender<Option<u64>>,
}

impl ScriptedDiscovery {
    /// Starts a discovery that answers each poll with the next entry of a script, and with the last entry
    /// from then on.
    async fn start(script: Vec<Response>) -> (SocketAddr, PolledVersions) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, polled_versions) = mpsc::unbounded_channel();
        let discovery = Rc::new(Self { script: RefCell::new(script), polled_versions: sender });
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(discovery.clone().serve(stream));
            }
        });
        (address, polled_versions)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut request = [0; 4096];
        while let Some(length) = stream.read(&mut request).await.ok().filter(|length| *length > 0) {
            let text = String::from_utf8_lossy(&request[..length]);
            let after = text.split_once("after=").and_then(|(_, rest)| rest.split('&').next());
            let response = self.next_response();
            self.polled_versions.send(after.and_then(|after| after.parse().ok())).unwrap();
            stream.write_all(response.text().as_bytes()).await.unwrap();
        }
    }

    fn next_response(&self) -> Response {
        let mut script = self.script.borrow_mut();
        if script.len() > 1 {
            script.remove(0)
        } else {
            script[0]
        }
    }
}

/// The versions of the next `count` polls in order; each has to arrive within [`CHANGE_KNOWN_AFTER`] of the
/// one before.
async fn versions_polled(polls: &mut PolledVersions, count: usize) -> Vec<Option<u64>> {
    let mut versions = Vec::new();
    for _ in 0..count {
        versions.push(timeout(CHANGE_KNOWN_AFTER, polls.recv()).await.expect("next poll in time").unwrap());
    }
    versions
}

/// Runs a watch from version 7 against a script, and checks the versions after which it requests changes.
async fn check_polled_versions(script: &[Response], policy: PollPolicy, expected: &[Option<u64>]) {
    let (address, mut polls) = ScriptedDiscovery::start(script.to_vec()).await;
    let (_address_sender, addresses) = tokio::sync::watch::channel(address);
    let (event_sender, _events) = mpsc::channel(8);
    tokio::task::spawn_local(watch(addresses, event_sender, policy, Some(7)));
    assert_eq!(versions_polled(&mut polls, expected.len()).await, expected);
}

/// Checks watches against all kinds of failure, all at the same time.
async fn check_all_failures(policy: PollPolicy) {
    use Response::{Nothing, Partial, Rejection, Version};
    tokio::join!(
        check_polled_versions(&[Nothing, Version(8), Nothing], policy, &[Some(7), Some(7), Some(8)]),
        check_polled_versions(
            &[Version(8), Nothing, Version(9), Nothing],
            policy,
            &[Some(7), Some(8), Some(8), Some(9)]
        ),
        check_polled_versions(&[Partial, Version(8), Nothing], policy, &[Some(7), Some(7), Some(8)]),
        check_polled_versions(
            &[Rejection, Rejection, Version(8), Nothing],
            policy,
            &[Some(7), Some(7), Some(7), Some(8)]
        ),
        check_polled_versions(
            &[Nothing, Rejection, Version(8), Nothing],
            policy,
            &[Some(7), Some(7), Some(7), Some(8)]
        ),
    );
}

/// Guards against a change that the platform assumes known before the sender polls for it. Discovery falls
/// silent at the first poll, right after a response or in the middle of a list, or rejects polls; there is
/// one sender, or the maximum number of senders.
#[tokio::test]
async fn a_failed_poll_is_repeated_in_time() {
    let test = async {
        tokio::join!(
            check_all_failures(subscribe_policy(1)),
            check_all_failures(subscribe_policy(1_024)),
            check_all_failures(push_policy(1_024)),
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Moves a watch to another address while the old address fails in this way.
async fn check_address_change(failure: Response) {
    let (old_address, mut old_polls) = ScriptedDiscovery::start(vec![failure]).await;
    let (new_address, mut new_polls) =
        ScriptedDiscovery::start(vec![Response::Version(3), Response::Nothing]).await;
    let (address_sender, addresses) = tokio::sync::watch::channel(old_address);
    let (event_sender, mut events) = mpsc::channel(8);
    // So many senders that the policy's delays are at their longest.
    tokio::task::spawn_local(watch(addresses, event_sender, subscribe_policy(3_000), None));
    assert_eq!(versions_polled(&mut old_polls, 1).await, [None]);
    address_sender.send(new_address).unwrap();
    assert_eq!(versions_polled(&mut new_polls, 2).await, [None, Some(3)]);
    assert!(matches!(
        events.recv().await,
        Some(SenderEvent::EndpointListReceived(EndpointList { version: 3, .. }))
    ));
}

/// Guards against a new address that is polled only after the backoff of a poll that failed at the old
/// address, or only after the timeout of a poll that got no response there.
#[tokio::test]
async fn a_new_address_is_polled_at_once_whatever_became_of_the_old_one() {
    let test = async {
        tokio::join!(
            check_address_change(Response::Rejection),
            check_address_change(Response::Nothing),
            check_address_change(Response::Partial),
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Answers polls that start a watch or request a snapshot at once, with version 9; never answers polls that
/// continue a watch. Reports all request lines.
async fn serve_version_nine(listener: TcpListener, request_lines: mpsc::UnboundedSender<String>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request_lines = request_lines.clone();
        tokio::task::spawn_local(async move {
            loop {
                let mut request = [0; 4096];
                let length = stream.read(&mut request).await.unwrap_or(0);
                let Some(line) =
                    String::from_utf8_lossy(&request[..length]).lines().next().map(str::to_owned)
                else {
                    return;
                };
                let is_snapshot = !line.contains("after=");
                let is_held = !is_snapshot && !line.contains("wait_ms=50 ");
                let _ = request_lines.send(line);
                if is_held {
                    return std::future::pending().await;
                }
                let body = format!(r#"{{"index":9,"snapshot":{is_snapshot},"endpoints":[]}}"#);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = stream.write_all((head + &body).as_bytes()).await;
            }
        });
    }
}

/// Guards against a fleet that moves to another address and requests snapshots there all at once: they cost
/// discovery so much that no sender learns of drains in time.
#[tokio::test]
async fn a_fleet_that_moves_to_a_new_address_asks_for_few_snapshots_at_once() {
    const WATCHES: usize = 60;
    const SENDERS: u32 = 300;
    let test = async {
        let mut discovery_addresses = Vec::new();
        let mut lines = Vec::new();
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            discovery_addresses.push(listener.local_addr().unwrap());
            let (line_sender, request_lines) = mpsc::unbounded_channel();
            tokio::task::spawn_local(serve_version_nine(listener, line_sender));
            lines.push(request_lines);
        }
        let (address_sender, addresses) = tokio::sync::watch::channel(discovery_addresses[0]);
        let (event_sender, mut events) = mpsc::channel(4 * WATCHES);
        for _ in 0..WATCHES {
            let policy = subscribe_policy(SENDERS);
            tokio::task::spawn_local(watch(addresses.clone(), event_sender.clone(), policy, None));
        }
        for _ in 0..WATCHES {
            events.recv().await.unwrap();
        }
        address_sender.send(discovery_addresses[1]).unwrap();
        let mut first_lines = Vec::new();
        while first_lines.len() < WATCHES {
            first_lines.push(lines[1].recv().await.unwrap());
        }
        let snapshots = first_lines.iter().filter(|line| !line.contains("after=9")).count();
        // The snapshot requests are spread over a minute; without the spread, all of them came at once.
        assert!(snapshots <= WATCHES / 10, "{snapshots} of {WATCHES}");
    };
    LocalSet::new().run_until(test).await;
}
