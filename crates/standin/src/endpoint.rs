//! Stand-ins of endpoints: many VMs in one process.

mod farm;
mod ledger;
mod model;
mod server;
mod vm;

pub use farm::{Farm, FarmLayout, VmFault};
pub use ledger::LedgerReport;
pub use model::{FarmSettings, expected_part, expected_parts};
