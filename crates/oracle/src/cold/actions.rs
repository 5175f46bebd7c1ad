//! The steps of the simulation, and the strategy that draws them.

use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_oneof};

/// Upper bound of the drawn numbers that pick an entry or a request.
const MAX_PICK: usize = 1 << 16;

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum ColdStartAction {
    /// Advances the clock by this many milliseconds.
    Advance(u64),
    /// A new entry registers.
    Register,
    /// An entry without running requests deregisters.
    Deregister(usize),
    /// An entry's process crashes, and a new one registers at its address.
    /// Requests of the old process keep running at the endpoint.
    Crash(usize),
    /// An entry reads the newest register.
    ReadRegister(usize),
    /// Callers send this many requests to an entry.
    Send(usize, u8),
    /// A running request ends.
    Finish(usize),
    /// An entry probes the endpoint and receives its load report.
    Probe(usize),
    /// An entry requests a share statement from every other entry.
    RequestStatements(usize),
    /// A share statement arrives.
    DeliverStatement(usize),
    /// The endpoint restarts cold and loses its requests.
    RestartEndpoint,
}

/// Returns a strategy that draws the actions of one run.
pub fn cold_start_actions() -> impl Strategy<Value = Vec<ColdStartAction>> {
    let index = || 0..MAX_PICK;
    let action = prop_oneof![
        16 => (1_u64..2_000).prop_map(ColdStartAction::Advance),
        8 => Just(ColdStartAction::Register),
        4 => index().prop_map(ColdStartAction::Deregister),
        1 => index().prop_map(ColdStartAction::Crash),
        16 => index().prop_map(ColdStartAction::ReadRegister),
        32 => (index(), 1_u8..12).prop_map(|(i, n)| ColdStartAction::Send(i, n)),
        24 => index().prop_map(ColdStartAction::Finish),
        32 => index().prop_map(ColdStartAction::Probe),
        32 => index().prop_map(ColdStartAction::RequestStatements),
        128 => index().prop_map(ColdStartAction::DeliverStatement),
        4 => Just(ColdStartAction::RestartEndpoint),
    ];
    vec(action, 1..300)
}

/// Maps a drawn number to an index, or to `None` if there is nothing to pick.
pub(super) fn pick(index: usize, len: usize) -> Option<usize> {
    (len > 0).then(|| index % len)
}
