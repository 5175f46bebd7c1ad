//! Schedule of the faults that an experiment injects.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_cli::set_service_state;
use bulrushhoist_core::{ServiceState, VmRecord};
use bulrushhoist_standin::{PlatformFaults, VmFault};
use bulrushhoist_store::{HttpPlatform, Store};
use tokio::time::Instant;

use crate::options::RunOptions;

/// Timeout of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Kind and target of a fault.
#[derive(Clone, Debug, PartialEq)]
enum FaultKind {
    /// A fault of every VM whose name has this prefix.
    Vms(VmFault, String),
    /// A data centre is taken out of service or returned to it.
    Service(ServiceState, String),
    /// Faults of the platform replace the earlier ones.
    Platform(PlatformFaults),
}

/// A fault with its time from the start, parsed from `SECONDS,KIND[,TARGET]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    at: Duration,
    kind: FaultKind,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut parts = text.split(',');
        let seconds = parts.next().unwrap_or_default();
        let seconds: f64 = seconds
            .parse()
            .map_err(|_| format!("`{seconds}` is not a number of seconds"))?;
        let at = Duration::try_from_secs_f64(seconds).map_err(|e| e.to_string())?;
        let kind = parts.next().unwrap_or_default();
        let target = parts.next().unwrap_or_default().to_owned();
        let vm_fault = serde_json::from_value(serde_json::Value::from(kind));
        let kind = match (kind, vm_fault) {
            ("out", _) => FaultKind::Service(ServiceState::Out, target),
            ("in", _) => FaultKind::Service(ServiceState::In, target),
            ("platform-down", _) => FaultKind::Platform(PlatformFaults {
                down: true,
                ..PlatformFaults::default()
            }),
            ("platform-up", _) => FaultKind::Platform(PlatformFaults::default()),
            (_, Ok(fault)) => FaultKind::Vms(fault, target),
            (other, Err(_)) => return Err(format!("`{other}` is not a kind of fault")),
        };
        Ok(Self { at, kind })
    }
}

/// Injects each fault at its time; failures are printed to standard error.
pub(crate) async fn inject_faults(options: RunOptions, start: Instant) {
    let mut faults = options.faults.clone();
    faults.sort_by_key(|f| f.at);
    let client = reqwest::Client::new();
    for fault in faults {
        tokio::time::sleep_until(start + fault.at).await;
        let injected = inject(&options, &client, &fault.kind).await;
        if let Err(cause) = injected {
            eprintln!("cannot inject the fault at {:?}: {cause}", fault.at);
        }
    }
}

async fn inject(
    options: &RunOptions,
    client: &reqwest::Client,
    kind: &FaultKind,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    match kind {
        FaultKind::Vms(fault, prefix) => {
            let control = options.control.ok_or("--control is required")?;
            let vms: Vec<VmRecord> = client
                .get(format!("http://{control}/v1/vms"))
                .send()
                .await?
                .json()
                .await?;
            for record in vms
                .iter()
                .filter(|r| r.vm.as_str().starts_with(prefix.as_str()))
            {
                let url = format!("http://{control}/v1/vms/{}/fault", record.vm);
                client.put(url).json(fault).send().await?;
            }
        }
        FaultKind::Service(state, data_centre) => {
            let platform = options.platform.ok_or("--platform is required")?;
            let store = Store::new(Arc::new(HttpPlatform::new(platform, PLATFORM_TIMEOUT)?));
            set_service_state(&store, &data_centre.parse()?, *state).await?;
        }
        FaultKind::Platform(faults) => {
            let platform = options.platform.ok_or("--platform is required")?;
            client
                .put(format!("http://{platform}/v1/faults"))
                .json(faults)
                .send()
                .await?;
        }
    }
    Ok(())
}
