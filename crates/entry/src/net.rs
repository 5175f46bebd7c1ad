//! TCP sockets whose options make a connection fail soon after the other end is gone.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`). Twice the
/// longest round trip with one retransmission stays well below it.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same for callers of an entry that reads streams ahead. The timeout also ends a
/// connection whose other end is alive but has had a full receive buffer for this long;
/// 2.5 s cut off callers that pause longer while the entry holds their events. A caller may
/// have a later deadline and is then still cut off.
const READ_AHEAD_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which keep-alive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval of keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes that end a connection.
const KEEPALIVE_PROBES: u32 = 3;
/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Sets the options of an accepted connection: no delay, keep-alive and a timeout for sent
/// bytes. `reads_ahead`: it is a caller's, and streams may be read ahead for it.
pub(crate) fn set_options(stream: &TcpStream, reads_ahead: bool) -> io::Result<()> {
    let user_timeout = match reads_ahead {
        true => READ_AHEAD_USER_TIMEOUT,
        false => USER_TIMEOUT,
    };
    set_timeouts(stream, user_timeout)
}

fn set_timeouts(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Opens a connection within a time limit.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(limit, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_timeouts(&stream, USER_TIMEOUT)?;
    Ok(stream)
}

#[cfg(test)]
#[path = "../tests/unit/net.rs"]
mod tests;
