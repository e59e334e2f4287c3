//! The list feed: knows which engines' processes run, and tells its followers late.

use crate::transcript::{Transcript, Way, What};
use crate::welcome;
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
    told: RefCell<BTreeMap<String, v1::Endpoint>>,
    version: Cell<u64>,
    followers: RefCell<Vec<(Rc<str>, UnboundedSender<v1::EndpointList>)>>,
    delay: Cell<Ms>,
    silent: Cell<bool>,
}

/// A list feed; clones are the same one.
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
    pub fn new(name: &str, clock: C, transcript: Transcript, delay: Ms) -> Self {
        let inner = Inner {
            clock,
            transcript,
            name: Rc::from(name),
            told: RefCell::default(),
            version: Cell::new(0),
            followers: RefCell::default(),
            delay: Cell::new(delay),
            silent: Cell::new(false),
        };
        Discovery {
            inner: Rc::new(inner),
        }
    }

    /// How late changes are told from now on.
    pub fn set_delay(&self, delay: Ms) {
        self.inner.delay.set(delay);
    }

    /// A silent feed takes followers in and tells them nothing; its changes are told when it speaks again.
    pub fn set_silent(&self, silent: bool) {
        self.inner.silent.set(silent);
        if !silent {
            let list = self.list(
                v1::EndpointUpdateKind::Snapshot,
                self.inner.told.borrow().values().cloned().collect(),
            );
            self.push(&list);
        }
    }

    /// Followers now.
    pub fn followers(&self) -> usize {
        self.inner
            .followers
            .borrow_mut()
            .retain(|(_, f)| !f.is_closed());
        self.inner.followers.borrow().len()
    }

    /// Whether somebody of this name follows now.
    pub fn is_followed_by(&self, name: &str) -> bool {
        self.inner
            .followers
            .borrow()
            .iter()
            .any(|(who, f)| **who == *name && !f.is_closed())
    }

    /// A change of the fleet, told to all followers after the delay.
    pub fn change(&self, line: v1::Endpoint) {
        let feed = self.clone();
        let at = self.inner.clock.now() + self.inner.delay.get();
        spawn_local(async move {
            feed.inner.clock.sleep_until(at).await;
            feed.tell(line);
        });
    }

    /// A change that is told at once.
    pub fn tell(&self, line: v1::Endpoint) {
        self.inner.version.set(self.inner.version.get() + 1);
        self.inner
            .told
            .borrow_mut()
            .insert(line.engine.clone(), line.clone());
        if !self.inner.silent.get() {
            self.push(&self.list(v1::EndpointUpdateKind::Delta, vec![line]));
        }
    }

    fn push(&self, list: &v1::EndpointList) {
        self.inner
            .followers
            .borrow_mut()
            .retain(|(_, f)| f.send(list.clone()).is_ok());
    }

    fn list(
        &self,
        kind: v1::EndpointUpdateKind,
        mut endpoints: Vec<v1::Endpoint>,
    ) -> v1::EndpointList {
        if kind == v1::EndpointUpdateKind::Snapshot {
            endpoints.retain(|line| line.status() != v1::EndpointStatus::Gone);
        }
        v1::EndpointList {
            kind: kind.into(),
            version: self.inner.version.get(),
            endpoints,
        }
    }

    pub async fn serve<T: Transport>(self, mut listener: T::Listener) {
        while let Ok(stream) = listener.accept().await {
            spawn_local(self.clone().follower::<T>(stream));
        }
    }

    async fn follower<T: Transport>(self, stream: T::Stream) {
        let Some(session) = welcome::<T>(stream, v1::Party::Feed, &self.inner.name).await else {
            return;
        };
        let Session {
            them,
            mut events,
            out,
            ..
        } = session;
        let mut number = 0;
        let (peer, conn): (Rc<str>, u64) = (Rc::from(them.name), self.inner.transcript.new_conn());
        let (send, mut lists) = unbounded_channel();
        loop {
            let list = tokio::select! { biased;
                list = lists.recv() => list,
                event = events.recv() => match event {
                    Some(Event::Frame(Frame { stream, body: Some(Body::WatchEndpoints(follow)) })) => {
                        number = stream;
                        let mut followers = self.inner.followers.borrow_mut();
                        if follow.changes && !followers.iter().any(|(_, f)| f.same_channel(&send)) {
                            followers.push((peer.clone(), send.clone()));
                        }
                        drop(followers);
                        let engines = self.inner.told.borrow().values().cloned().collect();
                        Some(self.list(v1::EndpointUpdateKind::Snapshot, engines)).filter(|_| !self.inner.silent.get())
                    }
                    Some(_) => None,
                    None => return,
                },
            };
            if let Some(list) = list {
                let frame = frame(number, Body::Endpoints(list));
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
