//! Which data centres are in service.

use serde::{Deserialize, Serialize};

use crate::ids::DataCentreName;

/// Whether a data centre takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// The data centre takes new work.
    In,
    /// The data centre takes no new work.
    Out,
}

/// The data centres that operators took out of service.
///
/// This object is apart from the configuration, so that reapplying files never
/// brings a data centre back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DataCentreService {
    /// Data centres out of service, sorted.
    pub out: Vec<DataCentreName>,
}

impl DataCentreService {
    /// Returns whether the data centre takes new work.
    #[must_use]
    pub fn state(&self, data_centre: &DataCentreName) -> ServiceState {
        match self.out.binary_search(data_centre) {
            Ok(_) => ServiceState::Out,
            Err(_) => ServiceState::In,
        }
    }

    /// Takes a data centre out of service or brings it back.
    pub fn set(&mut self, data_centre: &DataCentreName, state: ServiceState) {
        self.out.retain(|d| d != data_centre);
        if state == ServiceState::Out {
            let at = self.out.partition_point(|d| d < data_centre);
            self.out.insert(at, data_centre.clone());
        }
    }
}
