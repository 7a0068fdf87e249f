//! Waits for the event loop's decision on a submission, unless its client leaves first.

use std::future::pending;

use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};

use super::error::RequestError;
use crate::instrumented_stream::should_retry_io;
use crate::serving_state::ServingState;
use crate::submission::SubmissionReply;

/// Waits for the decision on a submission, and withdraws it if the client ends its sending side first, as it may
/// have left. One that still waits gets [`SubmissionReply::Undetermined`]: a kill may come before the withdrawal is
/// recorded. `state` must have been marked as unchanged before the submission was passed to the event loop.
pub async fn wait_for_decision(
    mut decision: oneshot::Receiver<SubmissionReply>,
    stream: &TcpStream,
    state: &mut watch::Receiver<ServingState>,
) -> Result<SubmissionReply, RequestError> {
    tokio::select! {
        biased;
        decided = &mut decision => return decided.map_err(|_| RequestError::Unavailable),
        () = wait_until_client_finished(stream) => {}
    }
    if may_be_relayed(state) {
        // A successor may have the submission, which cannot be withdrawn from there.
        return decision.await.map_err(|_| RequestError::Unavailable);
    }
    // From now on, the event loop finds the channel closed and withdraws the message, unless it has decided.
    decision.close();
    Ok(decision.try_recv().unwrap_or(SubmissionReply::Undetermined))
}

/// Completes when the client has ended its sending side, or the connection is broken.
async fn wait_until_client_finished(stream: &TcpStream) {
    loop {
        match stream.peek(&mut [0]).await {
            // Bytes after the request hide the end of the stream.
            Ok(bytes) if bytes > 0 => pending().await,
            Err(error) if should_retry_io(&error) => {}
            Ok(_) | Err(_) => return,
        }
    }
}

/// Whether a successor process may have got the submission.
fn may_be_relayed(state: &mut watch::Receiver<ServingState>) -> bool {
    state.has_changed().unwrap_or(true) || *state.borrow() == ServingState::HandedOver
}
