//! Client of the daemons' operator addresses.

use std::time::Duration;

use bulrushhoist_core::{ObjectKey, Register, RegisteredDaemon, Revision};
use bulrushhoist_store::Store;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::error::CliError;

/// Timeout of one request to a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which daemons are asked whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Status of a group in a daemon's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupStatus {
    /// Data centre and number of the group.
    pub group: String,
    /// Model or service that the group runs.
    pub workload: String,
    /// Version of the workload.
    pub version: String,
    /// Fabric domain; `None` for a group that spans several.
    pub domain: Option<String>,
    /// Names of the member VMs.
    pub members: Vec<String>,
    /// Phase of the group.
    pub phase: String,
    /// Whether the group accepts requests.
    pub serving: bool,
    /// Why the group does not accept requests, if so.
    pub why_not: Option<String>,
}

/// Status that a daemon reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DaemonStatus {
    /// Identity of the daemon.
    pub id: u64,
    /// Data centre of the daemon's VM.
    pub data_centre: String,
    /// Generation of the configuration in force at the daemon.
    pub generation: Revision,
    /// Revision of the data centres' service state in force at the daemon.
    pub service_revision: Option<Revision>,
    /// Whether the daemon can prove that its configuration is current.
    pub fresh: bool,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// Number of requests that run or are queued at the daemon.
    pub busy: u64,
    /// Data centres out of service.
    pub out_of_service: Vec<String>,
    /// All groups in the daemon's view.
    pub groups: Vec<GroupStatus>,
}

/// Client of the operator addresses of all registered daemons.
pub struct FleetClient {
    client: reqwest::Client,
    token: Option<String>,
}

impl FleetClient {
    /// Creates a client that sends the operators' token, if there is one.
    pub fn new(token: Option<String>) -> Result<Self, CliError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .timeout(REQUEST_TIMEOUT)
            .build()?;
        Ok(Self { client, token })
    }

    /// Reads the registered daemons from the platform.
    pub async fn daemons(&self, store: &Store) -> Result<Vec<RegisteredDaemon>, CliError> {
        let register = store.read::<Register>(&ObjectKey::register()).await?;
        Ok(register
            .map(|r| r.envelope.body.daemons)
            .unwrap_or_default())
    }

    /// Fetches JSON from a daemon's operator address.
    pub async fn fetch<T: serde::de::DeserializeOwned>(
        &self,
        daemon: &RegisteredDaemon,
        path: &str,
    ) -> Result<T, CliError> {
        let mut request = self
            .client
            .get(format!("http://{}{path}", daemon.operator_address));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    /// Returns every registered daemon with its status, or `None` if it does not
    /// answer.
    pub async fn statuses(
        &self,
        store: &Store,
    ) -> Result<Vec<(RegisteredDaemon, Option<DaemonStatus>)>, CliError> {
        let mut statuses = Vec::new();
        for daemon in self.daemons(store).await? {
            let status = self.fetch(&daemon, "/v1/status").await.ok();
            statuses.push((daemon, status));
        }
        Ok(statuses)
    }

    /// Waits until `in_force` is true of every registered daemon; returns the time that
    /// it took.
    ///
    /// After `timeout` the error names the daemons that are missing, also those that do
    /// not answer. A daemon that is cut off starts no new requests once its proof of a
    /// current configuration expires, so it does not serve by the old one for long.
    pub async fn wait_until_in_force(
        &self,
        store: &Store,
        timeout: Duration,
        in_force: impl Fn(&DaemonStatus) -> bool,
    ) -> Result<Duration, CliError> {
        let start = Instant::now();
        loop {
            let statuses = self.statuses(store).await?;
            let missing: Vec<String> = statuses
                .iter()
                .filter(|(_, s)| !s.as_ref().is_some_and(&in_force))
                .map(|(d, _)| d.operator_address.to_string())
                .collect();
            if missing.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() >= timeout {
                return Err(CliError::NotInForce {
                    missing: missing.join(", "),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
