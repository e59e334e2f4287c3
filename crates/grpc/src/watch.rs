//! Watches the bytes that come for a GOAWAY. A call that came after the last one that the other side took is
//! proven not to have run; the library ends such a call and one that was cut in the same words, so the proof
//! is read off the wire: nine bytes of head a frame, and the first four of a GOAWAY's payload.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

const HEAD: usize = 9;
const GOAWAY: u8 = 7;

/// What was seen of a GOAWAY.
#[derive(Default)]
pub(crate) struct Seen {
    last: Cell<Option<u32>>,
    pub came: Notify,
}

impl Seen {
    pub fn leaving(&self) -> bool {
        self.last.get().is_some()
    }

    /// Whether the other side has said that it did not take this stream.
    pub fn beyond(&self, stream: u32) -> bool {
        self.last.get().is_some_and(|last| stream > last)
    }
}

/// Where in a frame the bytes are.
#[derive(Default)]
struct Scan {
    head: [u8; HEAD],
    got: usize,
    /// Bytes of payload to come.
    left: usize,
    goaway: bool,
    last: u32,
    last_got: usize,
}

impl Scan {
    fn take(&mut self, mut bytes: &[u8], seen: &Seen) {
        while !bytes.is_empty() {
            if self.left == 0 {
                let part = bytes.len().min(HEAD - self.got);
                self.head[self.got..self.got + part].copy_from_slice(&bytes[..part]);
                self.got += part;
                bytes = &bytes[part..];
                if self.got == HEAD {
                    self.got = 0;
                    self.left =
                        u32::from_be_bytes([0, self.head[0], self.head[1], self.head[2]]) as usize;
                    self.goaway = self.head[3] == GOAWAY;
                    (self.last, self.last_got) = (0, 0);
                }
                continue;
            }
            let part = bytes.len().min(self.left);
            if self.goaway && self.last_got < 4 {
                for byte in bytes[..part].iter().take(4 - self.last_got) {
                    self.last = self.last << 8 | u32::from(*byte);
                    self.last_got += 1;
                }
                if self.last_got == 4 {
                    let last = self.last & 0x7fff_ffff;
                    // A later one may only take back, never promise more.
                    seen.last
                        .set(Some(seen.last.get().map_or(last, |old| old.min(last))));
                    seen.came.notify_one();
                }
            }
            self.left -= part;
            bytes = &bytes[part..];
        }
    }
}

/// A byte stream that is watched.
pub(crate) struct Watched<S> {
    io: S,
    scan: Scan,
    seen: Rc<Seen>,
}

impl<S> Watched<S> {
    pub fn new(io: S) -> (Self, Rc<Seen>) {
        let seen = Rc::new(Seen::default());
        (
            Watched {
                io,
                scan: Scan::default(),
                seen: seen.clone(),
            },
            seen,
        )
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = into.filled().len();
        let read = Pin::new(&mut this.io).poll_read(cx, into);
        if let Poll::Ready(Ok(())) = read {
            this.scan.take(&into.filled()[before..], &this.seen);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_goaway_is_found_however_the_bytes_are_cut() {
        let frame = |kind: u8, payload: &[u8]| {
            let head = [0, 0, payload.len() as u8, kind, 0, 0, 0, 0, 0];
            [&head[..], payload].concat()
        };
        // A data frame whose payload looks like a GOAWAY, an empty one, then GOAWAYs: the least counts.
        let looks_like = frame(7, &[0, 0, 0, 1, 0, 0, 0, 0]);
        let parts = [
            frame(0, &looks_like),
            frame(4, &[]),
            frame(7, &[0x7f, 255, 255, 255, 0, 0, 0, 0]),
            frame(7, &[0x80, 0, 0, 9, 0, 0, 0, 0, b'b', b'y', b'e']),
            frame(7, &[0, 0, 0, 11, 0, 0, 0, 0]),
        ];
        for step in 1..40 {
            let (mut scan, seen) = (Scan::default(), Seen::default());
            for piece in parts[..2].concat().chunks(step) {
                scan.take(piece, &seen);
            }
            assert!(!seen.beyond(u32::MAX), "step {step}");
            for piece in parts[2..].concat().chunks(step) {
                scan.take(piece, &seen);
            }
            assert!(
                seen.beyond(11) && seen.beyond(10) && !seen.beyond(9),
                "step {step}"
            );
        }
    }
}
