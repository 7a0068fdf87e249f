//! Tests of the memory that is read from the status file of a process.

use fault_soak::memory::peak_memory_kib;

/// Guards against a sender that seems to exceed its memory because its process was looked at before it had started the
/// program, when it still shared the memory of the soak.
#[test]
fn memory_of_a_process_that_has_not_started_its_program_is_not_that_of_the_sender() {
    let status =
        |name: &str| format!("Name:\t{name}\nUmask:\t0022\nVmHWM:\t  275660 kB\nVmRSS:\t   6000 kB\n");
    assert_eq!(peak_memory_kib(&status("fault-soak"), "message-sender"), None);
    assert_eq!(peak_memory_kib(&status("message-sender"), "message-sender"), Some(275_660));
}
