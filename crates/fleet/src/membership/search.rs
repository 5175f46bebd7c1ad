//! How an entry that gets no digests finds the live entries of its data centre.
//!
//! The records of removed VMs stay in the store, so most candidates for a hub may be dead.
//! An entry that none of its candidates answers therefore reports to every registered one
//! within a fixed time, however many there are. If nobody answers, it is alone and becomes
//! a hub. A hub also tries the entries that it doesn't hear. See `docs/decisions/0011-hundreds-of-entries.md`.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use super::{HUB_TIMEOUT, Membership, REDUCED_RATE_TICKS, Role};

/// Time in which every entry of a data centre from which none is heard is tried.
const SEARCH_TIME: Duration = Duration::from_secs(2);
/// The same for later rounds, after a first one was in vain.
const REPEAT_TIME: Duration = Duration::from_secs(20);

/// The search of an entry that gets no digests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Search {
    /// When the last digest lapsed.
    since: Time,
    /// Place of the entry to try next in the order of ranks.
    next: usize,
    /// When the first round ended.
    ended: Option<Time>,
}

/// Returns how many of `count` entries to try at once, such that a round of all of them
/// takes at most `round` with one turn in each `interval`.
fn per_turn(count: usize, interval: Duration, round: Duration) -> usize {
    let share = interval.as_secs_f64() / round.as_secs_f64();
    (count as f64 * share).ceil() as usize
}

impl Membership {
    /// Advances the search for live entries in this data centre and returns whom to send
    /// a report as part of it.
    pub(super) fn update_search(&mut self, now: Time) -> SmallVec<[SocketAddr; 4]> {
        if self.role == Role::Direct || !self.views.is_empty() {
            self.search = None;
            return self.unheard_candidates(now);
        }
        let search = self.search.get_or_insert(Search {
            since: now,
            next: 0,
            ended: None,
        });
        if now.since(search.since) < HUB_TIMEOUT {
            return SmallVec::new();
        }
        let own = self.registry.own();
        let ranked = self.registry.in_data_centre(&own.data_centre);
        let round = match search.ended {
            None => SEARCH_TIME,
            Some(_) => REPEAT_TIME,
        };
        let count = per_turn(ranked.len(), self.settings.interval, round);
        let tried = ranked.iter().skip(search.next).take(count);
        let others = tried.filter(|k| **k != self.registry.own_key());
        let addresses = others.filter_map(|k| Some(self.registry.get(*k)?.peers));
        let addresses = addresses.collect();
        search.next += count;
        if search.next >= ranked.len() {
            search.next = 0;
            search.ended.get_or_insert(now);
        }
        addresses
    }

    /// Returns which unheard entries of its data centre a hub tries, in turn. After a mass
    /// failure two entries may become hubs that each hear only their own followers; neither
    /// would ever report to the other.
    fn unheard_candidates(&self, now: Time) -> SmallVec<[SocketAddr; 4]> {
        if self.role != Role::Hub || !self.ticks.is_multiple_of(REDUCED_RATE_TICKS) {
            return SmallVec::new();
        }
        let ranked = self.registry.in_data_centre(self.own_data_centre());
        let candidates = self.summary_candidates(now, ranked).into_iter();
        let own = self.registry.own_key();
        let unheard = candidates.filter(|k| *k != own && !self.is_heard(*k));
        let addresses = unheard.filter_map(|k| Some(self.registry.get(k)?.peers));
        addresses.collect()
    }

    /// Returns whether no candidate for a hub has answered for a while.
    pub(super) fn is_searching(&self, now: Time) -> bool {
        self.search
            .is_some_and(|s| now.since(s.since) >= HUB_TIMEOUT)
    }

    /// Returns whether every other entry of this data centre was tried in vain.
    pub(super) fn is_alone(&self, now: Time) -> bool {
        let ended = self.search.and_then(|s| s.ended);
        ended.is_some_and(|at| now.since(at) >= HUB_TIMEOUT)
    }

    /// Returns whether an entry that found itself alone has tried the entries of the other
    /// data centres, too. Before that, one of them may plan unheard.
    pub(super) fn has_searched_others(&self, now: Time) -> bool {
        if self.search.is_none_or(|s| s.ended.is_none()) {
            return true;
        }
        let own = self.own_data_centre();
        let mut others = self.registry.data_centres().filter(|d| *d != own);
        let answer_time = self.settings.interval * 4;
        now.since(self.role_since) >= SEARCH_TIME + answer_time
            || others.all(|d| self.best_summary(d).is_some())
    }

    /// Returns which entries to try in a data centre from which none is heard, besides its
    /// presumed hubs: all of them soon after this entry became a hub, then more slowly.
    pub(super) fn summary_candidates(&self, now: Time, ranked: &[u32]) -> SmallVec<[u32; 4]> {
        let round = match now.since(self.role_since) < SEARCH_TIME * 2 {
            true => SEARCH_TIME,
            false => REPEAT_TIME,
        };
        let interval = self.settings.interval * REDUCED_RATE_TICKS as u32;
        let count = per_turn(ranked.len(), interval, round);
        let turn = (self.ticks / REDUCED_RATE_TICKS) as usize;
        let start = (turn * count) % ranked.len().max(1);
        ranked
            .iter()
            .cycle()
            .skip(start)
            .take(count)
            .copied()
            .collect()
    }
}
