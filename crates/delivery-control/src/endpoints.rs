//! Availability of endpoints: updates of the endpoint list, maintenance commands of operators, and how long
//! departed endpoints are remembered.

use crate::model::{Context, Ejection, Endpoint, Health, RateLimit, RouteKey, State, SECOND};
use crate::{EndpointEntry, EndpointId, ListingState, MaintenanceCommand, Micros, UpdateKind};

/// Latency in µs that is assumed for an endpoint without a delivery yet.
pub(crate) const UNKNOWN_LATENCY: f64 = 400_000.0;
/// How long the outage of a departed endpoint is remembered, in µs. It would otherwise be remembered forever,
/// since a departed endpoint gets no calls that could end it.
const DEPARTED_OUTAGE_MEMORY: Micros = 60 * SECOND;

/// Applies an endpoint list, or changes to it.
pub(crate) fn update(context: Context, state: &mut State, kind: UpdateKind, entries: &[EndpointEntry]) {
    if kind != UpdateKind::Delta {
        state.endpoints.clear_listing(context.now);
    }
    for entry in entries {
        apply_entry(context, state, entry);
    }
    forget_departed(context, state);
}

/// Applies one entry of an endpoint list to its endpoint and the endpoint's route.
fn apply_entry(context: Context, state: &mut State, entry: &EndpointEntry) {
    let &EndpointEntry { endpoint: id, destination, zone, listing, .. } = entry;
    let kind = context.settings.kinds.get(entry.kind);
    let is_own_route = kind.is_some_and(|kind| kind.per_endpoint_limits);
    let route = RouteKey { destination, endpoint: is_own_route.then_some(id) };
    let batch_size = kind.map_or(1, |kind| kind.max_batch_size.max(1));
    let latency = UNKNOWN_LATENCY;
    let listed = Endpoint { route, zone, batch_size, listing, latency, ..Endpoint::default() };
    let previous = state.endpoints.relist(id, listed);
    // A Retry-After stays in force when the endpoint is listed again under another destination or kind.
    let retry_after_until = state.endpoints.rate_limit(previous).map_or(0, RateLimit::retry_after_until);
    let rate_limit = state.endpoints.rate_limit_mut(route);
    rate_limit.extend_retry_after(retry_after_until);
    let has_limit = context.settings.rates_are_listed && entry.rate > 0.0;
    rate_limit.set_listed_limit(has_limit.then_some(entry.rate));
    state.wake_ups.mark_dirty(previous.destination);
    update_availability(context, state, id);
}

/// Makes an endpoint available if it is listed as live and not drained by an operator, otherwise
/// unavailable.
fn update_availability(context: Context, state: &mut State, id: EndpointId) {
    let Some(endpoint) = state.endpoints.get(id) else { return };
    let available = endpoint.listing == ListingState::Live && !state.endpoints.is_manually_drained(id);
    state.wake_ups.mark_dirty(endpoint.route.destination);
    state.endpoints.set_available(id, available, context.now);
}

/// Applies a maintenance command of an operator. A drained endpoint stays unavailable whatever the endpoint
/// list says. It is restarted in the meantime, which is an outage: when restored, it gets one probe, and
/// then a slow start.
pub(crate) fn apply_maintenance(
    context: Context,
    state: &mut State,
    id: EndpointId,
    command: MaintenanceCommand,
) {
    if command == MaintenanceCommand::Drain {
        state.endpoints.drain_manually(id, context.now);
    } else if let Some(since) = state.endpoints.end_manual_drain(id) {
        if let Some(endpoint) = state.endpoints.get_mut(id) {
            endpoint.health = Health::Ejected(Ejection::confirmed(since, context.now));
            endpoint.consecutive_failures = 0;
            endpoint.delivered_at = None;
        }
    }
    update_availability(context, state, id);
}

/// Forgets departed endpoints that are no longer listed, once nothing is in flight to them and no
/// Retry-After, outage or manual drain has to be remembered.
fn forget_departed(context: Context, state: &mut State) {
    for (id, since) in state.endpoints.departed() {
        if !must_remember(context, state, id, since) {
            state.endpoints.remove(id);
        }
    }
    state.endpoints.drop_unused_destinations();
}

/// Whether the state of a departed endpoint is still needed.
fn must_remember(context: Context, state: &State, id: EndpointId, departed_at: Micros) -> bool {
    let Some(endpoint) = state.endpoints.get(id) else { return false };
    let rate_limit = state.endpoints.rate_limit(endpoint.route);
    let is_unhealthy = endpoint.health_now(context) != Health::Healthy;
    rate_limit.is_some_and(|limit| limit.retry_after_until() > context.now)
        || (is_unhealthy && context.now - departed_at < DEPARTED_OUTAGE_MEMORY)
        || endpoint.listing != ListingState::Removed
        || state.endpoints.is_manually_drained(id)
        || state.in_flight.has_attempt_to(id)
}
