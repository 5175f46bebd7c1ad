//! Faults and when they begin.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_cli::set_service_state;
use bulrushhoist_core::{ServiceState, VmRecord};
use bulrushhoist_standin::{PlatformFaults, VmFault};
use bulrushhoist_store::{HttpPlatform, Store};
use tokio::time::Instant;

use crate::options::RunOptions;

/// Time that one call to the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// What happens.
#[derive(Clone, Debug, PartialEq)]
enum FaultKind {
    /// Every VM whose name begins so shows a fault.
    Vms(VmFault, String),
    /// A data centre is taken out or brought back.
    Service(ServiceState, String),
    /// The platform shows faults.
    Platform(PlatformFaults),
}

/// A fault at a time, as `SECONDS,KIND[,TARGET]`.
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
            .map_err(|_| format!("`{seconds}` is no time"))?;
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
            (other, Err(_)) => return Err(format!("`{other}` is no fault")),
        };
        Ok(Self { at, kind })
    }
}

/// Shows each fault at its time.
pub(crate) async fn play(options: RunOptions, start: Instant) {
    let mut faults = options.faults.clone();
    faults.sort_by_key(|f| f.at);
    let client = reqwest::Client::new();
    for fault in faults {
        tokio::time::sleep_until(start + fault.at).await;
        let shown = show(&options, &client, &fault.kind).await;
        if let Err(cause) = shown {
            eprintln!("fault at {:?} not shown: {cause}", fault.at);
        }
    }
}

async fn show(
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
