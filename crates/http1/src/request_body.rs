//! The body of a request while it arrives, with the memory that it holds.

use crate::framing::Length;
use crate::memory::{counted, Reservation};
use bytes::Bytes;

/// The part of a body that has arrived. Its whole buffer is counted, not only the bytes in it.
pub(crate) struct RequestBody {
    bytes: Vec<u8>,
    /// The largest buffer that the body can need, in bytes.
    max_capacity: usize,
    memory: Reservation,
}

impl RequestBody {
    /// Creates an empty body of the given length. `max_bytes` is the largest body accepted.
    pub fn new(length: Length, max_bytes: usize, memory: Reservation) -> Self {
        let max_capacity = match length {
            Length::Known(bytes) => {
                usize::try_from(bytes).map_or(max_bytes, |bytes| bytes.min(max_bytes))
            }
            Length::Chunked | Length::UntilClose => max_bytes,
        };
        RequestBody {
            bytes: Vec::new(),
            max_capacity,
            memory,
        }
    }

    /// The number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends bytes. The buffer grows with what has arrived, never ahead to a length that a client only claims.
    pub fn extend(&mut self, data: &[u8]) {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.max((2 * self.bytes.capacity()).min(self.max_capacity));
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        self.memory.set(self.bytes.capacity());
    }

    /// Whether the memory for requests is exceeded, so that this body has to be refused.
    pub fn is_over_limit(&self) -> bool {
        self.memory.is_over_limit()
    }

    /// The complete body. It counts until its last clone is dropped.
    pub fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        counted(self.bytes, self.memory)
    }
}
