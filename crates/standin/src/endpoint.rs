//! Stand-ins of the endpoints: the servers of many VMs in one process.

mod ledger;
mod model;
mod server;
mod standins;
mod vm;

pub use ledger::LedgerReport;
pub use model::{EndpointSettings, expected_part, expected_parts};
pub use standins::{EndpointLayout, EndpointStandins, VmFault};
