//! Actions that the fuzzer draws for [`super::GroupSimulation`].

use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::sample::Index;

use super::{CONTROLLERS, DOMAINS};

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum GroupAction {
    /// Advances the clock by this many milliseconds.
    Advance(u64),
    /// Advances the clock by half a second and runs all periodic work.
    Round,
    /// A controller probes every VM, unless it is partitioned.
    ProbeVms(usize),
    /// The first entry probes every VM.
    ProbeFromEntry,
    /// The second entry, which probes no VM, asks the first for its evidence.
    SendPull,
    /// The first entry answers an open pull.
    AnswerPull,
    /// An answer to a pull reaches the second entry.
    DeliverPull,
    /// A controller acquires or renews the lease.
    RenewLease(usize),
    /// A controller plans; with `true`, its write or orders are delayed.
    Plan(usize, bool),
    /// The newest delayed write reaches the platform.
    DeliverWrite,
    /// A delayed order reaches its endpoint.
    DeliverOrder(Index),
    /// A VM crashes and loses its state.
    Crash(Index),
    /// A crashed or frozen VM comes back.
    Recover(Index),
    /// A VM stops answering but keeps its state.
    Freeze(Index),
    /// The platform sets or clears the leaving flag of a VM.
    SetLeaving(Index, bool),
    /// Every VM of a fabric domain crashes.
    DomainOutage(usize),
    /// A controller loses or regains its connection to the endpoints.
    SetPartitioned(usize, bool),
    /// The platform goes down or comes back.
    SetPlatformUp(bool),
    /// A controller is replaced by a new process without state.
    ReplaceController(usize),
}

/// Returns a strategy that draws the actions of one run.
pub fn group_actions() -> impl Strategy<Value = Vec<GroupAction>> {
    let index = || any::<Index>();
    let controller = || 0..CONTROLLERS;
    let action = prop_oneof![
        10 => (50_u64..1_500).prop_map(GroupAction::Advance),
        60 => proptest::prelude::Just(GroupAction::Round),
        10 => controller().prop_map(GroupAction::ProbeVms),
        8 => proptest::prelude::Just(GroupAction::ProbeFromEntry),
        4 => proptest::prelude::Just(GroupAction::SendPull),
        4 => proptest::prelude::Just(GroupAction::AnswerPull),
        4 => proptest::prelude::Just(GroupAction::DeliverPull),
        6 => controller().prop_map(GroupAction::RenewLease),
        14 => (controller(), proptest::bool::weighted(0.2))
            .prop_map(|(c, delayed)| GroupAction::Plan(c, delayed)),
        12 => proptest::prelude::Just(GroupAction::DeliverWrite),
        12 => index().prop_map(GroupAction::DeliverOrder),
        6 => index().prop_map(GroupAction::Crash),
        5 => index().prop_map(GroupAction::Recover),
        1 => index().prop_map(GroupAction::Freeze),
        1 => (index(), any::<bool>()).prop_map(|(i, l)| GroupAction::SetLeaving(i, l)),
        1 => (0..DOMAINS).prop_map(GroupAction::DomainOutage),
        1 => (controller(), proptest::bool::weighted(0.3))
            .prop_map(|(c, p)| GroupAction::SetPartitioned(c, p)),
        1 => proptest::bool::weighted(0.8).prop_map(GroupAction::SetPlatformUp),
        1 => controller().prop_map(GroupAction::ReplaceController),
    ];
    vec(action, 20..400)
}
