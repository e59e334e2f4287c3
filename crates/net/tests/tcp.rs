//! Connections on sockets.

use cindercleat_net::{Listener, Tcp, TcpFrom, Transport};

/// Small writes that the system holds back go with a close: nothing may be held back.
#[tokio::test]
async fn nothing_is_held_back_on_either_side_of_a_connection() {
    let mut listener = Tcp.listen("127.0.0.1:0").await.expect("a port");
    let address = listener.address();
    let from = TcpFrom {
        from: Some([127, 0, 0, 1].into()),
    };
    for near in [Tcp.connect(&address).await, from.connect(&address).await] {
        let far = Listener::accept(&mut listener).await.expect("accepted");
        assert!(near.expect("connected").nodelay().expect("told") && far.nodelay().expect("told"));
    }
}
