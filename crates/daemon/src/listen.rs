//! Listening sockets for servers that send many small messages.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Binds a listener whose connections send small messages without delay
/// (`TCP_NODELAY`).
///
/// Accepted connections inherit the option from the listening socket. Without it each
/// event of a stream waits for the acknowledgement of the one before, which the
/// receiver delays by 40 ms.
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
