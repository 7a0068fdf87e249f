//! Outgoing calls: sends attempts to endpoints, interprets the responses and reuses connections.

mod attempt;
mod client;
mod excess_data;
mod failure_log;
mod idle_lifetime;
mod pool;
mod progress;
mod request;
mod response;
mod response_times;
mod saturation;
mod send_restrictions;

pub use self::attempt::{AttemptPhase, AttemptResult, Call, Route};
pub use self::client::DeliveryClient;
