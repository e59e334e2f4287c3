//! Connects to service discovery and follows its endpoint list, trying the configured addresses in turn.
//! [`DiscoveryCalls`] decides what to request and how long to wait.

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
    /// The connection was lost or could not be established. The text is the reason for the log.
    Lost(String),
    /// Discovery has answered, but not with a list that can be used. The text is the reason for the log.
    UnusableList(String),
}

/// The number of times that the task yields before it reports a silence timeout. An event that has already arrived
/// takes up to this many turns of the scheduler to reach the task.
const YIELDS_BEFORE_TIMEOUT: usize = 3;

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    /// Follows the endpoint list of discovery until the dispatcher stops.
    pub(super) async fn run_discovery(self) {
        let settings = self.shared.settings.limits.discovery;
        let mut calls = DiscoveryCalls::new(settings, self.shared.seed);
        let mut call_count = 0;
        let mut last_reason: Option<String> = None;
        loop {
            let addresses = self.shared.locations.borrow().discovery.clone();
            // Without configured addresses, the dispatcher never calls discovery.
            if addresses.is_empty() {
                return;
            }
            let address = &addresses[call_count % addresses.len()];
            let end = tokio::select! { biased;
                () = self.shared.discovery_addresses_changed.notified() => {
                    calls.address_changed();
                    continue;
                }
                end = self.call_discovery(address, &mut calls) => end,
            };
            let (reason, backoff) = match end {
                CallEnd::Lost(reason) => (reason, calls.backoff_after_loss()),
                CallEnd::UnusableList(reason) => (reason, calls.backoff_after_unusable_list()),
            };
            // A repeated reason is logged once, not after each call.
            if last_reason.as_ref() != Some(&reason) {
                tracing::warn!(
                    address,
                    reason,
                    "discovery unavailable; calling again in {backoff:.0} ms"
                );
                last_reason = Some(reason);
            }
            self.handle_input(Input::DiscoveryCallFailed);
            call_count += 1;
            let next_call_at = self.shared.clock.now() + backoff;
            tokio::select! { biased;
                () = self.shared.discovery_addresses_changed.notified() => calls.address_changed(),
                () = self.shared.clock.sleep_until(next_call_at) => {}
            }
        }
    }

    /// Connects to discovery and follows its endpoint list until the connection ends. Returns how it ended.
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
            session = self.connect(address, v1::Party::Feed, setup) => session,
            () = self.shared.clock.sleep_until(until) => Err(format!("no greeting within {timeout:.0} ms")),
        }
    }

    /// Reads endpoint lists until the connection ends, stays silent for too long, or delivers a list that cannot
    /// be used.
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
                () = self.shared.snapshot_requested.notified() => {
                    stream += 1;
                    out.send(watch_request(stream, None));
                    continue;
                }
                event = events.recv() => event,
                // Discovery may have died without closing the connection. The endpoint list would then never change
                // again.
                () = self.wait_for_silence(last_received_at + timeout), if timeout.is_finite() => {
                    out.close();
                    return CallEnd::Lost("no message within the silence timeout".to_owned());
                }
            };
            match event {
                Some(Event::Frame(Frame {
                    body: Some(Body::Endpoints(list)),
                    ..
                })) => {
                    last_received_at = self.shared.clock.now();
                    if let Err(end) = self.forward_list(list, last_received_at, calls) {
                        out.close();
                        return end;
                    }
                }
                Some(Event::Frame(Frame {
                    body: Some(Body::Goodbye(goodbye)),
                    ..
                })) => {
                    out.close();
                    return classify_goodbye(goodbye);
                }
                // The first part of a long list has arrived.
                Some(Event::MessageBegun) => calls.list_begun(),
                Some(_) => {}
                None => return CallEnd::Lost("the connection to discovery ended".to_owned()),
            }
        }
    }

    /// Sleeps until `until`, then yields a few times. After a suspension of the process, messages that arrived
    /// during it are read before the timeout is reported.
    async fn wait_for_silence(&self, until: Ms) {
        self.shared.clock.sleep_until(until).await;
        for _ in 0..YIELDS_BEFORE_TIMEOUT {
            yield_now().await;
        }
    }

    /// Passes a list from discovery to the state machine.
    ///
    /// # Errors
    /// The list is older than the known one.
    fn forward_list(
        &self,
        list: v1::EndpointList,
        now: Ms,
        calls: &mut DiscoveryCalls,
    ) -> Result<(), CallEnd> {
        let newest = self.shared.dispatcher.borrow().list_version();
        let is_snapshot = list.kind() == v1::EndpointUpdateKind::Snapshot;
        if !calls.accept_version(is_snapshot, list.version, newest, now) {
            let reason = "the received list is older than the known one".to_owned();
            return Err(CallEnd::Lost(reason));
        }
        calls.list_received();
        log_list(&list);
        self.handle_input(Input::EndpointsUpdated(list));
        Ok(())
    }
}

/// Builds the request to watch the endpoint list. With a `known_version`, discovery sends only the changes since
/// that version. Without one, it sends a snapshot first and then the changes.
fn watch_request(stream: u64, known_version: Option<u64>) -> Frame {
    let watch = v1::WatchEndpoints {
        changes: true,
        known_version,
    };
    frame(stream, Body::WatchEndpoints(watch))
}

/// Classifies a goodbye that ended a call to discovery. With `never_ran`, the call did not reach discovery.
/// Otherwise discovery has answered, but not with a list.
fn classify_goodbye(goodbye: v1::Goodbye) -> CallEnd {
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
    // The closure builds the list only if the log level is enabled.
    let engines = || list.endpoints.iter().map(summary).collect::<Vec<_>>();
    tracing::debug!(version = list.version, engines = ?engines(), "list");
}
