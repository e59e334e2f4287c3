//! Links: connections to model hosts. Which one a stream takes, when one more is dialled, when one is closed.

use super::timers::{Due, Timers};
use super::{LinkId, Output, StreamNo};
use crate::settings::ProgramSettings;
use cindercleat::interface::{HostId, LaunchNo, Ms, TaskId};
use cindercleat_protocol::{frame, Body};
use std::collections::BTreeMap;

/// What a stream of a link is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Use {
    Launch(TaskId, LaunchNo),
    Probe {
        sent: Ms,
    },
    Hold(TaskId, LaunchNo),
    /// Given up here; whatever still comes is old.
    Past,
}

#[derive(Debug)]
pub(super) struct Link {
    pub host: HostId,
    pub address: String,
    pub up: bool,
    pub streams: BTreeMap<StreamNo, Use>,
    /// What goes out once it is up.
    pub waiting: Vec<(StreamNo, Body)>,
    /// When it last sent anything.
    pub heard: Ms,
    next_stream: u64,
    idle_since: Ms,
}

/// Why no stream could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoStream {
    /// Every link that we may have to it carries all that it may.
    AllTaken,
}

#[derive(Debug, Default)]
pub(super) struct Links {
    all: BTreeMap<LinkId, Link>,
    of: BTreeMap<HostId, Vec<LinkId>>,
    made: u64,
}

impl Links {
    pub fn get(&self, id: LinkId) -> Option<&Link> {
        self.all.get(&id)
    }

    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.all.get_mut(&id)
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn ids_of(&self, host: &HostId) -> Vec<LinkId> {
        self.of.get(host).cloned().unwrap_or_default()
    }

    /// A stream at `host`: on the fullest link that is up and has room, else on one that is coming up, else
    /// on a new one. Full links stay few, so that the idle ones can close.
    pub fn open(
        &mut self,
        host: &HostId,
        address: &str,
        purpose: Use,
        now: Ms,
        settings: &ProgramSettings,
        (timers, out): (&mut Timers, &mut Vec<Output>),
    ) -> Result<(LinkId, StreamNo), NoStream> {
        let ids = self.ids_of(host);
        let room = |id: &&LinkId| {
            let link = self.all.get(id);
            link.is_some_and(|l| l.streams.len() < settings.streams_per_link && l.address == address)
        };
        let rank = |id: &&LinkId| self.all.get(id).map(|l| (l.up, l.streams.len()));
        let chosen = match ids.iter().filter(room).max_by_key(rank).copied() {
            Some(id) => id,
            None if ids.len() >= settings.links_per_host => return Err(NoStream::AllTaken),
            None => self.dial(host, address, now, settings, (timers, out)),
        };
        let link = self.all.get_mut(&chosen).ok_or(NoStream::AllTaken)?;
        let stream = StreamNo(link.next_stream);
        link.next_stream += 1;
        link.streams.insert(stream, purpose);
        Ok((chosen, stream))
    }

    fn dial(
        &mut self,
        host: &HostId,
        address: &str,
        now: Ms,
        settings: &ProgramSettings,
        (timers, out): (&mut Timers, &mut Vec<Output>),
    ) -> LinkId {
        self.made += 1;
        let id = LinkId(self.made);
        let (host, address) = (host.clone(), address.to_owned());
        out.push(Output::Dial { link: id, host: host.clone(), address: address.clone() });
        timers.set(now + settings.policy.connect_timeout, Due::Connect(id));
        self.of.entry(host.clone()).or_default().push(id);
        let link = Link {
            host,
            address,
            up: false,
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            heard: now,
            next_stream: 1,
            idle_since: now,
        };
        self.all.insert(id, link);
        id
    }

    /// A link to the host that is up.
    pub fn up(&self, host: &HostId) -> Option<LinkId> {
        let ids = self.of.get(host)?;
        ids.iter().copied().find(|id| self.all.get(id).is_some_and(|l| l.up))
    }

    /// Sees to it that a link to the host is up or coming up.
    pub fn want(
        &mut self,
        host: &HostId,
        address: &str,
        now: Ms,
        settings: &ProgramSettings,
        to: (&mut Timers, &mut Vec<Output>),
    ) {
        if !self.of.contains_key(host) {
            self.dial(host, address, now, settings, to);
        }
    }

    /// Sends now, or once the link is up.
    pub fn send(&mut self, id: LinkId, stream: StreamNo, body: Body, out: &mut Vec<Output>) {
        let Some(link) = self.all.get_mut(&id) else { return };
        if link.up {
            out.push(Output::ToHost { link: id, frame: frame(stream.0, body) });
        } else {
            link.waiting.push((stream, body));
        }
    }

    /// Takes back what was to be sent on a stream; tells whether it had not gone out.
    pub fn unsend(&mut self, id: LinkId, stream: StreamNo) -> bool {
        let Some(link) = self.all.get_mut(&id) else { return true };
        let before = link.waiting.len();
        link.waiting.retain(|(waiting, _)| *waiting != stream);
        link.waiting.len() < before
    }

    /// The stream is over; the link may be idle from now on.
    pub fn close_stream(
        &mut self,
        id: LinkId,
        stream: StreamNo,
        now: Ms,
        idle: Ms,
        timers: &mut Timers,
    ) -> Option<Use> {
        let link = self.all.get_mut(&id)?;
        let purpose = link.streams.remove(&stream);
        if link.streams.is_empty() {
            link.idle_since = now;
            timers.set(now + idle, Due::Idle(id));
        }
        purpose
    }

    /// Whether the link has been without streams for so long.
    pub fn is_idle(&self, id: LinkId, now: Ms, idle: Ms) -> bool {
        let link = self.all.get(&id);
        link.is_some_and(|l| l.up && l.streams.is_empty() && now >= l.idle_since + idle)
    }

    pub fn remove(&mut self, id: LinkId) -> Option<Link> {
        let link = self.all.remove(&id)?;
        if let Some(ids) = self.of.get_mut(&link.host) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.of.remove(&link.host);
            }
        }
        Some(link)
    }
}
