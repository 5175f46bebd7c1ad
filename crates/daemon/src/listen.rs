//! Listening sockets for servers that send many small pieces.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Binds a listener whose connections send small pieces at once.
///
/// Accepted connections inherit the option from the listening socket. Without
/// it each event of a stream waits for the acknowledgement of the one before,
/// which the other side delays by 40 ms.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
