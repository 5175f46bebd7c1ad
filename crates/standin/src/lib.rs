//! Stand-ins for the systems that bulrushhoist meets.
//!
//! They speak the published HTTP dialects of the platform and of endpoints and
//! have switches for the faults that those systems show. They are for tests,
//! measurements and a first look; nothing of the product depends on them.

mod control;
mod endpoint;
mod local;
mod platform;
mod relay;

pub use control::serve_control;
pub use endpoint::{
    Farm, FarmLayout, FarmSettings, LedgerReport, VmFault, expected_part, expected_parts,
};
pub use local::{Local, LocalSettings};
pub use platform::{PlatformFaults, PlatformStandin};
pub use relay::{Relay, RelayMode};
