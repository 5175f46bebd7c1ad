//! A TCP relay with faults between a client and a stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of one copy, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Connections work.
    Open,
    /// Open connections are cut and new ones are cut at once.
    Cut,
    /// Nothing moves, as if the far end were paused.
    Frozen,
}

#[derive(Clone, Copy)]
struct Switch {
    mode: RelayMode,
    /// Connections older than this generation are silent for good.
    generation: u64,
}

/// A relay in front of one address.
pub struct Relay {
    address: SocketAddr,
    switch: Arc<watch::Sender<Switch>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on `listen` and relays to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let switch = Arc::new(watch::Sender::new(Switch {
            mode: RelayMode::Open,
            generation: 0,
        }));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&switch)));
        Ok(Self {
            address,
            switch,
            task,
        })
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections, old and new.
    pub fn set_mode(&self, mode: RelayMode) {
        self.switch.send_modify(|s| s.mode = mode);
    }

    /// Returns a function that opens the relay, for use after a wait.
    pub(crate) fn opener(&self) -> impl FnOnce() + Send + 'static {
        let switch = Arc::clone(&self.switch);
        move || switch.send_modify(|s| s.mode = RelayMode::Open)
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence_open(&self) {
        self.switch.send_modify(|s| s.generation += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        self.set_mode(RelayMode::Cut);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, switch: Arc<watch::Sender<Switch>>) {
    while let Ok((client, _)) = listener.accept().await {
        let generation = switch.borrow().generation;
        let receiver = switch.subscribe();
        tokio::spawn(relay(client, target, receiver, generation));
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    mut switch: watch::Receiver<Switch>,
    generation: u64,
) {
    if !may_pass(&mut switch, generation).await {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Only latency suffers where this socket option is not to be had.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let up = copy(client_read, server_write, switch.clone(), generation);
    let down = copy(server_read, client_write, switch.clone(), generation);
    let cut = async {
        let is_cut = |s: &Switch| s.mode == RelayMode::Cut && s.generation == generation;
        // The sender lives as long as the relay; its end is the end of the connection.
        let _ = switch.wait_for(is_cut).await;
    };
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        () = cut => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut switch: watch::Receiver<Switch>,
    generation: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if !may_pass(&mut switch, generation).await || count == 0 {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass; returns whether the connection goes on at all.
async fn may_pass(switch: &mut watch::Receiver<Switch>, generation: u64) -> bool {
    loop {
        let now = *switch.borrow_and_update();
        if now.generation == generation {
            match now.mode {
                RelayMode::Open => return true,
                RelayMode::Cut => return false,
                RelayMode::Frozen => {}
            }
        }
        if switch.changed().await.is_err() {
            return false;
        }
    }
}
