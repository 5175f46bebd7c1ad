//! Service state of the data centres.

use serde::{Deserialize, Serialize};

use crate::ids::DataCentreName;

/// Whether a data centre takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// The data centre takes new requests.
    In,
    /// The data centre takes no new requests.
    Out,
}

/// The data centres that operators have taken out of service.
///
/// This object is separate from the configuration, so that applying deployment
/// files again never brings a data centre back into service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DataCentreService {
    /// Data centres out of service, sorted.
    pub out: Vec<DataCentreName>,
}

impl DataCentreService {
    /// Returns whether a data centre takes new requests.
    #[must_use]
    pub fn state(&self, data_centre: &DataCentreName) -> ServiceState {
        match self.out.binary_search(data_centre) {
            Ok(_) => ServiceState::Out,
            Err(_) => ServiceState::In,
        }
    }

    /// Takes a data centre out of service or brings it back into service.
    pub fn set(&mut self, data_centre: &DataCentreName, state: ServiceState) {
        self.out.retain(|d| d != data_centre);
        if state == ServiceState::Out {
            let at = self.out.partition_point(|d| d < data_centre);
            self.out.insert(at, data_centre.clone());
        }
    }
}
