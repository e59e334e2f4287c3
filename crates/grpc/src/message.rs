//! gRPC's length-prefixed messages on an HTTP/2 stream: a compression flag, four bytes of length, the message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use prost::Message;
use std::future::poll_fn;

/// The size of the prefix: the compression flag and the length.
const PREFIX_BYTES: usize = 5;

/// The reason why no further message can be read.
#[derive(Debug)]
pub enum ReadError {
    /// The peer ended the stream between messages; trailers may follow.
    EndOfStream,
    /// The stream was reset or the connection failed.
    Broken(h2::Error),
    /// The bytes are not a valid message; the text gives the reason.
    Malformed(String),
    /// The message is compressed, which this crate does not support.
    Compressed,
}

/// Encodes a message with its prefix, uncompressed.
pub fn encode(message: &impl Message) -> Bytes {
    let mut out = BytesMut::with_capacity(PREFIX_BYTES + message.encoded_len());
    out.put_u8(0);
    out.put_u32(u32::try_from(message.encoded_len()).unwrap_or(u32::MAX));
    // Encoding fails only if the buffer is full, and a BytesMut grows as needed.
    let _ = message.encode(&mut out);
    out.freeze()
}

/// Reads the messages of one direction of a call. A message longer than `max_bytes` is an error.
pub struct MessageReader {
    stream: RecvStream,
    pending: BytesMut,
    max_bytes: usize,
}

impl MessageReader {
    pub fn new(stream: RecvStream, max_bytes: usize) -> Self {
        MessageReader {
            stream,
            pending: BytesMut::new(),
            max_bytes,
        }
    }

    pub fn stream(&mut self) -> &mut RecvStream {
        &mut self.stream
    }

    /// Reads the next message. Reading returns capacity to the sender's flow-control window, so the sender has to wait
    /// while its messages are not read.
    pub async fn next(&mut self) -> Result<Bytes, ReadError> {
        loop {
            if self.pending.len() >= PREFIX_BYTES {
                let bytes = (&self.pending[1..PREFIX_BYTES]).get_u32() as usize;
                if self.pending[0] != 0 {
                    return Err(ReadError::Compressed);
                }
                if bytes > self.max_bytes {
                    let reason = format!(
                        "a message of {bytes} bytes, over the bound of {}",
                        self.max_bytes
                    );
                    return Err(ReadError::Malformed(reason));
                }
                if self.pending.len() >= PREFIX_BYTES + bytes {
                    self.pending.advance(PREFIX_BYTES);
                    return Ok(self.pending.split_to(bytes).freeze());
                }
            }
            match self.stream.data().await {
                Some(Ok(data)) => {
                    // Fails only on a stream that has ended, whose window is no longer needed.
                    let _ = self.stream.flow_control().release_capacity(data.len());
                    self.pending.put(data);
                }
                Some(Err(error)) => return Err(ReadError::Broken(error)),
                None if self.pending.is_empty() => return Err(ReadError::EndOfStream),
                None => {
                    return Err(ReadError::Malformed(
                        "the stream ends within a message".to_owned(),
                    ))
                }
            }
        }
    }
}

/// Sends bytes as fast as the peer's flow-control windows allow.
///
/// # Errors
/// Returns an error if the stream was reset or the connection has ended.
pub async fn send(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end_of_stream: bool,
) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = match poll_fn(|cx| stream.poll_capacity(cx)).await {
            Some(capacity) => capacity?,
            None => return Err(h2::Reason::STREAM_CLOSED.into()),
        };
        let part = bytes.split_to(capacity.min(bytes.len()));
        let ends = end_of_stream && bytes.is_empty();
        stream.send_data(part, ends)?;
    }
    Ok(())
}
