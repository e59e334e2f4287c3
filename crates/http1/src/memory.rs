//! Counts the memory that the bytes of peers hold, from their read until they are freed.
//!
//! A [`MemoryPool`] has a limit for the bytes of one kind. Each holder of such bytes has a [`Reservation`] of the pool,
//! and [`counted`] hands bytes on together with theirs, so that they count wherever they lie: in a queue, in the state
//! machine, or in an attempt that is being written.

use bytes::Bytes;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// The memory for the bytes of one kind, of all connections together or of one.
#[derive(Debug)]
pub(crate) struct MemoryPool {
    /// What the pool is for; part of the log line.
    name: &'static str,
    /// The limit of `used`, in bytes.
    limit: usize,
    used: AtomicUsize,
    /// Whether the log says that the limit was exceeded; unset once less than half of the limit is used.
    is_reported: AtomicBool,
    /// The pool that this one is a part of: what is used here is used there too.
    parent: Option<Arc<MemoryPool>>,
    /// Notified when bytes are freed.
    freed: Notify,
}

impl MemoryPool {
    /// Creates a pool of `limit` bytes, none of them in use. `name` is what the log calls the bytes.
    pub fn new(name: &'static str, limit: usize) -> Arc<Self> {
        Arc::new(MemoryPool {
            name,
            limit,
            used: AtomicUsize::new(0),
            is_reported: AtomicBool::new(false),
            parent: None,
            freed: Notify::new(),
        })
    }

    /// Creates the part of `parent` that one connection uses, with a limit of its own.
    pub fn part_of(parent: &Arc<MemoryPool>, limit: usize) -> Arc<Self> {
        Arc::new(MemoryPool {
            name: parent.name,
            limit,
            used: AtomicUsize::new(0),
            is_reported: AtomicBool::new(false),
            parent: Some(parent.clone()),
            freed: Notify::new(),
        })
    }

    /// Whether this part has room for more bytes: less than its limit is used, and its parent is not exceeded. The first
    /// `always_free` bytes need no room at the parent, so that what others use holds up no connection that uses little.
    pub fn has_room(&self, always_free: usize) -> bool {
        let used = self.used();
        let parent_has_room = || {
            self.parent
                .as_ref()
                .is_none_or(|parent| !parent.is_exceeded())
        };
        used < self.limit && (used <= always_free || parent_has_room())
    }

    /// Waits until bytes of this pool are freed.
    pub async fn wait_freed(&self) {
        self.freed.notified().await;
    }

    /// The number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Whether more than the limit is in use. The holder that finds this has to free its bytes. The first time is logged,
    /// and again only after half of the limit was free.
    pub fn is_exceeded(&self) -> bool {
        let used = self.used();
        if used <= self.limit {
            return false;
        }
        if !self.is_reported.swap(true, Ordering::Relaxed) {
            tracing::warn!(
                used,
                limit = self.limit,
                "{} fill their share of the memory; refusing more until some are freed",
                self.name
            );
        }
        true
    }

    fn replace(&self, old: usize, new: usize) {
        self.used.fetch_add(new, Ordering::Relaxed);
        let used = self.used.fetch_sub(old, Ordering::Relaxed) - old;
        if used < self.limit / 2 {
            self.is_reported.store(false, Ordering::Relaxed);
        }
        if let Some(parent) = &self.parent {
            parent.replace(old, new);
        }
        if new < old {
            self.freed.notify_waiters();
        }
    }
}

/// Bytes of a pool that are in use until this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    pool: Arc<MemoryPool>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of 0 bytes.
    pub fn new(pool: &Arc<MemoryPool>) -> Self {
        Reservation {
            pool: pool.clone(),
            bytes: 0,
        }
    }

    /// Changes the number of bytes that this reservation counts.
    pub fn set(&mut self, bytes: usize) {
        if bytes != self.bytes {
            self.pool.replace(self.bytes, bytes);
            self.bytes = bytes;
        }
    }

    /// Whether this reservation counts anything and its pool is exceeded, so that its bytes have to be freed.
    pub fn is_over_limit(&self) -> bool {
        self.bytes > 0 && self.pool.is_exceeded()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Bytes with the reservation that counts them.
struct CountedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Hands on `bytes`: `reservation` counts their buffer until the last clone is dropped.
pub(crate) fn counted(bytes: Vec<u8>, mut reservation: Reservation) -> Bytes {
    reservation.set(bytes.capacity());
    Bytes::from_owner(CountedBytes {
        bytes,
        _reservation: reservation,
    })
}
