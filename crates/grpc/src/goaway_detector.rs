//! Detects GOAWAY frames in the received bytes. A GOAWAY names the last stream that the peer processed, so a call on
//! a later stream certainly did not run. The h2 library reports such a call with the same error as a call that was
//! aborted, so the proof that the call did not run is taken from the received bytes. This module parses the nine bytes
//! of each frame's head, and the first four bytes of a GOAWAY's payload.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// The size of an HTTP/2 frame's head.
const FRAME_HEAD_BYTES: usize = 9;
/// The HTTP/2 frame type of a GOAWAY.
const GOAWAY_FRAME_TYPE: u8 = 7;

/// The lowest last stream id named by the GOAWAY frames received so far.
#[derive(Default)]
pub(crate) struct GoawayState {
    last_stream: Cell<Option<u32>>,
    /// Notified at each GOAWAY.
    pub received: Notify,
}

impl GoawayState {
    /// Whether a GOAWAY was received.
    pub fn is_received(&self) -> bool {
        self.last_stream.get().is_some()
    }

    /// Whether a GOAWAY states that the peer did not process this stream.
    pub fn is_beyond_last_stream(&self, stream: u32) -> bool {
        self.last_stream.get().is_some_and(|last| stream > last)
    }
}

/// The position of the scan within an HTTP/2 frame.
#[derive(Default)]
struct FrameScanner {
    head: [u8; FRAME_HEAD_BYTES],
    /// The number of bytes of `head` received so far.
    head_filled: usize,
    /// The number of payload bytes still to be received.
    payload_left: usize,
    is_goaway: bool,
    /// The last stream id of the current GOAWAY; incomplete until all four of its bytes are received.
    last_stream: u32,
    /// The number of bytes of `last_stream` received so far.
    last_stream_filled: usize,
}

impl FrameScanner {
    /// Scans the next received bytes, and records the last stream of each GOAWAY in `goaway`.
    fn scan(&mut self, mut bytes: &[u8], goaway: &GoawayState) {
        while !bytes.is_empty() {
            if self.payload_left == 0 {
                let part = bytes.len().min(FRAME_HEAD_BYTES - self.head_filled);
                self.head[self.head_filled..self.head_filled + part]
                    .copy_from_slice(&bytes[..part]);
                self.head_filled += part;
                bytes = &bytes[part..];
                if self.head_filled == FRAME_HEAD_BYTES {
                    self.head_filled = 0;
                    self.payload_left =
                        u32::from_be_bytes([0, self.head[0], self.head[1], self.head[2]]) as usize;
                    self.is_goaway = self.head[3] == GOAWAY_FRAME_TYPE;
                    (self.last_stream, self.last_stream_filled) = (0, 0);
                }
                continue;
            }
            let part = bytes.len().min(self.payload_left);
            if self.is_goaway && self.last_stream_filled < 4 {
                for byte in bytes[..part].iter().take(4 - self.last_stream_filled) {
                    self.last_stream = self.last_stream << 8 | u32::from(*byte);
                    self.last_stream_filled += 1;
                }
                if self.last_stream_filled == 4 {
                    let last = self.last_stream & 0x7fff_ffff;
                    // A later GOAWAY may lower the last stream, but never raise it (RFC 9113, 6.8), so the
                    // lowest one counts.
                    let lowest = goaway.last_stream.get().map_or(last, |old| old.min(last));
                    goaway.last_stream.set(Some(lowest));
                    goaway.received.notify_one();
                }
            }
            self.payload_left -= part;
            bytes = &bytes[part..];
        }
    }
}

/// A byte stream that records the GOAWAY frames read from it.
pub(crate) struct GoawayDetector<S> {
    io: S,
    scanner: FrameScanner,
    goaway: Rc<GoawayState>,
}

impl<S> GoawayDetector<S> {
    /// Wraps `io`; also returns the state that each received GOAWAY updates.
    pub fn new(io: S) -> (Self, Rc<GoawayState>) {
        let goaway = Rc::new(GoawayState::default());
        (
            GoawayDetector {
                io,
                scanner: FrameScanner::default(),
                goaway: goaway.clone(),
            },
            goaway,
        )
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GoawayDetector<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut this.io).poll_read(cx, buffer);
        if let Poll::Ready(Ok(())) = read {
            this.scanner
                .scan(&buffer.filled()[filled_before..], &this.goaway);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GoawayDetector<S> {
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
#[path = "goaway_detector_tests.rs"]
mod tests;
