//! Many of a kind: idle clients, servers, senders.

mod common;

use std::net::TcpStream;

use common::{line, Discovery, Endpoint, Sender, Terms, LONG, OK, TAKEN_ON};

/// Guards against idle clients that come all at once and take the descriptors by which discovery would be found again.
#[test]
fn idle_clients_leave_descriptors_for_discovery() {
    let (folder, endpoint) = (tempfile::tempdir().unwrap(), Endpoint::start(vec![OK]));
    let state = folder.path().join("state");
    std::fs::create_dir(&state).unwrap();
    // It is down at first, and the sender knows no list.
    let discovery = Discovery::silent();
    let terms = Terms { sockets: 128, ..Terms::default() };
    let sender = Sender::start(&state, &discovery, Vec::new(), &terms);
    discovery.asked.recv_timeout(LONG).expect("a call for the list");
    // All of them wait to be accepted when the sender runs on.
    sender.stop();
    let idle: Vec<TcpStream> = (0..120).map(|_| sender.connect()).collect();
    sender.signal("-CONT");
    discovery.asked.recv_timeout(LONG).expect("it asks again");
    assert!(sender.descriptors() < terms.sockets, "{} descriptors", sender.descriptors());
    discovery.speak();
    discovery.tell(vec![line("s-1", endpoint.address, 7, "up")]);
    discovery.await_watch(1);
    assert_eq!(sender.hand_in("m1", 20_000, "x"), TAKEN_ON);
    assert_eq!(endpoint.next().headers["x-call-id"], "m1");
    drop(idle);
    let refused = sender.log.try_iter().filter(|line| line.contains("was not accepted")).count();
    assert_eq!(refused, 0, "descriptors were always left");
}

/// Guards against a cap on lists of servers or on the number of senders, also with long names and indented lists.
#[test]
fn a_list_of_a_thousand_servers_is_served_by_one_of_a_thousand_senders() {
    let (folder, endpoint) = (tempfile::tempdir().unwrap(), Endpoint::start(vec![OK]));
    let state = folder.path().join("state");
    std::fs::create_dir(&state).unwrap();
    let name = |number| format!("s-{number}-{}", "x".repeat(200));
    // Destinations 0 to 1,023, of which 7 is called here.
    let lines = (0..1_024).map(|number| line(&name(number), endpoint.address, number, "up")).collect();
    let discovery = Discovery::start(lines);
    let terms = Terms { senders: 1_024, ..Terms::default() };
    let sender = Sender::start(&state, &discovery, Vec::new(), &terms);
    discovery.await_watch(1);
    sender.await_figure("known_endpoints", 1_024);
    for number in 0..3 {
        let id = format!("m{number}");
        assert_eq!(sender.hand_in(&id, 20_000, "x"), TAKEN_ON);
        assert_eq!(endpoint.next().headers["x-call-id"], id);
    }
    assert_eq!(sender.operate("POST", "/maintenance/enter", &name(1_023)).0, 200);
    sender.await_figure("skipped_endpoints", 1);
}
