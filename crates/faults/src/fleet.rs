//! A day's stand-ins on any transport and clock, and what befalls them.

use crate::plan::{Day, Fault, Trouble};
use cindercleat_net::simulated_network::{NetworkConditions, SimulatedNetwork};
use cindercleat_net::{Clock, Listener, Ms, Transport};
use cindercleat_protocol::v1::EndpointStatus;
use cindercleat_standin::client::Clients;
use cindercleat_standin::discovery::Discovery;
use cindercleat_standin::engine::{Engine, Troubles};
use cindercleat_standin::transcript::Transcript;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::rc::Rc;
use tokio::task::spawn_local;

/// A text that no session began with before.
const HOT_TEXT: u64 = 1 << 40;
/// The zone where clients and the list feed are.
pub const CLIENTS: &str = "clients";

/// A dispatcher's name, by its number.
pub fn name(at: u32) -> String {
    format!("dispatcher-{at}")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// At once, with all that it holds.
    Kill,
    /// In order.
    Stop,
}

/// The dispatchers of a day, by number.
pub trait Processes {
    /// Ends one; it starts again, at its address, by `again`.
    fn end(&self, at: u32, how: End) -> impl Future<Output = ()>;

    /// # Errors
    /// Its address cannot be had again.
    fn again(&self, at: u32) -> impl Future<Output = io::Result<()>>;

    /// Its clock goes on by so much at once.
    fn step_clock(&self, at: u32, by: Ms);
}

/// Stand-ins of a fleet.
pub struct Fleet<T, C> {
    pub engines: BTreeMap<String, Engine<T, C>>,
    pub feed: Discovery<C>,
    pub feed_address: String,
    pub clock: C,
    pub transcript: Transcript,
}

impl<T: Transport, C: Clock> Fleet<T, C> {
    /// `place`: for a name and its zone, where it is and the address to listen at.
    ///
    /// # Errors
    /// An address cannot be had.
    pub async fn start(
        day: &Day,
        place: impl Fn(&str, &str) -> (T, String),
        clock: C,
        transcript: Transcript,
    ) -> io::Result<Self> {
        let feed = Discovery::new("list", clock.clone(), transcript.clone(), day.list_delay);
        let (transport, address) = place("list", CLIENTS);
        let listener = transport.listen(&address).await?;
        let feed_address = listener.address();
        spawn_local(feed.clone().serve::<T>(listener));
        let mut engines = BTreeMap::new();
        for (at, spec) in day.engines.iter().enumerate() {
            let seed = day.seed.wrapping_mul(31).wrapping_add(at as u64);
            let (transport, address) = place(&spec.name, &spec.zone);
            let engine = Engine::new(
                spec.clone(),
                transport,
                clock.clone(),
                transcript.clone(),
                seed,
            );
            engine.start(&address, true).await?;
            feed.tell(engine.line(EndpointStatus::Ready));
            engines.insert(spec.name.clone(), engine);
        }
        Ok(Fleet {
            engines,
            feed,
            feed_address,
            clock,
            transcript,
        })
    }
}

/// Plays one fault, from its instant to its end. `network`: the network in memory, if that is what is played on; what
/// needs it does nothing without.
///
/// # Errors
/// An address cannot be had again.
pub async fn befall<T: Transport, C: Clock, D: Processes>(
    fault: Fault,
    begin: Ms,
    fleet: Rc<Fleet<T, C>>,
    clients: Rc<Clients<T, C>>,
    dispatchers: Rc<D>,
    network: Option<SimulatedNetwork>,
) -> io::Result<()> {
    let clock = fleet.clock.clone();
    clock.sleep_until(begin + fault.at).await;
    let over = begin + fault.at + fault.length;
    let engines: Vec<Engine<T, C>> = fault
        .whom
        .iter()
        .filter_map(|name| fleet.engines.get(name))
        .cloned()
        .collect();
    let all = |change: &dyn Fn(&mut Troubles)| engines.iter().for_each(|h| h.trouble(change));
    match &fault.trouble {
        Trouble::Die | Trouble::Drain | Trouble::DieBeforeEnd | Trouble::Vanish => {
            if let (Trouble::Vanish, Some(network)) = (&fault.trouble, &network) {
                engines
                    .iter()
                    .for_each(|h| network.drop_bytes(h.name(), true, true));
            }
            if fault.trouble == Trouble::Drain {
                all(&|t| t.draining = true);
                engines.iter().for_each(Engine::go_away);
                engines
                    .iter()
                    .for_each(|h| fleet.feed.change(h.line(EndpointStatus::Draining)));
            } else if fault.trouble == Trouble::DieBeforeEnd {
                all(&|t| t.dies_before_end = true);
                while clock.now() < over && engines.iter().any(Engine::runs) {
                    clock.sleep_until(clock.now() + 5.0).await;
                }
                engines
                    .iter()
                    .for_each(|h| fleet.feed.change(h.line(EndpointStatus::Gone)));
            } else {
                engines.iter().for_each(|h| {
                    h.die();
                    fleet.feed.change(h.line(EndpointStatus::Gone));
                });
            }
            clock.sleep_until(over).await;
            for engine in &engines {
                if engine.runs() {
                    engine.die();
                }
                // The old listener's socket closes in the turn after its request is dropped.
                tokio::task::yield_now().await;
                engine.start(&engine.address(), false).await?;
                fleet.feed.change(engine.line(EndpointStatus::Ready));
            }
        }
        Trouble::Slow(by) => {
            all(&|t| t.slow = *by);
            clock.sleep_until(over).await;
            all(&|t| t.slow = 1.0);
        }
        Trouble::Mute => {
            all(&|t| t.mute = true);
            clock.sleep_until(over).await;
            all(&|t| t.mute = false);
        }
        Trouble::Stall(after) => {
            all(&|t| t.stall_after = Some(*after));
            clock.sleep_until(over).await;
            all(&|t| t.stall_after = None);
        }
        Trouble::Cut => engines.iter().for_each(Engine::cut),
        Trouble::Full(request_class) => {
            all(&|t| t.full_for = Some(request_class.clone()));
            clock.sleep_until(over).await;
            all(&|t| t.full_for = None);
        }
        Trouble::Fails(part) => {
            all(&|t| t.fails = *part);
            clock.sleep_until(over).await;
            all(&|t| t.fails = 0.0);
        }
        Trouble::Resets(part) => {
            all(&|t| t.resets = *part);
            clock.sleep_until(over).await;
            all(&|t| t.resets = 0.0);
        }
        Trouble::GoAway => engines.iter().for_each(Engine::go_away),
        Trouble::ReportsLate(by) => {
            all(&|t| t.reports_late = *by);
            clock.sleep_until(over).await;
            all(&|t| t.reports_late = 0.0);
        }
        Trouble::GreetLate(by) => {
            all(&|t| t.greets_late = *by);
            clock.sleep_until(over).await;
            all(&|t| t.greets_late = 0.0);
        }
        Trouble::Forget => engines.iter().for_each(Engine::forget_texts),
        Trouble::ListLate(by) => {
            fleet.feed.set_delay(*by);
            clock.sleep_until(over).await;
            fleet.feed.set_delay(0.0);
        }
        Trouble::ListSilent => {
            fleet.feed.set_silent(true);
            clock.sleep_until(over).await;
            fleet.feed.set_silent(false);
        }
        Trouble::Kill | Trouble::Stop => {
            let how = if fault.trouble == Trouble::Kill {
                End::Kill
            } else {
                End::Stop
            };
            let numbers: Vec<u32> = fault.whom.iter().filter_map(|n| n.parse().ok()).collect();
            for &at in &numbers {
                dispatchers.end(at, how).await;
            }
            clock.sleep_until(over).await;
            for &at in &numbers {
                dispatchers.again(at).await?;
            }
        }
        Trouble::Burst(by) => {
            clients.set_rate(*by);
            clock.sleep_until(over).await;
            clients.set_rate(1.0);
        }
        Trouble::HotText => {
            clients.set_hot_text(Some(HOT_TEXT + fault.at as u64));
            clock.sleep_until(over).await;
            clients.set_hot_text(None);
        }
        Trouble::LongPrompts(times, part) => {
            clients.set_long_prompts(*times, *part);
            clock.sleep_until(over).await;
            clients.set_long_prompts(1.0, 0.0);
        }
        Trouble::Partition(zone) => {
            if let Some(network) = &network {
                let mut zones: Vec<&str> =
                    fleet.engines.values().map(|h| &*h.spec().zone).collect();
                zones.push(CLIENTS);
                let set = |on| {
                    for other in zones.iter().filter(|other| *other != zone) {
                        network.set_blocked(zone, other, on);
                        network.set_blocked(other, zone, on);
                    }
                };
                set(true);
                clock.sleep_until(over).await;
                set(false);
            }
        }
        Trouble::HalfOpen { from, to } => {
            if let Some(network) = &network {
                engines
                    .iter()
                    .for_each(|h| network.drop_bytes(h.name(), *from, *to));
            }
        }
        Trouble::Hang => {
            if let Some(network) = &network {
                engines
                    .iter()
                    .for_each(|h| network.set_hanging(&h.address(), true));
                clock.sleep_until(over).await;
                engines
                    .iter()
                    .for_each(|h| network.set_hanging(&h.address(), false));
            }
        }
        Trouble::Lag(by) => {
            if let Some(network) = &network {
                network.set_conditions(NetworkConditions {
                    delay: *by,
                    jitter: *by,
                    ..NetworkConditions::default()
                });
                clock.sleep_until(over).await;
                network.set_conditions(NetworkConditions::default());
            }
        }
        Trouble::Narrow(bandwidth) => {
            if let Some(network) = &network {
                network.set_conditions(NetworkConditions {
                    bandwidth: *bandwidth,
                    ..NetworkConditions::default()
                });
                clock.sleep_until(over).await;
                network.set_conditions(NetworkConditions::default());
            }
        }
        Trouble::ClockStep(by) => {
            fault
                .whom
                .iter()
                .filter_map(|n| n.parse().ok())
                .for_each(|at| dispatchers.step_clock(at, *by));
        }
        Trouble::Impatient => {
            clients.set_retry_after(Some(0.0));
            clock.sleep_until(over).await;
            clients.set_retry_after(None);
        }
    }
    Ok(())
}
