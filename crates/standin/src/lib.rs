//! Stand-ins written for this project: engines, discovery and clients, with faults by script, and the
//! [`audit`] that holds the five rules against what they saw. None of it knows a dispatcher's state.

pub mod audit;
pub mod client;
pub mod discovery;
pub mod engine;
pub mod transcript;

use cindercleat_grpc::{connect, serve, Session, Setup};
use cindercleat_net::Transport;
use cindercleat_protocol::v1;
use nanorand::{Rng, WyRand};

/// The largest message that stand-ins take, and the calls that they let be open.
const MOST_MESSAGE: usize = 1 << 20;
const MOST_CALLS: u32 = 4096;

fn setup(party: v1::Party, name: &str, expects: &str) -> Setup {
    let (name, expects) = (name.to_owned(), expects.to_owned());
    Setup {
        party,
        name,
        expects,
        run: 0,
        most_message: MOST_MESSAGE,
        most_calls: MOST_CALLS,
    }
}

/// The callee's side of a connection, once its caller has greeted.
async fn welcome<T: Transport>(stream: T::Stream, party: v1::Party, name: &str) -> Option<Session> {
    serve(stream, setup(party, name, "")).await.ok()
}

/// The caller's side.
async fn call<T: Transport>(
    transport: &T,
    (address, to): (&str, v1::Party),
    (party, name, expects): (v1::Party, &str, &str),
) -> Option<Session> {
    let stream = transport.connect(address).await.ok()?;
    connect(stream, to, setup(party, name, expects)).await.ok()
}

/// A share between 0 and 1.
pub fn share(rng: &mut WyRand) -> f64 {
    rng.generate::<f64>()
}

/// A wait of an open-loop arrival.
pub fn exponential(rng: &mut WyRand, mean: f64) -> f64 {
    -mean * (1.0 - share(rng)).max(1e-12).ln()
}
