//! What sessions ask of TCP sockets. Other byte streams, such as those in memory, have no such operations.

use cindercleat_protocol::session::ByteStream;
use std::any::Any;
use tokio::io::Interest;
use tokio::net::TcpStream;

fn as_socket<S: ByteStream>(io: &S) -> Option<&TcpStream> {
    (io as &dyn Any).downcast_ref::<TcpStream>()
}

/// Makes closing the connection send a reset. Otherwise, if the engine's machine is unreachable, the system keeps
/// retransmitting a cancelled request after a normal close, and delivers it when the machine returns. In-memory
/// connections have no unsent data and are left unchanged.
pub(crate) fn discard_unsent<S: ByteStream>(io: &S) {
    if let Some(stream) = as_socket(io) {
        // Setting the option fails only if the connection is gone, and then there is nothing to discard.
        let _ = stream.set_zero_linger();
    }
}

/// Whether the peer has closed or reset the connection, also if unread input lies before the end. False for a byte
/// stream that is not a socket.
pub(crate) async fn is_closed_by_peer<S: ByteStream>(io: &S) -> bool {
    let Some(stream) = as_socket(io) else {
        return false;
    };
    tokio::select! { biased;
        ready = stream.ready(Interest::READABLE) => ready.map_or(true, |ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}
