//! Tests that no process of the soak outlives it.

use std::os::unix::process::ExitStatusExt;
use std::process::Command;

use fault_soak::process_group::ProcessGroup;

/// Number of SIGKILL.
const SIGKILL: i32 = 9;

/// Guards against senders that a soak leaves behind when it is cut off: their calls reach the endpoints of a later run.
#[test]
fn processes_of_a_group_end_with_it() {
    let group = ProcessGroup::start().unwrap();
    let mut process = group.add(Command::new("sleep").arg("60")).spawn().unwrap();
    assert_eq!(process.try_wait().unwrap(), None);
    drop(group);
    assert_eq!(process.wait().unwrap().signal(), Some(SIGKILL));
}
