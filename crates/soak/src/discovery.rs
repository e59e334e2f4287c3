//! The stand-in for discovery: serves the list of engines by the platform's protocol, complete or as changes since a
//! revision.

use crate::service::{listen, response, sleep, Clock, Connection};
use crate::Ms;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// An engine's entry in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: u32,
    /// The state in which discovery lists the engine: `up`, `draining` or `removed`.
    pub phase: &'static str,
    /// When the engine process started, in milliseconds since 1970; 0 if long ago.
    pub up_since_ms: u64,
}

impl Entry {
    fn text(&self) -> String {
        let Entry {
            id,
            address,
            zone,
            kind,
            cell,
            phase,
            up_since_ms,
        } = self;
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"flavor\":\"{kind}\",\
             \"cell\":{cell},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":{up_since_ms}}}"
        )
    }
}

/// How discovery answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Discovery answers every call.
    Answers,
    /// Discovery answers nothing; calls that are open when it falls silent are never answered.
    Silent,
    /// Discovery answers every call with status 503.
    Refuses,
}

struct Shared {
    clock: Clock,
    mode: Cell<Mode>,
    /// How often discovery fell silent. A call that waits through a silence sees the number change and stays
    /// unanswered.
    silences: Cell<u64>,
    /// The revision of the list, which each change increments.
    revision: Cell<u64>,
    /// The engines that are not removed.
    entries: RefCell<Vec<Entry>>,
    /// All changes, each with the revision that it made.
    changes: RefCell<Vec<(u64, Entry)>>,
    /// Notified when the list changes.
    changed: Notify,
    /// Notified to reset all connections.
    reset: Notify,
}

/// A stand-in for discovery. Clones share one state.
#[derive(Clone)]
pub struct Discovery {
    shared: Rc<Shared>,
}

impl Discovery {
    /// Creates a stand-in whose list of engines is empty and that does not listen yet.
    pub fn new(clock: Clock) -> Discovery {
        Discovery {
            shared: Rc::new(Shared {
                clock,
                mode: Cell::new(Mode::Answers),
                silences: Cell::new(0),
                revision: Cell::new(1),
                entries: RefCell::default(),
                changes: RefCell::default(),
                changed: Notify::new(),
                reset: Notify::new(),
            }),
        }
    }

    /// Serves on a free port of the loopback interface and returns its address. Several ports may serve the same list.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn listen(&self) -> io::Result<SocketAddr> {
        let discovery = self.clone();
        listen(move |connection| discovery.clone().serve(connection)).await
    }

    /// Sets how calls are answered from now on.
    pub fn set_mode(&self, mode: Mode) {
        if mode == Mode::Silent {
            self.shared.silences.set(self.shared.silences.get() + 1);
        }
        self.shared.mode.set(mode);
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.shared.reset.notify_waiters();
    }

    /// Publishes a new or changed entry of an engine. An entry in phase `removed` is dropped from the complete list.
    pub fn publish(&self, entry: Entry) {
        let revision = self.shared.revision.get() + 1;
        self.shared.revision.set(revision);
        let mut entries = self.shared.entries.borrow_mut();
        entries.retain(|known| known.id != entry.id);
        if entry.phase != "removed" {
            entries.push(entry.clone());
        }
        drop(entries);
        self.shared.changes.borrow_mut().push((revision, entry));
        self.shared.changed.notify_waiters();
    }

    /// The complete list of engines, as JSON in the platform's format.
    pub fn complete_list(&self) -> String {
        self.list(
            true,
            self.shared
                .entries
                .borrow()
                .iter()
                .map(Entry::text)
                .collect(),
        )
    }

    /// The changes after a revision, as JSON.
    fn changes_since(&self, revision: u64) -> String {
        let changes = self.shared.changes.borrow();
        let newer = changes.iter().filter(|(at, _)| *at > revision);
        self.list(false, newer.map(|(_, entry)| entry.text()).collect())
    }

    fn list(&self, complete: bool, members: Vec<String>) -> String {
        let (revision, members) = (self.shared.revision.get(), members.join(","));
        format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{members}]}}")
    }

    async fn serve(self, mut connection: Connection) {
        let reset = self.shared.reset.notified();
        tokio::pin!(reset);
        loop {
            let answered = tokio::select! { biased;
                () = &mut reset => return connection.reset(),
                answered = self.answer(&mut connection) => answered,
            };
            if answered.is_none() {
                return;
            }
        }
    }

    /// Answers the next call; returns `None` once the connection has ended.
    async fn answer(&self, connection: &mut Connection) -> Option<()> {
        let received = connection.request(self.shared.clock).await?;
        let silences = self.shared.silences.get();
        if self.shared.mode.get() == Mode::Refuses {
            return connection
                .write(&response("503 Service Unavailable", "", ""))
                .await
                .ok();
        }
        let text = match parse_watch(&received.head.start_line.target) {
            None => self.complete_list(),
            Some((revision, wait)) => {
                self.wait_for_change(revision, wait).await;
                self.changes_since(revision)
            }
        };
        // A call that was open when discovery fell silent is never answered.
        if self.shared.mode.get() == Mode::Silent || self.shared.silences.get() != silences {
            connection.closed().await;
            return None;
        }
        connection.write(&response("200 OK", "", &text)).await.ok()
    }

    /// Waits until the list is newer than `revision`, for `wait` at most.
    async fn wait_for_change(&self, revision: u64, wait: Ms) {
        let changed = async {
            loop {
                let changed = self.shared.changed.notified();
                if self.shared.revision.get() > revision {
                    return;
                }
                changed.await;
            }
        };
        tokio::select! { biased;
            () = changed => {}
            () = sleep(wait) => {}
        }
    }
}

/// The revision and the longest wait of a call for changes; `None` for a call for the complete list.
fn parse_watch(target: &str) -> Option<(u64, Ms)> {
    let (_, query) = target.split_once('?')?;
    let value = |name: &str| {
        let pair = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.and_then(|text| text.parse::<u64>().ok())
    };
    Some((value("after")?, value("wait_ms").unwrap_or(0) as Ms))
}
