//! An in-memory transport between tasks of one thread, without delay or faults.

use crate::{Listener, Transport};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::io::DuplexStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// The maximum number of bytes in flight in each direction of a connection.
const MAX_BYTES_IN_FLIGHT: usize = 64 * 1024;

/// The queues of connections to accept, by address.
type Listeners = Rc<RefCell<BTreeMap<String, UnboundedSender<DuplexStream>>>>;

/// An in-memory network. Clones share its listeners, so a clone can connect to an address that another listens on.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    listeners: Listeners,
}

/// A listener of a [`Memory`] network; listens until it is dropped.
#[derive(Debug)]
pub struct MemoryListener {
    address: String,
    listeners: Listeners,
    incoming: UnboundedReceiver<DuplexStream>,
}

impl Transport for Memory {
    type Stream = DuplexStream;
    type Listener = MemoryListener;

    async fn connect(&self, address: &str) -> io::Result<DuplexStream> {
        let (client_end, server_end) = tokio::io::duplex(MAX_BYTES_IN_FLIGHT);
        let listeners = self.listeners.borrow();
        let handed_over = listeners
            .get(address)
            .map(|listener| listener.send(server_end));
        match handed_over {
            Some(Ok(())) => Ok(client_end),
            _ => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }

    async fn listen(&self, address: &str) -> io::Result<MemoryListener> {
        let (sender, incoming) = unbounded_channel();
        let mut listeners = self.listeners.borrow_mut();
        if listeners.contains_key(address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        listeners.insert(address.to_owned(), sender);
        Ok(MemoryListener {
            address: address.to_owned(),
            listeners: self.listeners.clone(),
            incoming,
        })
    }
}

impl Listener for MemoryListener {
    type Stream = DuplexStream;

    async fn accept(&mut self) -> io::Result<DuplexStream> {
        self.incoming
            .recv()
            .await
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn address(&self) -> String {
        self.address.clone()
    }
}

impl Drop for MemoryListener {
    fn drop(&mut self) {
        self.listeners.borrow_mut().remove(&self.address);
    }
}
