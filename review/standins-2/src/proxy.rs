//! A proxy that passes bytes on with a delay, as a network does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a proxy to `target` that delays each direction by `delay`; returns its address.
pub fn start(target: SocketAddr, delay: Duration) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            pass(near, far_too, delay);
            pass(far, near_too, delay);
        }
    });
    Ok(address)
}

/// Passes what is read from one side on to the other, each piece as late as it came.
fn pass(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, pieces) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let length = from.read(&mut buffer).unwrap_or(0);
            if sender.send((Instant::now() + delay, buffer[..length].to_vec())).is_err() || length == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, piece) in pieces {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
