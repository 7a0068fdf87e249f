//! The configuration is replaced while the sender reads it.

mod support;

use std::time::Duration;

use support::Scene;

/// A change counts as known so long after the signal.
const KNOWN_AFTER: Duration = Duration::from_secs(4);

/// Guards against a reload that is lost since the file was half written when the signal came.
#[tokio::test(flavor = "multi_thread")]
async fn file_that_is_half_written_at_the_signal_is_read_again() {
    let scene = Scene::start(0).await;
    let address = scene.discovery.listen(7).await.unwrap();
    scene.sender.reload_torn(address).await;
    // The listener tells under another number whom it has told.
    let is_told = |scene: &Scene| scene.history.records().told.iter().any(|told| told.sender == 7);
    assert!(scene.until(KNOWN_AFTER, is_told).await, "the new address is asked");
}
