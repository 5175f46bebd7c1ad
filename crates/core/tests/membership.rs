//! Tests of liveness by probes and gossip.

use std::time::Duration;

use bulrushhoist_core::{
    DaemonPhase, Incarnation, MemberId, MemberState, MemberUpdate, Membership, MembershipSettings,
    Register, RegisteredDaemon, Time,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

fn register(count: u64) -> Register {
    let mut register = Register::default();
    for id in 1..=count {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], u16::try_from(id).unwrap_or(1)));
        register.insert(RegisteredDaemon {
            id: MemberId::new(id),
            incarnation: Incarnation::from(u128::from(id)),
            data_centre: "east".parse().expect("the name is valid"),
            caller_address: address,
            peer_address: address,
            operator_address: address,
            phase: DaemonPhase::Active,
        });
    }
    register
}

fn view(own: u64, count: u64) -> Membership {
    let mut view = Membership::new(MembershipSettings::default(), MemberId::new(own));
    view.set_register(Time::ZERO, &register(count));
    view
}

/// Guards against a failed member that random choice leaves unprobed for long.
#[test]
fn every_member_is_probed_once_per_round() {
    let mut view = view(1, 7);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut probed: Vec<u64> = (0..6)
        .filter_map(|_| view.next_probe(&mut rng))
        .map(|t| t.member.get())
        .collect();
    probed.sort_unstable();
    assert_eq!(probed, vec![2, 3, 4, 5, 6, 7]);
}

/// Guards against members that are declared dead without time to refute, and
/// against dead members that are not used again after they reply.
#[test]
fn a_member_without_reply_becomes_suspect_then_dead_and_alive_after_a_reply() {
    let mut view = view(1, 3);
    let member = MemberId::new(2);
    view.on_probe_failed(Time::from_millis(0), member);
    assert_eq!(view.state(member), MemberState::Suspect);
    view.tick(Time::from_millis(1_999));
    assert_eq!(view.state(member), MemberState::Suspect);
    view.tick(Time::from_millis(2_000));
    assert_eq!(view.state(member), MemberState::Dead);
    assert!(
        view.dead_for(Time::from_millis(3_000), Duration::from_secs(2))
            .is_empty()
    );
    assert_eq!(
        view.dead_for(Time::from_millis(4_000), Duration::from_secs(2)),
        vec![member]
    );
    view.on_reply(Time::from_millis(5_000), member, 0);
    assert_eq!(view.state(member), MemberState::Alive);
}

/// Guards against a live member that counts as dead everywhere: after a probe
/// was lost, its own update has to override the suspicion.
#[test]
fn a_suspicion_is_refuted_with_a_higher_incarnation() {
    let mut suspect = view(2, 3);
    let update = MemberUpdate {
        member: MemberId::new(2),
        incarnation: 0,
        state: MemberState::Suspect,
    };
    suspect.apply_update(Time::ZERO, update);
    assert_eq!(suspect.incarnation(), 1);
    let mut other = view(1, 3);
    other.apply_update(Time::ZERO, update);
    assert_eq!(other.state(MemberId::new(2)), MemberState::Suspect);
    for update in suspect.take_updates() {
        other.apply_update(Time::ZERO, update);
    }
    assert_eq!(other.state(MemberId::new(2)), MemberState::Alive);
}

/// Guards against gossip that never ends: updates that are sent with every
/// message although all members have received them.
#[test]
fn updates_are_sent_a_bounded_number_of_times() {
    let mut view = view(1, 3);
    let sent: usize = (0..100).map(|_| view.take_updates().len()).sum();
    assert!(sent <= 30, "{sent} updates about three members");
}
