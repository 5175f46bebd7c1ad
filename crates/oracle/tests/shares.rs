//! Shares of a cold replica's limit while entries join, for given event orders.

use bulrushhoist_oracle::{ColdStartAction, ColdStartSimulation};

/// Time after which every entry has a register with the new entry, in ms.
const PROPAGATION_MS: u64 = 3_500;

fn run(actions: &[ColdStartAction]) -> ColdStartSimulation {
    let mut simulation = ColdStartSimulation::new();
    for action in actions {
        simulation.step(action).expect("the oracle holds");
    }
    simulation
}

/// Guards against two new entries that each count the slot freed by the first
/// entry as their own, since neither knows of the other's requests.
#[test]
fn two_new_entries_do_not_use_the_same_free_slot() {
    let simulation = run(&[
        ColdStartAction::Register,
        ColdStartAction::Advance(PROPAGATION_MS),
        ColdStartAction::Probe(0),
        ColdStartAction::Send(0, 3),
        ColdStartAction::Register,
        ColdStartAction::Register,
        ColdStartAction::Advance(PROPAGATION_MS),
        ColdStartAction::Finish(0),
        ColdStartAction::Probe(1),
        ColdStartAction::Probe(2),
        ColdStartAction::Send(1, 1),
        ColdStartAction::Send(2, 1),
    ]);
    assert!(simulation.running() <= 3);
}

/// Requests a statement from each of the other entries and delivers all of them.
fn exchange_statements(entry: usize, entries: usize) -> Vec<ColdStartAction> {
    let mut actions = vec![ColdStartAction::RequestStatements(entry)];
    actions.extend((1..entries).map(|_| ColdStartAction::DeliverStatement(0)));
    actions
}

/// Guards against new entries that still leave slots unused after every statement,
/// or that cannot reuse a slot that they have freed.
#[test]
fn entries_that_start_together_use_every_slot_after_all_statements() {
    let entries = 3;
    let mut actions = vec![ColdStartAction::Register; entries];
    actions.push(ColdStartAction::Advance(PROPAGATION_MS));
    actions.extend((0..entries).flat_map(|entry| exchange_statements(entry, entries)));
    actions.extend((0..entries).map(|entry| ColdStartAction::Send(entry, 1)));
    // A slot that was used and freed can be used again at once.
    actions.extend([ColdStartAction::Finish(0), ColdStartAction::Send(0, 1)]);
    assert_eq!(run(&actions).running(), 3);
}

/// Guards against overload when an older entry still has more requests running
/// than its share in the register that includes the new entry.
#[test]
fn a_new_entry_waits_until_requests_beyond_the_new_shares_have_ended() {
    let mut actions = vec![
        ColdStartAction::Register,
        ColdStartAction::Advance(PROPAGATION_MS),
        ColdStartAction::Send(0, 3),
        ColdStartAction::Register,
        ColdStartAction::Advance(PROPAGATION_MS),
    ];
    actions.extend(exchange_statements(1, 2));
    actions.push(ColdStartAction::Send(1, 3));
    let mut simulation = run(&actions);
    assert_eq!(
        simulation.running(),
        3,
        "the first entry still uses every slot"
    );
    let ends = [
        ColdStartAction::Finish(0),
        ColdStartAction::Finish(0),
        ColdStartAction::Advance(1),
    ];
    for action in ends.into_iter().chain(exchange_statements(1, 2)) {
        simulation.step(&action).expect("the oracle holds");
    }
    simulation
        .step(&ColdStartAction::Send(1, 3))
        .expect("the oracle holds");
    assert!(
        simulation.running() > 1,
        "the second entry has not got its share"
    );
}

/// Guards against reuse of a crashed entry's share: the endpoint still runs what
/// the old process sent, so the other entries must leave that slot free.
#[test]
fn requests_of_a_crashed_entry_count_until_they_end() {
    let entries = 4;
    for crashed in 0..entries {
        let mut actions = vec![ColdStartAction::Register; entries];
        actions.push(ColdStartAction::Advance(PROPAGATION_MS));
        actions.extend((0..entries).flat_map(|entry| exchange_statements(entry, entries)));
        actions.extend((0..entries).map(|entry| ColdStartAction::Send(entry, 1)));
        actions.push(ColdStartAction::Crash(crashed));
        for _ in 0..2 {
            actions.push(ColdStartAction::Advance(PROPAGATION_MS));
            actions.extend((0..entries).map(ColdStartAction::ReadRegister));
            actions.extend(exchange_statements(entries - 1, entries));
            actions.extend((0..entries).map(|entry| ColdStartAction::Send(entry, 1)));
        }
        assert_eq!(run(&actions).running(), 3);
    }
}
