//! Tests of the addresses that callers are told, from a few to 1,400 entries.

use std::collections::HashMap;
use std::net::SocketAddr;

use bulrushhoist_fleet::{DirectoryEntry, draw_addresses};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Maximum ratio of the busiest entry's share of the callers to its share of the capacity.
const MAX_OVERLOAD: f64 = 1.3;
const CENTRES: [&str; 5] = ["dc-a", "dc-b", "dc-c", "dc-d", "dc-e"];

/// Returns entries of unequal size: in each data centre three large ones, and more small
/// ones in some than in others.
fn entries(count: usize) -> Vec<DirectoryEntry<'static>> {
    let centre = |i: usize| match i % 11 {
        0 | 5 => 0,
        1 | 6 => 1,
        2 | 7 => 2,
        3 | 8 => 3,
        4 | 9 => 4,
        _ => 1,
    };
    (0..count)
        .map(|i| DirectoryEntry {
            address: SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 80)),
            data_centre: CENTRES[centre(i)],
            capacity: if i < 15 { 500 } else { 120 },
        })
        .collect()
}

/// Returns each entry's share of the callers after many answers. Every data centre has
/// callers in proportion to its capacity.
fn shares(entries: &[DirectoryEntry<'_>]) -> HashMap<SocketAddr, f64> {
    let mut rng = SmallRng::seed_from_u64(1);
    let total: u32 = entries.iter().map(|e| e.capacity).sum();
    let mut shares = HashMap::new();
    for centre in CENTRES {
        let own = entries.iter().filter(|e| e.data_centre == centre);
        let callers = f64::from(own.map(|e| e.capacity).sum::<u32>()) / f64::from(total);
        let answers = 14_000;
        for _ in 0..answers {
            let named = draw_addresses(entries, Some(centre), &mut rng);
            for address in &named {
                let share = callers / f64::from(answers) / named.len() as f64;
                *shares.entry(*address).or_insert(0.0) += share;
            }
        }
    }
    shares
}

/// Guards against answers that name the same entries to everybody, and against small VMs
/// that are named as if they could carry as much as the large ones.
#[test]
fn callers_are_spread_by_capacity() {
    for count in [76, 295, 1_400] {
        let entries = entries(count);
        let shares = shares(&entries);
        let total: u32 = entries.iter().map(|e| e.capacity).sum();
        for entry in &entries {
            let share = shares.get(&entry.address).copied();
            let share = share.unwrap_or_else(|| panic!("{count}: {entry:?} is never named"));
            let capacity = f64::from(entry.capacity) / f64::from(total);
            let overload = share / capacity;
            assert!(
                overload <= MAX_OVERLOAD,
                "{count}: {entry:?} gets {overload:.2} times its share"
            );
        }
    }
}

/// Guards against callers without a live address: when a data centre is lost, the answer
/// that a caller already has names entries of others, too.
#[test]
fn every_answer_outlives_the_loss_of_a_data_centre() {
    let mut rng = SmallRng::seed_from_u64(2);
    for count in [7, 76, 295, 1_400] {
        let entries = entries(count);
        let centre_of: HashMap<SocketAddr, &str> =
            entries.iter().map(|e| (e.address, e.data_centre)).collect();
        for centre in CENTRES {
            for _ in 0..200 {
                let named = draw_addresses(&entries, Some(centre), &mut rng);
                assert!(named.len() <= 64);
                for lost in CENTRES {
                    assert!(named.iter().any(|a| centre_of[a] != lost));
                }
            }
        }
    }
}

/// Guards against the entries of a data centre that has lost most of its capacity getting
/// all callers there.
#[test]
fn a_data_centre_short_of_entries_sends_callers_to_others() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut entries = entries(295);
    let mut kept = 0;
    entries.retain(|e| {
        kept += usize::from(e.data_centre == "dc-c");
        e.data_centre != "dc-c" || kept % 5 == 0
    });
    let mut nearby = 0;
    for _ in 0..1_000 {
        let named = draw_addresses(&entries, Some("dc-c"), &mut rng);
        let local = |a: &&SocketAddr| {
            let entry = entries.iter().find(|e| e.address == **a).unwrap();
            entry.data_centre == "dc-c"
        };
        nearby += named.iter().filter(local).count();
    }
    let fraction = f64::from(nearby as u32) / 16_000.0;
    assert!(fraction < 0.35, "{fraction}");
}
