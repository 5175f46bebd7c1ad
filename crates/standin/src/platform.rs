//! Stand-in of the platform: object API and VM list, with injected faults.

mod server;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushhoist_core::VmRecord;
use bulrushhoist_daemon::listen;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;

pub use state::PlatformFaults;
use state::State;

/// A running stand-in of the platform; dropping it stops the server.
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<State>,
    handle: ServerHandle,
}

impl PlatformStandin {
    /// Starts the stand-in; port 0 picks a free port.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let acceptor = TcpAcceptor::try_from(listen(address)?)?;
        let address = acceptor.local_addr()?;
        let state = Arc::new(State::default());
        let server = Server::new(acceptor).disable_fuse();
        let handle = server.handle();
        tokio::spawn(server.serve(server::router(&state)));
        Ok(Self {
            address,
            state,
            handle,
        })
    }

    /// Returns the address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the VM list, which callers see after [`PlatformFaults::list_lag_ms`].
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.state.set_vms(vms);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the number of calls received so far; a waiting watch is one call.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls()
    }

    /// Returns the number of writes that took effect so far.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.state.writes()
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.handle.stop_forceful();
    }
}
