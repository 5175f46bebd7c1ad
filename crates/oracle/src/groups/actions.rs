//! What can happen in the world of groups.

use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::sample::Index;

use super::{CONTROLLERS, DOMAINS};

/// One step of the world.
#[derive(Clone, Debug)]
pub enum GroupAction {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// Half a second passes in which everybody does what is regular.
    Round,
    /// A controller probes every VM that it reaches.
    Survey(usize),
    /// The entry probes every VM.
    EntrySurvey,
    /// A second entry, which probes nothing, asks the first for its findings.
    PullSend,
    /// The first entry answers.
    PullServe,
    /// The answer arrives.
    PullArrive,
    /// A controller takes or renews its lease.
    RenewLease(usize),
    /// A controller plans; its write or orders leave at once or later.
    Plan(usize, bool),
    /// A delayed write reaches the platform.
    LateWrite,
    /// A delayed order reaches its endpoint.
    LateOrder(Index),
    /// A VM dies and loses everything.
    Die(Index),
    /// A dead or frozen VM works again.
    Return(Index),
    /// A VM stops answering but keeps everything.
    Freeze(Index),
    /// The platform lists a VM as leaving, or no longer.
    Leaving(Index, bool),
    /// A whole fabric domain goes dark.
    Dark(usize),
    /// A controller loses the endpoints, or reaches them again.
    Partition(usize, bool),
    /// The platform goes down or comes back.
    Platform(bool),
    /// A controller is replaced by one with empty memory.
    Replace(usize),
}

/// Draws a run of the world.
pub fn group_actions() -> impl Strategy<Value = Vec<GroupAction>> {
    let index = || any::<Index>();
    let controller = || 0..CONTROLLERS;
    let action = prop_oneof![
        10 => (50_u64..1_500).prop_map(GroupAction::Advance),
        60 => proptest::prelude::Just(GroupAction::Round),
        10 => controller().prop_map(GroupAction::Survey),
        8 => proptest::prelude::Just(GroupAction::EntrySurvey),
        4 => proptest::prelude::Just(GroupAction::PullSend),
        4 => proptest::prelude::Just(GroupAction::PullServe),
        4 => proptest::prelude::Just(GroupAction::PullArrive),
        6 => controller().prop_map(GroupAction::RenewLease),
        14 => (controller(), proptest::bool::weighted(0.2))
            .prop_map(|(c, late)| GroupAction::Plan(c, late)),
        12 => proptest::prelude::Just(GroupAction::LateWrite),
        12 => index().prop_map(GroupAction::LateOrder),
        6 => index().prop_map(GroupAction::Die),
        5 => index().prop_map(GroupAction::Return),
        1 => index().prop_map(GroupAction::Freeze),
        1 => (index(), any::<bool>()).prop_map(|(i, l)| GroupAction::Leaving(i, l)),
        1 => (0..DOMAINS).prop_map(GroupAction::Dark),
        1 => (controller(), proptest::bool::weighted(0.3))
            .prop_map(|(c, p)| GroupAction::Partition(c, p)),
        1 => proptest::bool::weighted(0.8).prop_map(GroupAction::Platform),
        1 => controller().prop_map(GroupAction::Replace),
    ];
    vec(action, 20..400)
}
