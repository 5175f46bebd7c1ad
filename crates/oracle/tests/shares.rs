//! Shares of a cold replica while entries join, in chosen orders of events.

use bulrushhoist_oracle::{ColdAction, ColdWorld};

/// Long enough for every entry to know a new one.
const KNOWN_MS: u64 = 3_500;

fn run(actions: &[ColdAction]) -> ColdWorld {
    let mut world = ColdWorld::new();
    for action in actions {
        world.step(action).expect("the oracle holds");
    }
    world
}

#[test]
fn two_newcomers_do_not_take_the_same_free_place() {
    let world = run(&[
        ColdAction::Register,
        ColdAction::Advance(KNOWN_MS),
        ColdAction::Probe(0),
        ColdAction::Send(0, 3),
        ColdAction::Register,
        ColdAction::Register,
        ColdAction::Advance(KNOWN_MS),
        ColdAction::End(0),
        ColdAction::Probe(1),
        ColdAction::Probe(2),
        ColdAction::Send(1, 1),
        ColdAction::Send(2, 1),
    ]);
    assert!(world.running() <= 3);
}

/// The entry asks each of the others, and all answers arrive.
fn ask_all(entry: usize, entries: usize) -> Vec<ColdAction> {
    let mut actions = vec![ColdAction::Ask(entry)];
    actions.extend((1..entries).map(|_| ColdAction::Answer(0)));
    actions
}

#[test]
fn entries_that_start_together_use_every_place_once_all_have_answered() {
    let entries = 3;
    let mut actions = vec![ColdAction::Register; entries];
    actions.push(ColdAction::Advance(KNOWN_MS));
    actions.extend((0..entries).flat_map(|entry| ask_all(entry, entries)));
    actions.extend((0..entries).map(|entry| ColdAction::Send(entry, 1)));
    // A place that was used and given back can be used again at once.
    actions.extend([ColdAction::End(0), ColdAction::Send(0, 1)]);
    assert_eq!(run(&actions).running(), 3);
}

#[test]
fn a_newcomer_waits_for_requests_beyond_the_new_shares() {
    let mut actions = vec![
        ColdAction::Register,
        ColdAction::Advance(KNOWN_MS),
        ColdAction::Send(0, 3),
        ColdAction::Register,
        ColdAction::Advance(KNOWN_MS),
    ];
    actions.extend(ask_all(1, 2));
    actions.push(ColdAction::Send(1, 3));
    let mut world = run(&actions);
    assert_eq!(world.running(), 3, "the first entry still holds all places");
    let ends = [
        ColdAction::End(0),
        ColdAction::End(0),
        ColdAction::Advance(1),
    ];
    for action in ends.into_iter().chain(ask_all(1, 2)) {
        world.step(&action).expect("the oracle holds");
    }
    world
        .step(&ColdAction::Send(1, 3))
        .expect("the oracle holds");
    assert!(world.running() > 1, "the second entry has its share");
}

#[test]
fn requests_of_a_process_that_ended_count_until_they_end() {
    let entries = 4;
    for ended in 0..entries {
        let mut actions = vec![ColdAction::Register; entries];
        actions.push(ColdAction::Advance(KNOWN_MS));
        actions.extend((0..entries).flat_map(|entry| ask_all(entry, entries)));
        actions.extend((0..entries).map(|entry| ColdAction::Send(entry, 1)));
        actions.push(ColdAction::Crash(ended));
        for _ in 0..2 {
            actions.push(ColdAction::Advance(KNOWN_MS));
            actions.extend((0..entries).map(ColdAction::Learn));
            actions.extend(ask_all(entries - 1, entries));
            actions.extend((0..entries).map(|entry| ColdAction::Send(entry, 1)));
        }
        assert_eq!(run(&actions).running(), 3);
    }
}
