//! Options of accepted connections.

use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Guards against deployments without streams that are read ahead, and other listeners, that
/// notice vanished callers later than before.
#[tokio::test]
async fn every_accepted_connection_gets_the_longer_timeout() {
    let listener = super::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    for (reads_ahead, limit_ms) in [(false, 2_500), (true, 10_000)] {
        let _caller = TcpStream::connect(address).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        super::set_options(&accepted, reads_ahead).unwrap();
        let set = SockRef::from(&accepted).tcp_user_timeout().unwrap();
        assert_eq!(set, Some(Duration::from_millis(limit_ms)));
    }
}
