//! Many endpoint stand-ins in one process.

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
use super::model::FarmSettings;
use super::server;
use super::vm::Vm;
use crate::relay::{Relay, RelayMode};

/// Which VMs there are.
#[derive(Clone, Debug)]
pub struct FarmLayout {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Fabric domains in each data centre.
    pub domains: u32,
    /// VMs in each fabric domain.
    pub vms: u32,
    /// First port, or 0 for free ones.
    pub first_port: u16,
}

/// Times that the parts of a slow endpoint's answers take longer.
const SLOWDOWN: u32 = 30;

/// A fault of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmFault {
    /// The process ends and comes back empty after a while.
    Crash,
    /// The VM is gone until [`VmFault::Return`].
    Die,
    /// Nothing moves until [`VmFault::Return`].
    Freeze,
    /// Open connections go silent for good; new ones work.
    Silence,
    /// The endpoint turns cold without an announcement.
    TurnCold,
    /// The parts of answers after the first come many times slower until
    /// [`VmFault::Return`]; everything else is as before.
    SlowTokens,
    /// The platform lists the VM as leaving.
    Leave,
    /// The VM works again.
    Return,
}

struct Place {
    vm: Arc<Vm>,
    relay: Option<Relay>,
    server: ServerHandle,
}

/// The running stand-ins.
pub struct Farm {
    settings: FarmSettings,
    ledger: Arc<Ledger>,
    places: Mutex<Vec<Place>>,
}

impl Farm {
    /// Starts every VM of a layout.
    pub async fn start(layout: &FarmLayout, settings: FarmSettings) -> io::Result<Self> {
        let ledger = Arc::new(Ledger::default());
        let mut places = Vec::new();
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
                    places.push(start_vm(record, settings, &ledger).await?);
                    port = if port == 0 { 0 } else { port + 1 };
                }
            }
        }
        Ok(Self {
            settings,
            ledger,
            places: Mutex::new(places),
        })
    }

    fn with<T>(&self, vm: &VmName, act: impl FnOnce(&Place) -> T) -> Option<T> {
        let places = self
            .places
            .lock()
            .expect("no thread panics while it holds the lock");
        places.iter().find(|p| p.vm.record().vm == *vm).map(act)
    }

    /// Returns every VM as the platform would list it.
    #[must_use]
    pub fn records(&self) -> Vec<VmRecord> {
        let places = self
            .places
            .lock()
            .expect("no thread panics while it holds the lock");
        places.iter().map(|p| p.vm.record()).collect()
    }

    /// Returns every VM's report.
    #[must_use]
    pub fn statuses(&self) -> Vec<VmStatus> {
        let places = self
            .places
            .lock()
            .expect("no thread panics while it holds the lock");
        places.iter().map(|p| p.vm.status()).collect()
    }

    /// Makes a VM show a fault; returns whether there is such a VM.
    pub fn fault(&self, vm: &VmName, fault: VmFault) -> bool {
        let restart = self.settings.restart;
        self.with(vm, |place| place.show(fault, restart)).is_some()
    }

    /// Returns how often calls with exactly this body were executed.
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

impl Place {
    fn show(&self, fault: VmFault, restart: Duration) {
        match fault {
            VmFault::Crash => {
                self.vm.crash();
                self.set_mode(RelayMode::Cut);
                self.reopen_after(restart);
            }
            VmFault::Die => {
                self.vm.crash();
                self.set_mode(RelayMode::Cut);
            }
            VmFault::Freeze => self.set_mode(RelayMode::Frozen),
            VmFault::Silence => {
                if let Some(relay) = &self.relay {
                    relay.silence_open();
                }
            }
            VmFault::TurnCold => self.vm.turn_cold(),
            VmFault::SlowTokens => self.vm.set_slowdown(SLOWDOWN),
            VmFault::Leave => self.set_leaving(true),
            VmFault::Return => {
                self.set_leaving(false);
                self.vm.set_slowdown(1);
                self.set_mode(RelayMode::Open);
            }
        }
    }

    fn set_mode(&self, mode: RelayMode) {
        if let Some(relay) = &self.relay {
            relay.set_mode(mode);
        }
    }

    fn reopen_after(&self, restart: Duration) {
        let Some(reopen) = self.relay.as_ref().map(Relay::opener) else {
            return;
        };
        tokio::spawn(async move {
            tokio::time::sleep(restart).await;
            reopen();
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

impl Drop for Farm {
    fn drop(&mut self) {
        let places = self
            .places
            .lock()
            .expect("no thread panics while it holds the lock");
        for place in places.iter() {
            place.server.stop_forceful();
        }
    }
}

async fn start_vm(
    mut record: VmRecord,
    settings: FarmSettings,
    ledger: &Arc<Ledger>,
) -> io::Result<Place> {
    let public = record.address;
    let inner = if settings.relays {
        SocketAddr::new(public.ip(), 0)
    } else {
        public
    };
    let acceptor = TcpAcceptor::try_from(listen(inner)?)?;
    let inner = acceptor.local_addr()?;
    let relay = match settings.relays {
        true => Some(Relay::start(public, inner).await?),
        false => None,
    };
    record.address = relay.as_ref().map_or(inner, Relay::address);
    let vm = Vm::new(record, settings, Arc::clone(ledger));
    let server = Server::new(acceptor).disable_fuse();
    let handle = server.handle();
    tokio::spawn(server.serve(server::router(&vm)));
    Ok(Place {
        vm,
        relay,
        server: handle,
    })
}

fn parse<T: std::str::FromStr>(text: &str) -> io::Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    text.parse().map_err(io::Error::other)
}
