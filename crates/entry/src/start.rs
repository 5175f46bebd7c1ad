//! Waits for what a start needs while the platform or an earlier process holds it back.
//!
//! The settings file may be written as the process starts, and a process that ends keeps
//! its addresses until its last request is done. Neither is a reason to end.

use std::io::{self, Write as _};
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::logging::logger;
use crate::metrics::Metrics;
use crate::net;
use crate::node::Node;
use crate::peers::PeerSocket;
use crate::run::StartError;
use crate::settings::{Listen, ReadSettings, Settings};

/// Time for which usable settings are waited for.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time beyond the grace period for which an earlier process may hold an address.
const ADDRESS_MARGIN: Duration = Duration::from_secs(2);
/// Pause before something is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The sockets of a process. Each listener is bound before any is served.
pub(crate) struct Sockets {
    pub(crate) peers: PeerSocket,
    pub(crate) relay: TcpListener,
    /// Readiness and the directory.
    pub(crate) local: Vec<TcpListener>,
    pub(crate) callers: TcpListener,
    /// Missing if its address can't be used, since callers don't need it.
    pub(crate) metrics: Option<TcpListener>,
}

/// Reads the settings, waiting for a file that isn't there or isn't complete.
async fn wait_for_settings(read_settings: ReadSettings) -> Result<Settings, StartError> {
    let end = Instant::now() + SETTINGS_TIMEOUT;
    let mut reported = false;
    loop {
        let error = match read_settings() {
            Ok(settings) => return Ok(settings),
            Err(error) => error,
        };
        if Instant::now() >= end {
            return Err(StartError::Settings(error));
        }
        if !std::mem::replace(&mut reported, true) {
            // There is no logger without settings, and no harm if nobody reads the line.
            let _ = writeln!(io::stderr(), "waiting for settings: {error}");
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Reads the settings, builds the node and binds its sockets.
pub(crate) async fn start(
    read_settings: ReadSettings,
    dialect: Rc<dyn Dialect>,
) -> Result<(Rc<Node>, Sockets), StartError> {
    let settings = wait_for_settings(read_settings).await?;
    let log = logger(&settings.node);
    let listen = settings.listen.clone();
    let limit = settings.bounds.grace + ADDRESS_MARGIN;
    let node = Rc::new(Node::new(settings, dialect, log, Metrics::new()?));
    let sockets = bind(&node.log, &listen, Instant::now() + limit).await?;
    Ok((node, sockets))
}

async fn bind(log: &Logger, listen: &Listen, end: Instant) -> io::Result<Sockets> {
    // An earlier process holds this one until it exits, and closes that of callers before.
    let peers = when_free(log, "peers", end, || PeerSocket::bind(listen.peers)).await?;
    let relay = when_free(log, "relay", end, || net::listen(listen.peers)).await?;
    let readiness = when_free(log, "readiness", end, || net::listen(listen.readiness)).await?;
    let mut local = vec![readiness];
    if listen.directory != listen.readiness {
        local.push(when_free(log, "directory", end, || net::listen(listen.directory)).await?);
    }
    let callers = when_free(log, "callers", end, || net::listen(listen.callers)).await?;
    let metrics = net::listen(listen.metrics);
    Ok(Sockets {
        peers,
        relay,
        local,
        callers,
        metrics: metrics
            .inspect_err(|error| warn!(log, "metrics not served"; "cause" => %error))
            .ok(),
    })
}

/// Binds an address, and waits until `end` while another process holds it or the machine
/// doesn't have it yet.
async fn when_free<T>(
    log: &Logger,
    name: &str,
    end: Instant,
    bind: impl Fn() -> io::Result<T>,
) -> io::Result<T> {
    let mut reported = false;
    loop {
        let error = match bind() {
            Ok(socket) => return Ok(socket),
            Err(error) => error,
        };
        let passes = matches!(
            error.kind(),
            io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
        );
        if !passes || Instant::now() >= end {
            return Err(error);
        }
        if !std::mem::replace(&mut reported, true) {
            warn!(log, "waiting for an address"; "of" => name, "cause" => %error);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
