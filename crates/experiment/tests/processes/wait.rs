//! Waiting for a state.

use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time after which a test hangs; no promise of the product.
const CAP: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);

/// Waits until the condition holds.
pub(crate) async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !holds().await {
            sleep(POLL).await;
        }
    };
    let in_time = timeout(CAP, waiting).await.is_ok();
    assert!(in_time, "{what}: not within {} s", CAP.as_secs());
}
