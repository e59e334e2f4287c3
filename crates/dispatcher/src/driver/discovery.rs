//! Calls to service discovery, one address after another. [`DiscoveryCalls`] decides what to ask for and how long to
//! wait.

use super::Driver;
use crate::state::Input;
use cindercleat::discovery_client::{DiscoveryCalls, FirstCall};
use cindercleat::interface::Ms;
use cindercleat_net::{Clock, Transport};
use cindercleat_protocol::session::{Event, Outbox, Session, Wire};
use cindercleat_protocol::{frame, v1, Body, Frame};
use tokio::task::yield_now;

/// How a connection to discovery ended.
enum CallEnd {
    /// It was lost, for this reason.
    Lost(String),
    /// What came is no list that can be used, for this reason.
    UnusableList(String),
}

/// How often other tasks run before silence counts: events that came meanwhile need as many turns to get here.
const YIELDS_BEFORE_SILENCE: usize = 3;

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    /// Follows discovery's list for as long as the dispatcher serves.
    pub(super) async fn run_discovery(self) {
        let settings = self.shared.settings.limits.discovery;
        let mut calls = DiscoveryCalls::new(settings, self.shared.seed);
        let mut attempt = 0;
        let mut last_reason: Option<String> = None;
        loop {
            let addresses = self.shared.locations.borrow().discovery.clone();
            // Without an address this dispatcher never calls discovery.
            if addresses.is_empty() {
                return;
            }
            let address = &addresses[attempt % addresses.len()];
            let end = tokio::select! { biased;
                () = self.shared.discovery_moved.notified() => {
                    calls.address_changed();
                    continue;
                }
                end = self.call_discovery(address, &mut calls) => end,
            };
            let (reason, backoff) = match end {
                CallEnd::Lost(reason) => (reason, calls.backoff_after_loss()),
                CallEnd::UnusableList(reason) => (reason, calls.backoff_after_unusable_list()),
            };
            // Logged once, not after each call, while the reason stays the same.
            if last_reason.as_ref() != Some(&reason) {
                tracing::warn!(address, reason, "discovery lost");
                last_reason = Some(reason);
            }
            self.input(Input::EndpointsRejected);
            attempt += 1;
            let next_call_at = self.shared.clock.now() + backoff;
            tokio::select! { biased;
                () = self.shared.discovery_moved.notified() => calls.address_changed(),
                () = self.shared.clock.sleep_until(next_call_at) => {}
            }
        }
    }

    /// Runs one connection to discovery, from its dialling to its end.
    async fn call_discovery(&self, address: &str, calls: &mut DiscoveryCalls) -> CallEnd {
        let known = self.shared.dispatcher.borrow().known_version();
        let known_version = match calls.begin_call(known) {
            FirstCall::Snapshot => None,
            FirstCall::ChangesSince(version) => Some(version),
        };
        let session = match self.connect_to_discovery(address).await {
            Ok(session) => session,
            Err(reason) => return CallEnd::Lost(reason),
        };
        self.watch_endpoints(session, known_version, calls).await
    }

    async fn connect_to_discovery(&self, address: &str) -> Result<Session<W::Out>, String> {
        let timeout = self.shared.settings.limits.discovery.connect_timeout;
        let until = self.shared.clock.now() + timeout;
        let setup = self.session_setup("", 1);
        tokio::select! { biased;
            session = self.call(address, v1::Party::Feed, setup) => session,
            () = self.shared.clock.sleep_until(until) => Err("no greeting in time".to_owned()),
        }
    }

    /// Watches the list on an established connection until that ends, is silent for too long or is of no use.
    async fn watch_endpoints(
        &self,
        session: Session<W::Out>,
        known_version: Option<u64>,
        calls: &mut DiscoveryCalls,
    ) -> CallEnd {
        let Session {
            mut events, out, ..
        } = session;
        let mut stream = 1;
        out.send(watch_request(stream, known_version));
        let mut last_received_at = self.shared.clock.now();
        loop {
            let timeout = calls.silence_timeout();
            let event = tokio::select! { biased;
                () = self.shared.list_wanted.notified() => {
                    stream += 1;
                    out.send(watch_request(stream, None));
                    continue;
                }
                event = events.recv() => event,
                // Guards against discovery that is gone without closing the connection: its list would never change.
                () = self.silence(last_received_at + timeout), if timeout.is_finite() => {
                    out.close();
                    return CallEnd::Lost("it says nothing".to_owned());
                }
            };
            match event {
                Some(Event::Frame(Frame {
                    body: Some(Body::Endpoints(list)),
                    ..
                })) => {
                    last_received_at = self.shared.clock.now();
                    if let Err(end) = self.take_list(list, last_received_at, calls) {
                        out.close();
                        return end;
                    }
                }
                Some(Event::Frame(Frame {
                    body: Some(Body::Goodbye(goodbye)),
                    ..
                })) => {
                    out.close();
                    return goodbye_end(goodbye);
                }
                // The first part of a long list has come.
                Some(Event::Partly) => calls.answer_begun(),
                Some(_) => {}
                None => return CallEnd::Lost("the connection ended".to_owned()),
            }
        }
    }

    /// Waits until `until`. Guards against a process that did not run for a while: what came meanwhile is read before
    /// the silence counts.
    async fn silence(&self, until: Ms) {
        self.shared.clock.sleep_until(until).await;
        for _ in 0..YIELDS_BEFORE_SILENCE {
            yield_now().await;
        }
    }

    /// Passes a list on unless it is outdated.
    fn take_list(
        &self,
        list: v1::EndpointList,
        now: Ms,
        calls: &mut DiscoveryCalls,
    ) -> Result<(), CallEnd> {
        let newest = self.shared.dispatcher.borrow().list_version();
        let is_snapshot = list.kind() == v1::EndpointUpdateKind::Snapshot;
        if !calls.accept_version(is_snapshot, list.version, newest, now) {
            let reason = "its list is older than the one that is known".to_owned();
            return Err(CallEnd::Lost(reason));
        }
        calls.list_received();
        log_list(&list);
        self.input(Input::EndpointsUpdated(list));
        Ok(())
    }
}

/// Asks for changes from `known_version` on, or for the whole list and its changes.
fn watch_request(stream: u64, known_version: Option<u64>) -> Frame {
    let watch = v1::WatchEndpoints {
        changes: true,
        known_version,
    };
    frame(stream, Body::WatchEndpoints(watch))
}

/// Where nothing of the call ran, discovery was not reached; else its answer was of no use.
fn goodbye_end(goodbye: v1::Goodbye) -> CallEnd {
    if goodbye.never_ran {
        CallEnd::Lost(goodbye.reason)
    } else {
        CallEnd::UnusableList(goodbye.reason)
    }
}

fn log_list(list: &v1::EndpointList) {
    let summary = |endpoint: &v1::Endpoint| {
        let status = endpoint.status().as_str_name();
        (endpoint.engine.clone(), status, endpoint.started_ms)
    };
    // A closure, so that the list is put together only where the line is logged.
    let engines = || list.endpoints.iter().map(summary).collect::<Vec<_>>();
    tracing::debug!(version = list.version, engines = ?engines(), "list");
}
