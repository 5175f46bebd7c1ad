//! The daemons of a deployment, as their operator addresses report.

use std::time::Duration;

use bulrushhoist_core::{ObjectKey, Register, RegisteredDaemon, Revision};
use bulrushhoist_store::Store;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::error::CliError;

/// Time that one daemon gets to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(200);

/// One group as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupStatus {
    /// Data centre and number.
    pub group: String,
    /// Model or service.
    pub workload: String,
    /// Version.
    pub version: String,
    /// Fabric domain; `None` for a group that spans several.
    pub domain: Option<String>,
    /// Names of the members.
    pub members: Vec<String>,
    /// Phase of the group.
    pub phase: String,
    /// Whether the group takes new work.
    pub serving: bool,
    /// Why it does not.
    pub why_not: Option<String>,
}

/// What one daemon reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DaemonStatus {
    /// Identity of the daemon.
    pub id: u64,
    /// Data centre of its VM.
    pub data_centre: String,
    /// Generation in force there.
    pub generation: Revision,
    /// Revision of the data centres' service state in force there.
    pub service_revision: Option<Revision>,
    /// Whether it can prove that its configuration is current.
    pub fresh: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Requests that run or wait there.
    pub busy: u64,
    /// Data centres out of service.
    pub out_of_service: Vec<String>,
    /// Every group.
    pub groups: Vec<GroupStatus>,
}

/// Access to every registered daemon.
pub struct FleetClient {
    client: reqwest::Client,
    token: Option<String>,
}

impl FleetClient {
    /// Access with the operators' token, if there is one.
    pub fn new(token: Option<String>) -> Result<Self, CliError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .timeout(ANSWER_TIMEOUT)
            .build()?;
        Ok(Self { client, token })
    }

    /// Returns the registered daemons.
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
        let mut request = self.client.get(format!("http://{}{path}", daemon.operator));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    /// Returns every daemon with its report, `None` if it does not answer.
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

    /// Waits until `in_force` holds at every registered daemon. A daemon that
    /// does not answer takes no new work once its proof has aged, so it is
    /// named but not waited for beyond the time.
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
                .map(|(d, _)| d.operator.to_string())
                .collect();
            if missing.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() >= timeout {
                return Err(CliError::NotInForce {
                    missing: missing.join(", "),
                });
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}
