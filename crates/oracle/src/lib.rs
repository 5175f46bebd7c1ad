//! Simulations that check the decisions of bulrushhoist against test oracles.
//!
//! Each simulation drives the same state machines as the daemon, in virtual
//! time and with faults drawn by the fuzzer. A ledger records the ground truth
//! (what ran where, which VM is up, which change was accepted), and each step
//! compares it with what the state machines allowed. The tests are in `tests/`;
//! `docs/PROOFS.md` says which promise each of them proves.

mod cold;
mod config;
mod endpoint;
pub mod fixtures;
mod groups;
mod poison;
mod tickets;

pub use cold::{ColdStartAction, ColdStartSimulation, cold_start_actions};
pub use config::{ConfigAction, ConfigSimulation, config_actions};
pub use endpoint::{OrderResult, apply_order, reset_status};
pub use groups::{GroupAction, GroupSimulation, group_actions};
pub use poison::{QuarantineAction, QuarantineSimulation, quarantine_actions};
pub use tickets::{RunOutcome, TicketAction, TicketSimulation, ticket_actions};

use proptest::test_runner::{Config, RngSeed};

/// Number of cases per fuzz test if `BULRUSHHOIST_FUZZ_CASES` is not set.
const DEFAULT_CASES: u32 = 1_000;

/// Returns the proptest configuration of a fuzz test with a fixed seed.
///
/// The seed makes CI runs reproducible. `BULRUSHHOIST_FUZZ_CASES` and
/// `BULRUSHHOIST_FUZZ_SEED` override the number of cases and the seed.
#[must_use]
pub fn fuzz_config(seed: u64) -> Config {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = number("BULRUSHHOIST_FUZZ_CASES");
    Config {
        cases: cases
            .and_then(|c| u32::try_from(c).ok())
            .unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(number("BULRUSHHOIST_FUZZ_SEED").unwrap_or(seed)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}
