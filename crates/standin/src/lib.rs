//! Stand-ins for the systems that bulrushhoist talks to.
//!
//! They implement the published HTTP interfaces of the platform and of the
//! endpoints, and inject the faults that those systems have. They serve tests,
//! benchmarks and local runs; no production code depends on them.

mod control;
mod endpoint;
mod local;
mod platform;
mod proxy;

pub use control::serve_control;
pub use endpoint::{
    EndpointLayout, EndpointSettings, EndpointStandins, LedgerReport, VmFault, expected_part,
    expected_parts,
};
pub use local::{LocalDeployment, LocalSettings};
pub use platform::{PlatformFaults, PlatformStandin};
pub use proxy::{FaultProxy, ProxyMode};
