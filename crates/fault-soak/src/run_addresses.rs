//! The loopback addresses of a run, which no other run on this machine uses at the same time.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Port for clients.
const CLIENT_PORT: u16 = 3_000;
/// Last byte of the address that a run listens on to claim its network. The senders have lower ones.
const CLAIM_HOST: u8 = 254;

/// The network of a run, `127.10.n.0/24`, which is claimed until this value is dropped.
#[derive(Debug)]
pub struct RunAddresses {
    number: u8,
    _claim: TcpListener,
}

impl RunAddresses {
    /// Claims a network that no other run uses.
    ///
    /// # Errors
    ///
    /// All networks are in use, or the claim fails for another reason.
    pub fn claim() -> io::Result<Self> {
        for number in 0..=u8::MAX {
            match TcpListener::bind((Ipv4Addr::new(127, 10, number, CLAIM_HOST), CLIENT_PORT)) {
                Ok(claim) => return Ok(Self { number, _claim: claim }),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns the address for clients of the sender with this index.
    #[must_use]
    pub fn sender(&self, index: usize) -> SocketAddr {
        SocketAddr::from(([127, 10, self.number, index as u8 + 1], CLIENT_PORT))
    }
}
