//! Draws the entries that a caller is told to use.
//!
//! Callers choose at random among the named entries and keep an answer for seconds, so
//! an answer that is the same for everybody sends all load to the entries that it names.
//! Each answer is drawn anew: entries are named in proportion to the load that they can
//! carry, those of the caller's data centre first, and some of others, so that the loss
//! of a data centre leaves every caller live addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{Rng, RngExt as _};

/// An entry that accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryEntry<'a> {
    /// Address for callers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Load that it can carry, relative to other entries.
    pub capacity: u32,
}

/// Largest number of entries that are all named in every answer.
const ALL_NAMED_LIMIT: usize = 40;
/// Smallest and largest number of addresses in an answer of a larger deployment.
const MIN_ADDRESSES: usize = 5;
const MAX_ADDRESSES: usize = 16;
/// Fraction of a data centre's entries that an answer names. With many more, entries of
/// different capacity would be named equally often.
const NAMED_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the addresses that are in the caller's data centre if it has its share of
/// the capacity.
const LOCAL_FRACTION: f64 = 0.875;

/// Draws addresses for a caller in this data centre, if it is known.
pub fn draw_addresses(
    entries: &[DirectoryEntry<'_>],
    data_centre: Option<&str>,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    if entries.len() <= ALL_NAMED_LIMIT {
        return entries.iter().map(|e| e.address).collect();
    }
    let is_local = |e: &&DirectoryEntry<'_>| Some(e.data_centre) == data_centre;
    let (local, remote): (Vec<_>, Vec<_>) = entries.iter().partition(is_local);
    let count = address_count(entries);
    let wanted = count as f64 * LOCAL_FRACTION * relative_capacity(entries, &local);
    // At least one address is in another data centre.
    let wanted = (wanted.round() as usize).min(count - 1);
    let mut addresses = draw(local, wanted, rng);
    addresses.extend(draw(remote, count - addresses.len(), rng));
    addresses
}

/// Returns the number of addresses in an answer.
fn address_count(entries: &[DirectoryEntry<'_>]) -> usize {
    let mut data_centres: Vec<&str> = entries.iter().map(|e| e.data_centre).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    let average = entries.len() as f64 / data_centres.len().max(1) as f64;
    let count = (average * NAMED_FRACTION).round() as usize;
    count.clamp(MIN_ADDRESSES, MAX_ADDRESSES)
}

/// Returns the capacity of the local entries relative to the average data centre, at most
/// one: a data centre that has lost entries sends some of its callers to others.
fn relative_capacity(entries: &[DirectoryEntry<'_>], local: &[&DirectoryEntry<'_>]) -> f64 {
    let mut capacities: BTreeMap<&str, f64> = BTreeMap::new();
    for entry in entries {
        *capacities.entry(entry.data_centre).or_default() += f64::from(entry.capacity);
    }
    let total: f64 = capacities.values().sum();
    let average = total / capacities.len().max(1) as f64;
    let local: f64 = local.iter().map(|e| f64::from(e.capacity)).sum();
    (local / average.max(1.0)).min(1.0)
}

/// Draws this many entries without repetition, with probabilities that follow their
/// capacities.
fn draw(entries: Vec<&DirectoryEntry<'_>>, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
    // Of exponential variables with the capacities as rates, the lowest belong to entries
    // drawn in proportion to their capacities.
    let key = |e: &DirectoryEntry<'_>| {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln() / f64::from(e.capacity.max(1))
    };
    let keys = entries.iter().copied().map(key);
    let mut keyed: Vec<(f64, SocketAddr)> = keys.zip(entries.iter().map(|e| e.address)).collect();
    keyed.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    keyed.into_iter().take(count).map(|(_, a)| a).collect()
}
