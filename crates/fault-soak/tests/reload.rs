//! Tests a reload of a configuration file that is only half written.

mod support;

use std::time::Duration;

use support::Fixture;

/// Time within which the sender must use the new configuration, from when the file is complete.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Guards against a reload that is lost because the file was only half written when the signal came.
#[tokio::test(flavor = "multi_thread")]
async fn file_that_is_half_written_at_the_signal_is_read_again() {
    let fixture = Fixture::start().await;
    let address = fixture.discovery.listen(7).await.unwrap();
    fixture.sender.reload_torn(address).await;
    // Status updates from the new listener are recorded under the sender index 7.
    let is_update_sent =
        |fixture: &Fixture| fixture.history.records().status_updates.iter().any(|update| update.sender == 7);
    assert!(
        fixture.wait_until(RELOAD_TIMEOUT, is_update_sent).await,
        "the sender has not asked the new address"
    );
}
