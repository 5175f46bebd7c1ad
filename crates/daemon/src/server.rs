//! Starts and stops a daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{DataCentreName, ServiceState};
use bulrushhoist_engine::{EndpointError, HttpEndpointClient, HttpEndpointSettings};
use bulrushhoist_store::{HttpPlatform, PlatformError, Store};
use derive_more::{Display, Error, From};
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::listen::listen;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::settings::Settings;
use crate::stop::{StopReport, drain};
use crate::{callers, controllers, operators};

/// Time for open connections to close after the last request.
const CONNECTION_GRACE: Duration = Duration::from_millis(500);

/// Why a daemon could not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// An address could not be bound.
    #[display("cannot listen on {address}: {cause}")]
    #[from(skip)]
    Listen {
        /// The address.
        #[error(not(source))]
        address: SocketAddr,
        /// The cause.
        #[error(source)]
        cause: io::Error,
    },
    /// The platform client could not be set up.
    #[display("platform client: {_0}")]
    Platform(PlatformError),
    /// The endpoint client could not be set up.
    #[display("endpoint client: {_0}")]
    Endpoint(EndpointError),
    /// The client that forwards requests to other entries could not be set up.
    #[display("forwarding client: {_0}")]
    Forwarder(reqwest::Error),
    /// The metrics could not be set up.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
}

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    tasks: JoinSet<()>,
    servers: Vec<ServerHandle>,
}

impl Daemon {
    /// Starts a daemon with network clients and servers.
    ///
    /// Port 0 in the settings selects a free port, which [`Daemon::caller_address`] and
    /// [`Daemon::operator_address`] return.
    pub async fn start(mut settings: Settings, log: Logger) -> Result<Self, StartError> {
        let caller = bind(&mut settings.caller_address)?;
        let peer = bind(&mut settings.peer_address)?;
        let operator = bind(&mut settings.operator_address)?;
        let platform =
            HttpPlatform::new(settings.platform_address, settings.timing.platform_timeout)?;
        let endpoints = HttpEndpointClient::new(HttpEndpointSettings::default())?;
        let store = Store::new(Arc::new(platform));
        let metrics = Metrics::new()?;
        let forwarder = forwarding_client()?;
        let limits = settings.limits;
        let node = Node::new(
            settings,
            log,
            metrics,
            store,
            Arc::new(endpoints),
            forwarder,
        );
        let mut tasks = controllers::start(&node);
        tasks.spawn(controllers::join(Arc::clone(&node)));
        let peers = Arc::clone(&node);
        tasks.spawn(async move {
            if let Err(cause) = controllers::serve_peers(Arc::clone(&peers), peer).await {
                slog::error!(peers.log, "peer server failed"; "cause" => %cause);
            }
        });
        let fuse = FuseConfig::default()
            .with_connection_idle_timeout(limits.idle_timeout)
            .with_request_body_timeout(limits.max_body_gap);
        let servers = vec![
            serve(caller, callers::router(&node), fuse, limits.max_connections)?,
            serve(
                operator,
                operators::router(&node),
                fuse,
                limits.max_connections,
            )?,
        ];
        Ok(Self {
            node,
            tasks,
            servers,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.node.settings.caller_address
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.node.settings.operator_address
    }

    /// Returns whether the daemon accepts requests: it has joined, has a current
    /// configuration and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Returns whether as many replicas are serving as are declared.
    #[must_use]
    pub fn is_fully_serving(&self) -> bool {
        self.node.is_fully_serving()
    }

    /// Returns whether a data centre is out of service in this daemon's view.
    #[must_use]
    pub fn is_out_of_service(&self, data_centre: &DataCentreName) -> bool {
        self.node.view().service.state(data_centre) == ServiceState::Out
    }

    /// Performs a planned stop: finishes the requests in progress, then leaves the
    /// register.
    pub async fn stop(mut self) -> StopReport {
        let report = drain(&self.node).await;
        for server in &self.servers {
            server.stop_graceful(CONNECTION_GRACE);
        }
        tokio::time::sleep(CONNECTION_GRACE).await;
        self.tasks.shutdown().await;
        report
    }
}

/// Binds an address and replaces port 0 in it by the bound port.
fn bind(address: &mut SocketAddr) -> Result<TcpListener, StartError> {
    let failed = |cause| StartError::Listen {
        address: *address,
        cause,
    };
    let listener = listen(*address).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// Serves a router on a listener with limits on its connections.
fn serve(
    listener: TcpListener,
    router: Router,
    fuse: FuseConfig,
    connections: usize,
) -> Result<ServerHandle, StartError> {
    let address = listener.local_addr().ok();
    let failed = |cause| StartError::Listen {
        address: address.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
        cause,
    };
    let acceptor = TcpAcceptor::try_from(listener).map_err(failed)?;
    let server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(connections);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    Ok(handle)
}

/// Builds the client that forwards requests; it never retries, because a forwarded
/// request may have run.
fn forwarding_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .http2_prior_knowledge()
        .http2_keep_alive_interval(Duration::from_secs(1))
        .http2_keep_alive_timeout(Duration::from_secs(1))
        .connect_timeout(Duration::from_millis(500))
        .tcp_nodelay(true)
        .build()
}
