//! Listening sockets.

use bulrushhoist_daemon::listen;
use tokio::net::TcpStream;

#[tokio::test]
async fn accepted_connections_send_small_pieces_at_once() {
    let listener = listen("127.0.0.1:0".parse().expect("a sound address")).expect("a port is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    client.expect("the listener accepts");
    let (accepted, _) = accepted.expect("the client connects");
    assert!(accepted.nodelay().expect("the option can be read"));
}
