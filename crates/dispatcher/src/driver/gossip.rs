//! Sends gossip to other dispatchers, over connections that are dialled on demand. Delivery is best effort: a
//! message is lost if the connection cannot be established or ends.

use super::Driver;
use cindercleat::interface::DispatcherId;
use cindercleat_net::{Clock, Transport};
use cindercleat_protocol::session::{Outbox, Session, Wire};
use cindercleat_protocol::{frame, v1, Body};
use tokio::task::spawn_local;

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    /// Sends `bytes` to the dispatcher `to`, or to all other dispatchers if `to` is `None`.
    pub(super) fn send_gossip(&self, to: Option<DispatcherId>, bytes: Vec<u8>) {
        let own_number = self.shared.settings.policy.dispatcher_id.0;
        let body = Body::Gossip(v1::Gossip {
            from: own_number,
            bytes: bytes.into(),
        });
        let is_addressed = |peer: u32| to.map_or(peer != own_number, |to| to.0 == peer);
        let peers = self.shared.locations.borrow().peers.clone();
        for (peer, address) in peers {
            if !is_addressed(peer) {
                continue;
            }
            let connected = self.shared.peers.borrow().get(&peer).cloned();
            if let Some(out) = connected {
                out.send(frame(0, body.clone()));
            } else {
                spawn_local(
                    self.clone()
                        .run_peer_connection(peer, address, body.clone()),
                );
            }
        }
    }

    /// Connects to another dispatcher, sends `first_message`, and keeps the connection open for later messages
    /// until it ends. `first_message` is lost if the connection cannot be established.
    async fn run_peer_connection(self, peer: u32, address: String, first_message: Body) {
        let setup = self.session_setup("", 1);
        let Ok(session) = self.connect(&address, v1::Party::Dispatcher, setup).await else {
            return;
        };
        let Session {
            mut events, out, ..
        } = session;
        out.send(frame(0, first_message));
        self.shared.peers.borrow_mut().insert(peer, out);
        while events.recv().await.is_some() {}
        self.shared.peers.borrow_mut().remove(&peer);
    }
}
