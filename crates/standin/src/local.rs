//! A local deployment: stand-ins and daemons in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_cli::apply_files;
use bulrushhoist_core::{Deployment, SourceFile, VmName, check_files};
use bulrushhoist_daemon::{CallerLimits, Daemon, LogSettings, Security, Settings, Timing, logger};
use bulrushhoist_store::{HttpPlatform, Store};
use tokio::time::Instant;

use crate::endpoint::{EndpointLayout, EndpointSettings, EndpointStandins, VmFault};
use crate::platform::PlatformStandin;

/// Timeout of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of VMs in one fabric domain.
const VMS_PER_DOMAIN: u32 = 16;
/// Number of fabric domains beyond those that the declared replicas need, so
/// that lost VMs can be replaced.
const SPARE_DOMAINS: u32 = 1;

/// Size, addresses and timing of a local deployment.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// Number of daemons.
    pub daemons: usize,
    /// Caller port of the first daemon; the others use the ports after it. 0
    /// picks free ports.
    pub first_port: u16,
    /// Delays and limits of the endpoints.
    pub endpoints: EndpointSettings,
    /// Intervals and timeouts of the daemons.
    pub timing: Timing,
    /// Log settings of the daemons.
    pub log: LogSettings,
}

impl Default for LocalSettings {
    fn default() -> Self {
        Self {
            daemons: 7,
            first_port: 0,
            endpoints: EndpointSettings::default(),
            timing: Timing::default(),
            log: LogSettings::default(),
        }
    }
}

/// A running local deployment with handles to its parts.
pub struct LocalDeployment {
    /// Stand-in of the platform.
    pub platform: PlatformStandin,
    /// Stand-ins of the endpoints.
    pub endpoints: Arc<EndpointStandins>,
    /// Daemons, in the order of their ports.
    pub daemons: Vec<Daemon>,
    /// Typed client of the platform's objects.
    pub store: Store,
    settings: LocalSettings,
    data_centres: Vec<String>,
}

type LocalError = Box<dyn std::error::Error + Send + Sync>;

impl LocalDeployment {
    /// Starts stand-ins and daemons and applies the deployment files.
    pub async fn start(files: &[SourceFile], settings: LocalSettings) -> Result<Self, LocalError> {
        let deployment = check_files(files)?;
        let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let layout = layout(&deployment);
        let endpoints = Arc::new(EndpointStandins::start(&layout, settings.endpoints).await?);
        platform.set_vms(endpoints.records());
        let api = HttpPlatform::new(platform.address(), PLATFORM_TIMEOUT)?;
        let store = Store::new(Arc::new(api));
        let data_centres = layout.data_centres;
        let mut local = Self {
            platform,
            endpoints,
            daemons: Vec::new(),
            store,
            settings,
            data_centres,
        };
        for index in 0..local.settings.daemons {
            let daemon = local.start_daemon(index).await?;
            local.daemons.push(daemon);
        }
        apply_files(&local.store, files, None).await?;
        Ok(local)
    }

    /// Starts one more daemon with empty state, as on a new VM.
    ///
    /// `index` determines its data centre and its caller port.
    pub async fn start_daemon(&self, index: usize) -> Result<Daemon, LocalError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let port = match self.settings.first_port {
            0 => 0,
            first => first + u16::try_from(index)?,
        };
        let data_centre = &self.data_centres[index % self.data_centres.len()];
        let settings = Settings {
            data_centre: data_centre.parse()?,
            platform_address: self.platform.address(),
            caller_address: SocketAddr::new(any_port.ip(), port),
            peer_address: any_port,
            operator_address: any_port,
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

    /// Injects a fault at one VM and updates the platform's VM list; returns
    /// whether the VM exists.
    pub fn set_fault(&self, vm: &VmName, fault: VmFault) -> bool {
        let found = self.endpoints.set_fault(vm, fault);
        self.platform.set_vms(self.endpoints.records());
        found
    }

    /// Waits until every daemon is ready and every declared group serves; returns
    /// whether that happened within `timeout`.
    pub async fn wait_until_serving(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
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

/// Returns a layout with enough VMs for the declared replicas and some spares.
fn layout(deployment: &Deployment) -> EndpointLayout {
    let vms_needed = |dc| -> u32 {
        let workloads = deployment.workloads.values();
        workloads
            .map(|w| w.vms * w.replicas.get(dc).copied().unwrap_or(0))
            .sum()
    };
    let max_vms = deployment
        .data_centres
        .keys()
        .map(vms_needed)
        .max()
        .unwrap_or(0);
    EndpointLayout {
        data_centres: deployment
            .data_centres
            .keys()
            .map(ToString::to_string)
            .collect(),
        domains: max_vms.div_ceil(VMS_PER_DOMAIN) + SPARE_DOMAINS,
        vms: VMS_PER_DOMAIN,
        first_port: 0,
    }
}
