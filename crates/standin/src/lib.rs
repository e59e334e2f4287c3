//! Stand-ins for engines, discovery and clients, which inject scripted faults, and the [`audit`] that checks the five
//! rules against the stand-ins' transcript. Nothing here reads a dispatcher's internal state.
//!
//! A "day" is one test run of such a system: dispatchers, stand-ins, traffic and faults, written in a file or drawn
//! from a seed.

pub mod audit;
pub mod client;
pub mod discovery;
pub mod engine;
pub mod transcript;

use cindercleat_grpc::{connect, serve, Session, Setup};
use cindercleat_net::Transport;
use cindercleat_protocol::v1;
use nanorand::{Rng, WyRand};

/// The largest message that a stand-in accepts.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The number of calls that a stand-in allows to be open at the same time on one connection.
const MAX_OPEN_CALLS: u32 = 4096;

/// The settings of a connection's handshake: the party and the name of this side, and the name that is expected of the
/// other side. An empty expected name accepts any.
fn session_setup(party: v1::Party, name: &str, expects: &str) -> Setup {
    let (name, expects) = (name.to_owned(), expects.to_owned());
    Setup {
        party,
        name,
        expects,
        run: 0,
        max_message_bytes: MAX_MESSAGE_BYTES,
        max_concurrent_calls: MAX_OPEN_CALLS,
    }
}

/// Completes the handshake on an accepted connection; returns `None` if it fails.
async fn accept_session<T: Transport>(
    stream: T::Stream,
    party: v1::Party,
    name: &str,
) -> Option<Session> {
    serve(stream, session_setup(party, name, "")).await.ok()
}

/// Opens a connection and completes the handshake on it; returns `None` if either fails.
async fn open_session<T: Transport>(
    transport: &T,
    (address, to): (&str, v1::Party),
    (party, name, expects): (v1::Party, &str, &str),
) -> Option<Session> {
    let stream = transport.connect(address).await.ok()?;
    connect(stream, to, session_setup(party, name, expects))
        .await
        .ok()
}

/// Draws a uniform number in `0.0..1.0`.
pub fn uniform(rng: &mut WyRand) -> f64 {
    rng.generate::<f64>()
}

/// Draws an exponentially distributed number with this mean, such as the gap between open-loop arrivals.
pub fn exponential(rng: &mut WyRand, mean: f64) -> f64 {
    -mean * (1.0 - uniform(rng)).max(1e-12).ln()
}
