//! The stand-in of discovery: the list of engines, whole and by changes, as the platform's protocol has it.

use crate::service::{answer, listen, sleep, Clock, Connection};
use crate::Ms;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// An engine as the list has it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: u32,
    pub phase: &'static str,
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

/// How it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Answers,
    /// It says nothing, and calls that are open by then are never answered.
    Silent,
    Refuses,
}

struct Shared {
    clock: Clock,
    mode: Cell<Mode>,
    /// How often it fell silent.
    silences: Cell<u64>,
    revision: Cell<u64>,
    entries: RefCell<Vec<Entry>>,
    changes: RefCell<Vec<(u64, Entry)>>,
    changed: Notify,
    cut: Notify,
}

/// The registry; clones are the same one.
#[derive(Clone)]
pub struct Discovery {
    shared: Rc<Shared>,
}

impl Discovery {
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
                cut: Notify::new(),
            }),
        }
    }

    /// Serves on a free port.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn listen(&self) -> io::Result<SocketAddr> {
        let discovery = self.clone();
        listen(move |connection| discovery.clone().serve(connection)).await
    }

    pub fn set_mode(&self, mode: Mode) {
        if mode == Mode::Silent {
            self.shared.silences.set(self.shared.silences.get() + 1);
        }
        self.shared.mode.set(mode);
    }

    /// Resets all connections.
    pub fn cut(&self) {
        self.shared.cut.notify_waiters();
    }

    /// Takes a change in; an entry that is `removed` leaves the whole list.
    pub fn change(&self, entry: Entry) {
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

    /// The list as a process finds it in its configuration.
    pub fn whole(&self) -> String {
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

    fn since(&self, revision: u64) -> String {
        let changes = self.shared.changes.borrow();
        let newer = changes.iter().filter(|(at, _)| *at > revision);
        self.list(false, newer.map(|(_, entry)| entry.text()).collect())
    }

    fn list(&self, complete: bool, members: Vec<String>) -> String {
        let (revision, members) = (self.shared.revision.get(), members.join(","));
        format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{members}]}}")
    }

    async fn serve(self, mut connection: Connection) {
        let cut = self.shared.cut.notified();
        tokio::pin!(cut);
        loop {
            let answered = tokio::select! { biased;
                () = &mut cut => return connection.reset(),
                answered = self.answer(&mut connection) => answered,
            };
            if answered.is_none() {
                return;
            }
        }
    }

    async fn answer(&self, connection: &mut Connection) -> Option<()> {
        let asked = connection.request(self.shared.clock).await?;
        let silences = self.shared.silences.get();
        if self.shared.mode.get() == Mode::Refuses {
            return connection
                .say(&answer("503 Service Unavailable", "", ""))
                .await
                .ok();
        }
        let text = match after(&asked.head.first.target) {
            None => self.whole(),
            Some((revision, wait)) => {
                self.wait_for_change(revision, wait).await;
                self.since(revision)
            }
        };
        // What it was asked before it fell silent it never answers.
        if self.shared.mode.get() == Mode::Silent || self.shared.silences.get() != silences {
            connection.closed().await;
            return None;
        }
        connection.say(&answer("200 OK", "", &text)).await.ok()
    }

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

/// The version and the wait of a call for changes.
fn after(target: &str) -> Option<(u64, Ms)> {
    let (_, query) = target.split_once('?')?;
    let value = |name: &str| {
        let pair = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.and_then(|text| text.parse::<u64>().ok())
    };
    Some((value("after")?, value("wait_ms").unwrap_or(0) as Ms))
}
