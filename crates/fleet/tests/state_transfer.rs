//! Tests of whom a starting entry asks, and how long it waits.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_fleet::{EntryInfo, PeerKnowledge, STATE_TRANSFER_TIMEOUT, StateTransfer};
use proptest::prelude::{Just, prop_assert, prop_oneof, proptest};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use support::ms;

fn peers(near: u16, far: u16) -> Vec<EntryInfo> {
    let entry = |n: u16| EntryInfo {
        name: format!("entry-{n}").as_str().into(),
        data_centre: if n < near { "dc-a" } else { "dc-b" }.into(),
        peers: SocketAddr::from(([127, 0, 0, 1], 1_000 + n)),
        callers: SocketAddr::from(([127, 0, 0, 2], 1_000 + n)),
        cpu_milli: 250,
    };
    (0..near + far).map(entry).collect()
}

fn begin(peers: &[EntryInfo], seed: u64) -> StateTransfer {
    let mut rng = SmallRng::seed_from_u64(seed);
    StateTransfer::begin(ms(0), "dc-a", peers.iter(), &mut rng)
}

fn ask_all(transfer: &mut StateTransfer) -> Vec<SocketAddr> {
    std::iter::from_fn(|| transfer.next_peer()).collect()
}

/// Guards against a start that waits for peers which can't answer, or know no more.
#[test]
fn a_start_waits_though_no_peer_can_answer() {
    assert!(begin(&[], 1).is_over(ms(0)), "there are no peers");
    let all = peers(2, 2);
    let mut transfer = begin(&all, 1);
    let asked = ask_all(&mut transfer);
    assert_eq!(asked.len(), 3);
    assert!(asked.contains(&all[0].peers) && asked.contains(&all[1].peers));
    assert!(!transfer.is_over(ms(5)));
    for knowledge in [PeerKnowledge::Unknown, PeerKnowledge::Outdated] {
        transfer.on_answer(knowledge);
    }
    assert_eq!(ask_all(&mut transfer).len(), 1, "the last peer");
    transfer.on_answer(PeerKnowledge::Unknown);
    assert!(!transfer.is_over(ms(6)), "one answer is missing");
    transfer.on_answer(PeerKnowledge::Outdated);
    assert!(transfer.is_over(ms(7)));
}

/// Guards against an entry that never starts because its peers don't answer.
#[test]
fn silent_peers_keep_an_entry_from_starting() {
    let mut transfer = begin(&peers(9, 0), 1);
    ask_all(&mut transfer);
    let late = Duration::from_millis(1);
    let end = ms(0) + STATE_TRANSFER_TIMEOUT;
    assert!(!transfer.is_over(end - late));
    assert!(transfer.is_over(end));
    assert_eq!(transfer.end(), end);
}

/// Guards against a mass start in which everybody asks the same peer.
#[test]
fn a_mass_start_asks_one_peer_only() {
    let all = peers(700, 700);
    let mut counts = std::collections::HashMap::new();
    for seed in 0..1_400 {
        for address in ask_all(&mut begin(&all, seed)) {
            *counts.entry(address).or_insert(0) += 1;
        }
    }
    let most = counts.values().max().copied();
    assert!(most.is_some_and(|most| most <= 20), "{most:?}");
}

proptest! {
    /// Guards against questions beyond the bounds, questions after a current answer, and a
    /// start that ends before one although peers remain.
    #[test]
    fn questions_are_without_bounds(
        (near, far, seed) in (0_u16..20, 0_u16..20, 0_u64..100),
        answers in proptest::collection::vec(
            prop_oneof![
                1 => Just(PeerKnowledge::Current),
                4 => Just(PeerKnowledge::Outdated),
                4 => Just(PeerKnowledge::Unknown),
            ],
            0..40,
        ),
    ) {
        let all = peers(near, far);
        let mut transfer = begin(&all, seed);
        let (mut asked, mut pending, mut informed) = (Vec::new(), 0, false);
        for answer in answers {
            let new = ask_all(&mut transfer);
            prop_assert!(new.is_empty() || !informed);
            pending += new.len();
            asked.extend(new);
            prop_assert!(pending <= 3 && asked.len() <= 12);
            if pending == 0 {
                prop_assert!(transfer.is_over(ms(1)));
                break;
            }
            prop_assert!(informed == transfer.is_over(ms(1)));
            transfer.on_answer(answer);
            pending -= 1;
            informed |= answer == PeerKnowledge::Current;
        }
        let count = asked.len();
        asked.sort_unstable();
        asked.dedup();
        prop_assert!(asked.len() == count, "a peer was asked twice");
    }
}
