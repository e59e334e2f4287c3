//! gRPC's length-prefixed messages on a stream of HTTP/2: a flag for compression, four bytes of length, the
//! message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use prost::Message;
use std::future::poll_fn;

const HEAD: usize = 5;

/// Why there is no next message.
#[derive(Debug)]
pub enum Stop {
    /// The stream ended in order; trailers may follow.
    End,
    Broken(h2::Error),
    /// What came is no message: its reason.
    Malformed(String),
    /// It is compressed, which is not spoken here.
    Compressed,
}

pub fn encode(message: &impl Message) -> Bytes {
    let mut out = BytesMut::with_capacity(HEAD + message.encoded_len());
    out.put_u8(0);
    out.put_u32(u32::try_from(message.encoded_len()).unwrap_or(u32::MAX));
    // A BytesMut grows, so there is always room.
    let _ = message.encode(&mut out);
    out.freeze()
}

/// The messages of one direction of a call.
pub struct Messages {
    from: RecvStream,
    pending: BytesMut,
    most: usize,
}

impl Messages {
    pub fn new(from: RecvStream, most: usize) -> Self {
        Messages {
            from,
            pending: BytesMut::new(),
            most,
        }
    }

    pub fn stream(&mut self) -> &mut RecvStream {
        &mut self.from
    }

    /// The next message's bytes. What has been taken is given back to the sender's window, so a message that
    /// is not asked for holds its sender back.
    pub async fn next(&mut self) -> Result<Bytes, Stop> {
        loop {
            if self.pending.len() >= HEAD {
                let bytes = (&self.pending[1..HEAD]).get_u32() as usize;
                if self.pending[0] != 0 {
                    return Err(Stop::Compressed);
                }
                if bytes > self.most {
                    let why = format!(
                        "a message of {bytes} bytes, over the bound of {}",
                        self.most
                    );
                    return Err(Stop::Malformed(why));
                }
                if self.pending.len() >= HEAD + bytes {
                    self.pending.advance(HEAD);
                    return Ok(self.pending.split_to(bytes).freeze());
                }
            }
            match self.from.data().await {
                Some(Ok(data)) => {
                    // A stream that is over has no window to give back to.
                    let _ = self.from.flow_control().release_capacity(data.len());
                    self.pending.put(data);
                }
                Some(Err(problem)) => return Err(Stop::Broken(problem)),
                None if self.pending.is_empty() => return Err(Stop::End),
                None => {
                    return Err(Stop::Malformed(
                        "the stream ends within a message".to_owned(),
                    ))
                }
            }
        }
    }
}

/// Sends bytes as the other side's windows allow.
///
/// # Errors
/// The stream is over.
pub async fn send(
    to: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    last: bool,
) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        to.reserve_capacity(bytes.len());
        let room = match poll_fn(|cx| to.poll_capacity(cx)).await {
            Some(room) => room?,
            None => return Err(h2::Reason::STREAM_CLOSED.into()),
        };
        let part = bytes.split_to(room.min(bytes.len()));
        let ends = last && bytes.is_empty();
        to.send_data(part, ends)?;
    }
    Ok(())
}
