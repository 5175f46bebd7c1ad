//! Ledgers and small worlds that judge the decisions of bulrushhoist.
//!
//! Each world drives the very state machines that the daemon runs, in virtual
//! time, with faults that the fuzzer draws. Its ledger keeps the simple truth
//! (who ran what, who is up, what was accepted) and is compared with what the
//! state machines allowed. The tests are in `tests/`; `docs/PROOFS.md` says
//! which promise each of them proves.

mod cold;
mod config;
mod endpoint;
pub mod fixtures;
mod groups;
mod poison;
mod tickets;

pub use cold::{ColdAction, ColdWorld, cold_actions};
pub use config::{ConfigAction, ConfigWorld, config_actions};
pub use endpoint::{Obeyed, obey, restart};
pub use groups::{GroupAction, GroupWorld, group_actions};
pub use poison::{PoisonAction, PoisonWorld, poison_actions};
pub use tickets::{RunEnd, TicketAction, TicketWorld, ticket_actions};

use proptest::test_runner::{Config, RngSeed};

/// Cases of each fuzz test unless the environment asks for more.
const DEFAULT_CASES: u32 = 1_000;

/// Returns the configuration of a fuzz test: a fixed seed, so that CI's verdict
/// is the same every time. `BULRUSHHOIST_FUZZ_CASES` and
/// `BULRUSHHOIST_FUZZ_SEED` ask for a longer or another run.
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
