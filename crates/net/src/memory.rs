//! Connections within one thread, without delay or faults.

use crate::{Listener, Transport};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::io::DuplexStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// The most bytes in flight in each direction of a connection.
const MAX_BYTES_IN_FLIGHT: usize = 64 * 1024;

type Names = Rc<RefCell<BTreeMap<String, UnboundedSender<DuplexStream>>>>;

/// A network in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    names: Names,
}

/// A listener of this network; it listens until it is dropped.
#[derive(Debug)]
pub struct MemoryListener {
    name: String,
    names: Names,
    coming: UnboundedReceiver<DuplexStream>,
}

impl Transport for Memory {
    type Stream = DuplexStream;
    type Listener = MemoryListener;

    async fn connect(&self, address: &str) -> io::Result<DuplexStream> {
        let (near, far) = tokio::io::duplex(MAX_BYTES_IN_FLIGHT);
        let names = self.names.borrow();
        let sent = names.get(address).map(|listener| listener.send(far));
        match sent {
            Some(Ok(())) => Ok(near),
            _ => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }

    async fn listen(&self, address: &str) -> io::Result<MemoryListener> {
        let (to, coming) = unbounded_channel();
        let mut names = self.names.borrow_mut();
        if names.contains_key(address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        names.insert(address.to_owned(), to);
        Ok(MemoryListener {
            name: address.to_owned(),
            names: self.names.clone(),
            coming,
        })
    }
}

impl Listener for MemoryListener {
    type Stream = DuplexStream;

    async fn accept(&mut self) -> io::Result<DuplexStream> {
        self.coming
            .recv()
            .await
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn address(&self) -> String {
        self.name.clone()
    }
}

impl Drop for MemoryListener {
    fn drop(&mut self) {
        self.names.borrow_mut().remove(&self.name);
    }
}
