//! Downtime of replica groups, sampled from the status of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::Instant;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time during which groups did not serve.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Downtime {
    /// Sum over all groups of the seconds in which each did not serve.
    pub(crate) group_seconds: f64,
    /// Sum over all VMs of the seconds in which each was in such a group.
    pub(crate) stranded_vm_seconds: f64,
    /// Maximum number of groups that did not serve at the same time.
    pub(crate) worst: usize,
}

/// Samples the status of a daemon until `deadline`.
///
/// A failed sample is skipped; the next one covers its time.
pub(crate) async fn sample_downtime(operator: SocketAddr, deadline: Instant) -> Downtime {
    let client = reqwest::Client::new();
    let mut downtime = Downtime::default();
    let mut last = Instant::now();
    while Instant::now() < deadline {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let url = format!("http://{operator}/v1/status");
        let Ok(answer) = client.get(url).send().await else {
            continue;
        };
        let Ok(status) = answer.json::<Value>().await else {
            continue;
        };
        let elapsed_s = last.elapsed().as_secs_f64();
        last = Instant::now();
        let groups = status["groups"].as_array().cloned().unwrap_or_default();
        let down: Vec<&Value> = groups.iter().filter(|g| g["serving"] == false).collect();
        let vms: usize = down
            .iter()
            .filter_map(|g| g["members"].as_array())
            .map(Vec::len)
            .sum();
        downtime.group_seconds += elapsed_s * down.len() as f64;
        downtime.stranded_vm_seconds += elapsed_s * vms as f64;
        downtime.worst = downtime.worst.max(down.len());
    }
    downtime
}
