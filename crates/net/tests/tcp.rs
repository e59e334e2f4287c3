//! The socket options that are set on TCP connections.

use cindercleat_net::{Listener, Tcp, TcpFrom, Transport};

/// Guards against small writes that Nagle's algorithm delays and that are lost when the connection closes.
#[tokio::test]
async fn nagles_algorithm_is_disabled_on_both_sides_of_a_connection() {
    let mut listener = Tcp.listen("127.0.0.1:0").await.expect("port available");
    let address = listener.address();
    let from_loopback = TcpFrom {
        local_address: Some([127, 0, 0, 1].into()),
    };
    for client in [
        Tcp.connect(&address).await,
        from_loopback.connect(&address).await,
    ] {
        let server = Listener::accept(&mut listener)
            .await
            .expect("connection accepted");
        let client = client.expect("connection established");
        assert!(
            client.nodelay().expect("TCP_NODELAY can be read")
                && server.nodelay().expect("TCP_NODELAY can be read")
        );
    }
}
