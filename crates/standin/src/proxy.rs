//! TCP proxy that injects connection faults between a client and a stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// How the proxy treats connections, open ones and new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Bytes are forwarded.
    Forward,
    /// Connections are closed.
    Close,
    /// No bytes are forwarded, as if the server were paused.
    Stall,
}

#[derive(Clone, Copy)]
struct ProxyState {
    mode: ProxyMode,
    /// Connections of earlier generations never forward bytes again.
    generation: u64,
}

/// A proxy in front of one address; dropping it closes its connections.
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Listens on `listen` and forwards connections to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(ProxyState {
            mode: ProxyMode::Forward,
            generation: 0,
        }));
        let task = tokio::spawn(accept_connections(listener, target, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how open and new connections are treated.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.state.send_modify(|s| s.mode = mode);
    }

    /// Returns a function that sets [`ProxyMode::Forward`] and may outlive the
    /// borrow, for use after a delay.
    pub(crate) fn forward_later(&self) -> impl FnOnce() + Send + 'static {
        let state = Arc::clone(&self.state);
        move || state.send_modify(|s| s.mode = ProxyMode::Forward)
    }

    /// Stops forwarding on every open connection without closing it; new ones
    /// work.
    pub fn blackhole_connections(&self) {
        self.state.send_modify(|s| s.generation += 1);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
        self.set_mode(ProxyMode::Close);
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let generation = state.borrow().generation;
        let receiver = state.subscribe();
        tokio::spawn(forward(client, target, receiver, generation));
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<ProxyState>,
    generation: u64,
) {
    if !may_forward(&mut state, generation).await {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Without this socket option only latency suffers, so errors are ignored.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let upstream = copy_bytes(client_read, server_write, state.clone(), generation);
    let downstream = copy_bytes(server_read, client_write, state.clone(), generation);
    let closed = async {
        let is_closed = |s: &ProxyState| s.mode == ProxyMode::Close && s.generation == generation;
        // The sender is dropped with the proxy, which also ends the connection.
        let _ = state.wait_for(is_closed).await;
    };
    tokio::select! {
        _ = async { tokio::join!(upstream, downstream) } => {}
        () = closed => {}
    }
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<ProxyState>,
    generation: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if !may_forward(&mut state, generation).await || count == 0 {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may be forwarded; returns `false` if the connection must
/// be closed.
async fn may_forward(state: &mut watch::Receiver<ProxyState>, generation: u64) -> bool {
    loop {
        let current = *state.borrow_and_update();
        if current.generation == generation {
            match current.mode {
                ProxyMode::Forward => return true,
                ProxyMode::Close => return false,
                ProxyMode::Stall => {}
            }
        }
        if state.changed().await.is_err() {
            return false;
        }
    }
}
