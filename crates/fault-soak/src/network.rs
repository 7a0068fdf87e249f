//! Delays of the network between the senders and their clients, endpoints and discovery.
//!
//! The stand-ins wait instead of the network, and record what happens at the sender's end of it: a call when the sender
//! has written it, and a response when it arrives at the sender.

use std::fmt;
use std::time::Duration;

/// Delays in each direction that are drawn, without jitter.
const DELAYS: [Duration; 4] =
    [Duration::ZERO, Duration::from_micros(500), Duration::from_millis(2), Duration::from_millis(10)];
/// Longest jitter, as a share of the delay.
const MAX_JITTER: f64 = 0.5;
/// Distinguishes the random numbers of the network from those of the faults of a seed.
const SEED_OFFSET: u64 = 0x6e65_7477_6f72_6b00;

/// The delay of the network to one kind of peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NetworkDelay {
    /// Delay in each direction, without jitter.
    one_way: Duration,
}

impl NetworkDelay {
    fn draw(random: &mut fastrand::Rng) -> Self {
        Self { one_way: DELAYS[random.usize(0..DELAYS.len())] }
    }

    /// Draws the time that the network takes in one direction.
    #[must_use]
    pub fn draw_one_way(self) -> Duration {
        self.one_way.mul_f64(1.0 + MAX_JITTER * fastrand::f64())
    }

    /// Draws the time that the network takes in both directions.
    #[must_use]
    pub fn draw_round_trip(self) -> Duration {
        self.draw_one_way() + self.draw_one_way()
    }
}

/// The network of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Network {
    /// Delay between the senders and the endpoints.
    pub endpoints: NetworkDelay,
    /// Delay between the senders and discovery.
    pub discovery: NetworkDelay,
    /// Delay between the clients and the senders.
    pub clients: NetworkDelay,
}

impl Network {
    /// Draws the network of a seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ SEED_OFFSET);
        let mut delay = || NetworkDelay::draw(&mut random);
        Self { endpoints: delay(), discovery: delay(), clients: delay() }
    }
}

impl fmt::Display for Network {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { endpoints, discovery, clients } = self;
        write!(
            formatter,
            "network delays in each direction: endpoints {:?}, discovery {:?}, clients {:?}",
            endpoints.one_way, discovery.one_way, clients.one_way
        )
    }
}
