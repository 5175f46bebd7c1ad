//! A whole deployment in one process: stand-ins and daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_cli::apply_files;
use bulrushhoist_core::{Deployment, SourceFile, VmName, check_files};
use bulrushhoist_daemon::{CallerLimits, Daemon, LogSettings, Security, Settings, Timing, logger};
use bulrushhoist_store::{HttpPlatform, Store};
use tokio::time::Instant;

use crate::endpoint::{Farm, FarmLayout, FarmSettings, VmFault};
use crate::platform::PlatformStandin;

/// Time that one call to the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// VMs in one fabric domain.
const VMS_PER_DOMAIN: u32 = 16;
/// Fabric domains beyond what the declared replicas need.
const SPARE_DOMAINS: u32 = 1;

/// What the local deployment consists of.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// Number of daemons.
    pub daemons: usize,
    /// Port of the first daemon's caller address; 0 picks free ones.
    pub first_port: u16,
    /// Speeds and capacities of the endpoints.
    pub farm: FarmSettings,
    /// Periods and timeouts of the daemons.
    pub timing: Timing,
    /// Logs of the daemons.
    pub log: LogSettings,
}

impl Default for LocalSettings {
    fn default() -> Self {
        Self {
            daemons: 7,
            first_port: 0,
            farm: FarmSettings::default(),
            timing: Timing::default(),
            log: LogSettings::default(),
        }
    }
}

/// A running local deployment.
pub struct Local {
    /// The platform.
    pub platform: PlatformStandin,
    /// The endpoints.
    pub farm: Arc<Farm>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Typed access to the platform.
    pub store: Store,
    settings: LocalSettings,
    data_centres: Vec<String>,
}

type LocalError = Box<dyn std::error::Error + Send + Sync>;

impl Local {
    /// Starts stand-ins and daemons and applies the files.
    pub async fn start(files: &[SourceFile], settings: LocalSettings) -> Result<Self, LocalError> {
        let deployment = check_files(files)?;
        let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let layout = layout(&deployment);
        let farm = Arc::new(Farm::start(&layout, settings.farm).await?);
        platform.set_vms(farm.records());
        let api = HttpPlatform::new(platform.address(), PLATFORM_TIMEOUT)?;
        let store = Store::new(Arc::new(api));
        let data_centres = layout.data_centres;
        let mut local = Self {
            platform,
            farm,
            daemons: Vec::new(),
            store,
            settings,
            data_centres,
        };
        for at in 0..local.settings.daemons {
            let daemon = local.start_daemon(at).await?;
            local.daemons.push(daemon);
        }
        apply_files(&local.store, files, None).await?;
        Ok(local)
    }

    /// Starts one more daemon, as if on a fresh VM.
    pub async fn start_daemon(&self, at: usize) -> Result<Daemon, LocalError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let port = match self.settings.first_port {
            0 => 0,
            first => first + u16::try_from(at)?,
        };
        let data_centre = &self.data_centres[at % self.data_centres.len()];
        let settings = Settings {
            data_centre: data_centre.parse()?,
            platform_address: self.platform.address(),
            caller_address: SocketAddr::new(any.ip(), port),
            peer_address: any,
            operator_address: any,
            security: Security {
                peer_key: None,
                operator_token: None,
            },
            limits: CallerLimits::default(),
            timing: self.settings.timing,
            watcher_count: 7,
            committee_size: 7,
            log: self.settings.log,
        };
        Ok(Daemon::start(settings, logger(self.settings.log)).await?)
    }

    /// Shows a fault of one VM and lists the VMs anew at the platform; returns
    /// whether the VM exists.
    pub fn fault(&self, vm: &VmName, fault: VmFault) -> bool {
        let found = self.farm.fault(vm, fault);
        self.platform.set_vms(self.farm.records());
        found
    }

    /// Waits until every daemon is ready and every declared group serves.
    pub async fn wait_until_serving(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self
                .daemons
                .iter()
                .all(|d| d.is_ready() && d.is_fully_serving())
            {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

/// Plans a farm that holds the declared replicas with some spares.
fn layout(deployment: &Deployment) -> FarmLayout {
    let needed = |dc| -> u32 {
        let workloads = deployment.workloads.values();
        workloads
            .map(|w| w.vms * w.replicas.get(dc).copied().unwrap_or(0))
            .sum()
    };
    let most = deployment
        .data_centres
        .keys()
        .map(needed)
        .max()
        .unwrap_or(0);
    FarmLayout {
        data_centres: deployment
            .data_centres
            .keys()
            .map(ToString::to_string)
            .collect(),
        domains: most.div_ceil(VMS_PER_DOMAIN) + SPARE_DOMAINS,
        vms: VMS_PER_DOMAIN,
        first_port: 0,
    }
}
