//! Tests of listening sockets.

use bulrushhoist_daemon::listen;
use tokio::net::TcpStream;

// Without `TCP_NODELAY` each small event of a stream waits up to 40 ms for the
// acknowledgement of the one before.
#[tokio::test]
async fn accepted_connections_have_no_delay_for_small_messages() {
    let listener = listen("127.0.0.1:0".parse().expect("a valid address")).expect("a port is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    client.expect("the listener accepts");
    let (accepted, _) = accepted.expect("the client connects");
    assert!(accepted.nodelay().expect("the option can be read"));
}
