//! Downtime of groups, sampled from a daemon's status.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::Instant;

/// Time between two samples.
const PERIOD: Duration = Duration::from_millis(100);

/// Time that groups were not serving.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Downtime {
    /// Sum over groups of the seconds in which each was not serving.
    pub(crate) group_seconds: f64,
    /// Sum over VMs of the seconds in which each was in such a group.
    pub(crate) stranded_vm_seconds: f64,
    /// Most groups that were not serving at a time.
    pub(crate) worst: usize,
}

/// Samples until the time is over.
pub(crate) async fn sample(operator: SocketAddr, until: Instant) -> Downtime {
    let client = reqwest::Client::new();
    let mut downtime = Downtime::default();
    let mut last = Instant::now();
    while Instant::now() < until {
        tokio::time::sleep(PERIOD).await;
        let url = format!("http://{operator}/v1/status");
        let Ok(answer) = client.get(url).send().await else {
            continue;
        };
        let Ok(status) = answer.json::<Value>().await else {
            continue;
        };
        let span = last.elapsed().as_secs_f64();
        last = Instant::now();
        let groups = status["groups"].as_array().cloned().unwrap_or_default();
        let down: Vec<&Value> = groups.iter().filter(|g| g["serving"] == false).collect();
        let vms: usize = down
            .iter()
            .filter_map(|g| g["members"].as_array())
            .map(Vec::len)
            .sum();
        downtime.group_seconds += span * down.len() as f64;
        downtime.stranded_vm_seconds += span * vms as f64;
        downtime.worst = downtime.worst.max(down.len());
    }
    downtime
}
