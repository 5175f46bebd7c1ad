//! Takes data centres out of service and brings them back.

use std::collections::BTreeMap;

use bulrushhoist_core::{DataCentreName, DataCentreService, ObjectKey, Revision, ServiceState};
use bulrushhoist_store::{PlatformError, Store, StoreError};
use serde::Serialize;

use crate::error::CliError;
use crate::fleet::GroupStatus;

/// Numbers of serving replicas of one workload, with and without a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaCounts {
    /// Serving replicas in all data centres.
    pub serving: usize,
    /// Serving replicas outside the data centre.
    pub remaining: usize,
}

/// Counts, by workload, the serving replicas that remain without a data centre.
#[must_use]
pub fn remaining_replicas(
    groups: &[GroupStatus],
    data_centre: &DataCentreName,
) -> BTreeMap<String, ReplicaCounts> {
    let mut counts: BTreeMap<String, ReplicaCounts> = BTreeMap::new();
    let prefix = format!("{data_centre}/");
    for group in groups.iter().filter(|g| g.serving) {
        let count = counts.entry(group.workload.clone()).or_default();
        count.serving += 1;
        count.remaining += usize::from(!group.group.starts_with(&prefix));
    }
    counts
}

/// Stores the service state of a data centre; returns the new revision.
pub async fn set_service_state(
    store: &Store,
    data_centre: &DataCentreName,
    state: ServiceState,
) -> Result<Revision, CliError> {
    let stored = store
        .update::<DataCentreService>(&ObjectKey::service(), |found| {
            let mut service = found.cloned().unwrap_or_default();
            service.set(data_centre, state);
            (found != Some(&service)).then_some(service)
        })
        .await?;
    let stored = stored.ok_or(StoreError::Platform(PlatformError::Conflict))?;
    Ok(stored.envelope.revision)
}
