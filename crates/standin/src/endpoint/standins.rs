//! Servers, proxies and faults of many endpoint stand-ins in one process.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bulrushhoist_core::{VmName, VmRecord, VmStatus};
use bulrushhoist_daemon::listen;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use serde::{Deserialize, Serialize};

use super::ledger::{Ledger, LedgerReport};
use super::model::EndpointSettings;
use super::server;
use super::vm::Vm;
use crate::proxy::{FaultProxy, ProxyMode};

/// Number, placement and ports of the VMs.
#[derive(Clone, Debug)]
pub struct EndpointLayout {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Number of fabric domains in each data centre.
    pub domains: u32,
    /// Number of VMs in each fabric domain.
    pub vms: u32,
    /// Port of the first VM; the others use the ports after it. 0 picks free
    /// ports.
    pub first_port: u16,
}

/// Factor by which [`VmFault::SlowTokens`] lengthens the time between parts.
const SLOW_TOKENS_FACTOR: u32 = 30;

/// A fault that is injected at one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmFault {
    /// The process crashes and restarts without weights after
    /// [`EndpointSettings::restart_time`].
    Crash,
    /// The VM is lost until [`VmFault::Return`].
    Die,
    /// Connections stall until [`VmFault::Return`].
    Freeze,
    /// Open connections stall for good; new ones work.
    Silence,
    /// The endpoint turns cold without a restart.
    TurnCold,
    /// Parts after the first take many times longer until
    /// [`VmFault::Return`]; probes are still answered in time.
    SlowTokens,
    /// The platform lists the VM as leaving.
    Leave,
    /// Forwards connections again and clears the slowdown and the leaving flag.
    Return,
}

struct VmServer {
    vm: Arc<Vm>,
    proxy: Option<FaultProxy>,
    server_handle: ServerHandle,
}

/// The running endpoint stand-ins; dropping them stops their servers.
pub struct EndpointStandins {
    settings: EndpointSettings,
    ledger: Arc<Ledger>,
    servers: Mutex<Vec<VmServer>>,
}

impl EndpointStandins {
    /// Starts every VM of a layout.
    pub async fn start(layout: &EndpointLayout, settings: EndpointSettings) -> io::Result<Self> {
        let ledger = Arc::new(Ledger::default());
        let mut servers = Vec::new();
        let mut port = layout.first_port;
        for data_centre in &layout.data_centres {
            for domain in 0..layout.domains {
                for vm in 0..layout.vms {
                    let domain = format!("{data_centre}-d{domain}");
                    let record = VmRecord {
                        vm: parse(&format!("{domain}-v{vm}"))?,
                        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
                        data_centre: parse(data_centre)?,
                        domain: parse(&domain)?,
                        leaving: false,
                    };
                    servers.push(start_vm(record, settings, &ledger).await?);
                    port = if port == 0 { 0 } else { port + 1 };
                }
            }
        }
        Ok(Self {
            settings,
            ledger,
            servers: Mutex::new(servers),
        })
    }

    fn with_vm<T>(&self, vm: &VmName, action: impl FnOnce(&VmServer) -> T) -> Option<T> {
        let servers = self
            .servers
            .lock()
            .expect("no thread panics while it holds the lock");
        servers.iter().find(|s| s.vm.record().vm == *vm).map(action)
    }

    /// Returns the record of every VM, as the platform lists it.
    #[must_use]
    pub fn records(&self) -> Vec<VmRecord> {
        let servers = self
            .servers
            .lock()
            .expect("no thread panics while it holds the lock");
        servers.iter().map(|s| s.vm.record()).collect()
    }

    /// Returns the status of every VM.
    #[must_use]
    pub fn statuses(&self) -> Vec<VmStatus> {
        let servers = self
            .servers
            .lock()
            .expect("no thread panics while it holds the lock");
        servers.iter().map(|s| s.vm.status()).collect()
    }

    /// Injects a fault at a VM; returns whether the VM exists.
    ///
    /// Faults of connections need [`EndpointSettings::proxied`].
    pub fn set_fault(&self, vm: &VmName, fault: VmFault) -> bool {
        let restart_time = self.settings.restart_time;
        self.with_vm(vm, |server| server.apply_fault(fault, restart_time))
            .is_some()
    }

    /// Returns the number of executions of calls with exactly this body.
    #[must_use]
    pub fn executions(&self, body: &[u8]) -> u32 {
        self.ledger.executions(body)
    }

    /// Summarises the executions of calls whose body contains `marker`.
    #[must_use]
    pub fn ledger(&self, marker: &str) -> LedgerReport {
        self.ledger.report(marker.as_bytes())
    }
}

impl VmServer {
    fn apply_fault(&self, fault: VmFault, restart_time: Duration) {
        match fault {
            VmFault::Crash => {
                self.vm.crash();
                self.set_mode(ProxyMode::Close);
                self.forward_after(restart_time);
            }
            VmFault::Die => {
                self.vm.crash();
                self.set_mode(ProxyMode::Close);
            }
            VmFault::Freeze => self.set_mode(ProxyMode::Stall),
            VmFault::Silence => {
                if let Some(proxy) = &self.proxy {
                    proxy.blackhole_connections();
                }
            }
            VmFault::TurnCold => self.vm.turn_cold(),
            VmFault::SlowTokens => self.vm.set_part_slowdown(SLOW_TOKENS_FACTOR),
            VmFault::Leave => self.set_leaving(true),
            VmFault::Return => {
                self.set_leaving(false);
                self.vm.set_part_slowdown(1);
                self.set_mode(ProxyMode::Forward);
            }
        }
    }

    fn set_mode(&self, mode: ProxyMode) {
        if let Some(proxy) = &self.proxy {
            proxy.set_mode(mode);
        }
    }

    fn forward_after(&self, restart_time: Duration) {
        let Some(forward) = self.proxy.as_ref().map(FaultProxy::forward_later) else {
            return;
        };
        tokio::spawn(async move {
            tokio::time::sleep(restart_time).await;
            forward();
        });
    }

    fn set_leaving(&self, leaving: bool) {
        let mut record = self
            .vm
            .record
            .lock()
            .expect("no thread panics while it holds the lock");
        record.leaving = leaving;
    }
}

impl Drop for EndpointStandins {
    fn drop(&mut self) {
        let servers = self
            .servers
            .lock()
            .expect("no thread panics while it holds the lock");
        for server in servers.iter() {
            server.server_handle.stop_forceful();
        }
    }
}

async fn start_vm(
    mut record: VmRecord,
    settings: EndpointSettings,
    ledger: &Arc<Ledger>,
) -> io::Result<VmServer> {
    let public_address = record.address;
    let server_address = if settings.proxied {
        SocketAddr::new(public_address.ip(), 0)
    } else {
        public_address
    };
    let acceptor = TcpAcceptor::try_from(listen(server_address)?)?;
    let server_address = acceptor.local_addr()?;
    let proxy = match settings.proxied {
        true => Some(FaultProxy::start(public_address, server_address).await?),
        false => None,
    };
    record.address = proxy.as_ref().map_or(server_address, FaultProxy::address);
    let vm = Vm::new(record, settings, Arc::clone(ledger));
    let server = Server::new(acceptor).disable_fuse();
    let handle = server.handle();
    tokio::spawn(server.serve(server::router(&vm)));
    Ok(VmServer {
        vm,
        proxy,
        server_handle: handle,
    })
}

fn parse<T: std::str::FromStr>(text: &str) -> io::Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    text.parse().map_err(io::Error::other)
}
