//! The stand-in for discovery: sends the list of engines to the dispatchers that follow it, each change after a
//! configurable delay.

use crate::accept_session;
use crate::transcript::{Transcript, Way, What};
use cindercleat_grpc::{Event, Session};
use cindercleat_net::{Clock, Listener, Ms, Transport};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::spawn_local;

struct Inner<C> {
    clock: C,
    transcript: Transcript,
    name: Rc<str>,
    /// The latest published entry of each engine, by engine name.
    published: RefCell<BTreeMap<String, v1::Endpoint>>,
    /// The version of the list, which each published change increments.
    version: Cell<u64>,
    /// The name of each follower, and the channel to the task that serves it.
    followers: RefCell<Vec<(Rc<str>, UnboundedSender<v1::EndpointList>)>>,
    /// The time from a change to its publication.
    delay: Cell<Ms>,
    /// While set, followers are accepted and nothing is sent.
    silent: Cell<bool>,
}

/// A stand-in for discovery. Clones share one state.
pub struct Discovery<C> {
    inner: Rc<Inner<C>>,
}

impl<C> Clone for Discovery<C> {
    fn clone(&self) -> Self {
        Discovery {
            inner: self.inner.clone(),
        }
    }
}

impl<C: Clock> Discovery<C> {
    /// Creates a discovery stand-in without endpoints; `delay` is the time from a change to its publication.
    pub fn new(name: &str, clock: C, transcript: Transcript, delay: Ms) -> Self {
        let inner = Inner {
            clock,
            transcript,
            name: Rc::from(name),
            published: RefCell::default(),
            version: Cell::new(0),
            followers: RefCell::default(),
            delay: Cell::new(delay),
            silent: Cell::new(false),
        };
        Discovery {
            inner: Rc::new(inner),
        }
    }

    /// Sets the time from a change to its publication, for changes made from now on.
    pub fn set_delay(&self, delay: Ms) {
        self.inner.delay.set(delay);
    }

    /// Stops or resumes publication. A silent discovery accepts followers and sends them nothing; on resumption it
    /// sends each of them a full snapshot.
    pub fn set_silent(&self, silent: bool) {
        self.inner.silent.set(silent);
        if !silent {
            let list = self.list(
                v1::EndpointUpdateKind::Snapshot,
                self.inner.published.borrow().values().cloned().collect(),
            );
            self.push(&list);
        }
    }

    /// The number of connections that follow the list at present.
    pub fn followers(&self) -> usize {
        self.inner
            .followers
            .borrow_mut()
            .retain(|(_, sender)| !sender.is_closed());
        self.inner.followers.borrow().len()
    }

    /// Whether a party of this name, such as a dispatcher, follows the list at present.
    pub fn is_followed_by(&self, name: &str) -> bool {
        self.inner
            .followers
            .borrow()
            .iter()
            .any(|(follower, sender)| **follower == *name && !sender.is_closed())
    }

    /// Publishes a changed entry to all followers after the configured delay.
    pub fn change(&self, endpoint: v1::Endpoint) {
        let discovery = self.clone();
        let at = self.inner.clock.now() + self.inner.delay.get();
        spawn_local(async move {
            discovery.inner.clock.sleep_until(at).await;
            discovery.tell(endpoint);
        });
    }

    /// Publishes a changed entry to all followers without delay.
    pub fn tell(&self, endpoint: v1::Endpoint) {
        self.inner.version.set(self.inner.version.get() + 1);
        self.inner
            .published
            .borrow_mut()
            .insert(endpoint.engine.clone(), endpoint.clone());
        if !self.inner.silent.get() {
            self.push(&self.list(v1::EndpointUpdateKind::Delta, vec![endpoint]));
        }
    }

    /// Sends a list to all followers, and removes followers that have disconnected.
    fn push(&self, list: &v1::EndpointList) {
        self.inner
            .followers
            .borrow_mut()
            .retain(|(_, sender)| sender.send(list.clone()).is_ok());
    }

    /// The list message with these endpoints. A snapshot omits engines that are gone.
    fn list(
        &self,
        kind: v1::EndpointUpdateKind,
        mut endpoints: Vec<v1::Endpoint>,
    ) -> v1::EndpointList {
        if kind == v1::EndpointUpdateKind::Snapshot {
            endpoints.retain(|endpoint| endpoint.status() != v1::EndpointStatus::Gone);
        }
        v1::EndpointList {
            kind: kind.into(),
            version: self.inner.version.get(),
            endpoints,
        }
    }

    /// Accepts followers until the listener fails.
    pub async fn serve<T: Transport>(self, mut listener: T::Listener) {
        while let Ok(stream) = listener.accept().await {
            spawn_local(self.clone().serve_follower::<T>(stream));
        }
    }

    /// Serves one connection until it ends: sends a snapshot for each call that asks for the list, and then the changes
    /// if the call asks for them.
    async fn serve_follower<T: Transport>(self, stream: T::Stream) {
        let Some(session) = accept_session::<T>(stream, v1::Party::Feed, &self.inner.name).await
        else {
            return;
        };
        let Session {
            peer,
            mut events,
            out,
            ..
        } = session;
        let mut watch_stream = 0;
        let (peer, conn): (Rc<str>, u64) = (Rc::from(peer.name), self.inner.transcript.new_conn());
        let (send, mut lists) = unbounded_channel();
        loop {
            let list = tokio::select! { biased;
                list = lists.recv() => list,
                event = events.recv() => match event {
                    Some(Event::Frame(Frame { stream, body: Some(Body::WatchEndpoints(follow)) })) => {
                        watch_stream = stream;
                        let mut followers = self.inner.followers.borrow_mut();
                        if follow.changes && !followers.iter().any(|(_, sender)| sender.same_channel(&send)) {
                            followers.push((peer.clone(), send.clone()));
                        }
                        drop(followers);
                        let endpoints = self.inner.published.borrow().values().cloned().collect();
                        Some(self.list(v1::EndpointUpdateKind::Snapshot, endpoints)).filter(|_| !self.inner.silent.get())
                    }
                    Some(_) => None,
                    None => return,
                },
            };
            if let Some(list) = list {
                let frame = frame(watch_stream, Body::Endpoints(list));
                let record = What::Frame(Way::Out, frame.clone());
                self.inner.transcript.add(
                    self.inner.clock.now(),
                    &self.inner.name,
                    &peer,
                    conn,
                    record,
                );
                out.send(frame);
            }
        }
    }
}
