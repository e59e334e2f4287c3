//! The options of real TCP connections.

use cindercleat_net::{Listener, Tcp, TcpFrom, Transport};

/// Guards against small writes that Nagle's algorithm delays and that are lost when the connection closes.
#[tokio::test]
async fn nagles_algorithm_is_disabled_on_both_sides_of_a_connection() {
    let mut listener = Tcp.listen("127.0.0.1:0").await.expect("a free port");
    let address = listener.address();
    let from = TcpFrom {
        from: Some([127, 0, 0, 1].into()),
    };
    for near in [Tcp.connect(&address).await, from.connect(&address).await] {
        let far = Listener::accept(&mut listener)
            .await
            .expect("connection accepted");
        let near = near.expect("connection established");
        assert!(
            near.nodelay().expect("read TCP_NODELAY") && far.nodelay().expect("read TCP_NODELAY")
        );
    }
}
