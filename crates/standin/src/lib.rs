//! Stand-ins written for this project: model hosts, the list feed and clients, with faults by script, and the
//! [`audit`] that holds the five rules against what they saw. None of it knows a dispatcher's state.

pub mod audit;
pub mod client;
pub mod feed;
pub mod host;
pub mod transcript;

use cindercleat_net::{FrameReader, Transport};
use cindercleat_protocol::{greeting, hello, v1};
use nanorand::{Rng, WyRand};
use tokio::io::{ReadHalf, WriteHalf};

/// The largest frame that stand-ins take.
pub const MOST_FRAME: usize = 1 << 20;

type Reader<T> = FrameReader<ReadHalf<<T as Transport>::Stream>>;
type Writer<T> = WriteHalf<<T as Transport>::Stream>;

/// The callee's side of a greeting: theirs, once ours is sent.
async fn welcome<T: Transport>(
    stream: T::Stream,
    party: v1::Party,
    name: &str,
) -> Option<(v1::Hello, Reader<T>, Writer<T>)> {
    let (from, mut to) = tokio::io::split(stream);
    let mut from = FrameReader::new(from, MOST_FRAME);
    let them = greeting(from.next().await.ok()?).ok()?;
    if !them.expects.is_empty() && them.expects != name {
        return None;
    }
    cindercleat_net::write_frame(&mut to, &hello(party, name, "", 0)).await.ok()?;
    Some((them, from, to))
}

/// The caller's side.
async fn call<T: Transport>(
    transport: &T,
    address: &str,
    (party, name, expects): (v1::Party, &str, &str),
) -> Option<(v1::Hello, Reader<T>, Writer<T>)> {
    let stream = transport.connect(address).await.ok()?;
    let (from, mut to) = tokio::io::split(stream);
    let mut from = FrameReader::new(from, MOST_FRAME);
    cindercleat_net::write_frame(&mut to, &hello(party, name, expects, 0)).await.ok()?;
    let them = greeting(from.next().await.ok()?).ok()?;
    Some((them, from, to))
}

/// A share between 0 and 1.
pub fn share(rng: &mut WyRand) -> f64 {
    rng.generate::<f64>()
}

/// A wait of an open-loop arrival.
pub fn exponential(rng: &mut WyRand, mean: f64) -> f64 {
    -mean * (1.0 - share(rng)).max(1e-12).ln()
}
