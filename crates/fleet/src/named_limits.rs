//! Rates of requests that endpoints name for all entries together.
//!
//! A share of such a rate for each entry would be far below one request, and the first
//! request of each entry alone could exceed it. A few entries, on which all agree, hold the
//! rate of an endpoint instead, and the others send it nothing. See
//! `docs/decisions/0015-named-limits.md`.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;

use crate::Name;
use crate::quarantine::Aged;

/// Time after which a limit that no answer has confirmed is forgotten.
const LIMIT_TTL: Duration = Duration::from_secs(15);
/// Time for which a limit is in every message, so that it arrives though some are lost.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);
/// Time after which a limit that answers still confirm is announced again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(4);
/// Difference from which on one observation counts as later than that of another entry. The
/// ages in messages don't contain the time that the message took.
const MIN_LATER: Duration = Duration::from_millis(200);
/// Part by which a rate may differ from the one before without counting as another.
const MAX_DRIFT: f64 = 0.1;
/// Time in which unused capacity is kept for later requests, if it is more than one request.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Number of limits in one message at most.
pub(crate) const MAX_ANNOUNCED: usize = 64;

/// What an incarnation of an endpoint said of its rate.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLimit {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Requests a second, or `None` if it names no limit any more.
    pub per_s: Option<f64>,
}

/// Whether an endpoint's limit allows a request of this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// It does, or there is none.
    Free,
    /// It will after this time.
    After(Duration),
    /// Other entries hold the rate.
    HeldByOthers,
}

/// Returns the number of entries that hold a rate. Together they may send one request each
/// beyond the rate, which is less than the rate of a second.
#[must_use]
pub fn holder_count(per_s: f64) -> usize {
    per_s.floor() as usize + 1
}

#[derive(Clone, Debug)]
struct Limit {
    incarnation: u64,
    per_s: Option<f64>,
    /// When an answer last said so.
    observed: Time,
    announced: Time,
    /// Requests a second that this entry may send.
    share: f64,
    /// Requests that this entry may send at `refilled`.
    tokens: f64,
    refilled: Time,
}

impl Limit {
    /// Returns whether a rate is about the one that is known.
    fn is_about(&self, per_s: Option<f64>) -> bool {
        match (self.per_s, per_s) {
            (Some(old), Some(new)) => (old - new).abs() <= old * MAX_DRIFT,
            (old, new) => old == new,
        }
    }

    /// Records that an answer at `observed` confirmed the limit. It is announced again from
    /// time to time, for entries that get few answers or have just started.
    fn confirm(&mut self, now: Time, observed: Time, per_s: Option<f64>) {
        self.observed = observed;
        self.per_s = per_s;
        if per_s.is_some() && now.since(self.announced) >= REPEAT_INTERVAL {
            self.announced = now;
        }
    }

    fn tokens(&self, now: Time) -> f64 {
        let most = (self.share * BURST_TIME.as_secs_f64()).max(1.0);
        let gained = now.since(self.refilled).as_secs_f64() * self.share;
        (self.tokens + gained).min(most)
    }

    fn refill(&mut self, now: Time) {
        self.tokens = self.tokens(now);
        self.refilled = now;
    }

    fn set_share(&mut self, now: Time, holds: impl Fn(usize) -> Option<usize>) {
        self.refill(now);
        let Some(per_s) = self.per_s else {
            return;
        };
        let holders = holds(holder_count(per_s));
        self.share = holders.map_or(0.0, |n| per_s / n.max(1) as f64);
    }
}

/// The limits of every endpoint that names one.
#[derive(Clone, Debug, Default)]
pub struct NamedLimits {
    limits: HashMap<Name, Limit>,
}

impl NamedLimits {
    /// Records what an answer to a request that was sent at `sent` says. Returns whether the
    /// limit is new, has changed or has ended.
    pub fn observe(&mut self, now: Time, sent: Time, said: &NamedLimit) -> bool {
        let Some(limit) = self.limits.get_mut(&said.endpoint) else {
            return said.per_s.is_some() && self.set(now, now, said);
        };
        if said.incarnation < limit.incarnation {
            return false;
        }
        if said.incarnation > limit.incarnation {
            return self.set(now, now, said);
        }
        // An answer without a limit to a request that was sent before the last one with it
        // may have been on its way all the while.
        if said.per_s.is_none() && limit.per_s.is_some() && sent < limit.observed {
            return false;
        }
        if limit.is_about(said.per_s) {
            limit.confirm(now, now, said.per_s);
            return false;
        }
        self.set(now, now, said)
    }

    /// Records what another entry observed. Returns whether the limit is new, has changed or
    /// has ended.
    pub fn merge(&mut self, now: Time, said: &Aged<NamedLimit>) -> bool {
        let observed = now - said.age;
        let item = &said.item;
        let Some(limit) = self.limits.get_mut(&item.endpoint) else {
            let useful = item.per_s.is_some() && said.age < LIMIT_TTL;
            return useful && self.set(now, observed, item);
        };
        let later = observed.since(limit.observed) >= MIN_LATER;
        if item.incarnation < limit.incarnation || (item.incarnation == limit.incarnation && !later)
        {
            return false;
        }
        if item.incarnation == limit.incarnation && limit.is_about(item.per_s) {
            limit.confirm(now, observed, item.per_s);
            return false;
        }
        self.set(now, observed, item)
    }

    fn set(&mut self, now: Time, observed: Time, said: &NamedLimit) -> bool {
        let limit = Limit {
            incarnation: said.incarnation,
            per_s: said.per_s,
            observed,
            announced: now,
            share: 0.0,
            tokens: 0.0,
            refilled: now,
        };
        let known = self.limits.get(&said.endpoint);
        let same = known.filter(|k| k.incarnation == said.incarnation && k.per_s.is_some());
        let limit = match same {
            // The shares are computed anew; what was saved up must not be given twice.
            Some(known) => Limit {
                share: known.share,
                tokens: known.tokens(now),
                ..limit
            },
            None => limit,
        };
        self.limits.insert(said.endpoint.clone(), limit);
        true
    }

    /// Forgets old limits and sets this entry's share of each, see [`Self::set_share`].
    pub fn refresh(&mut self, now: Time, holds: impl Fn(&Name, usize) -> Option<usize>) {
        self.limits.retain(|_, l| now.since(l.observed) < LIMIT_TTL);
        for (endpoint, limit) in &mut self.limits {
            limit.set_share(now, |count| holds(endpoint, count));
        }
    }

    /// Sets this entry's share of an endpoint's limit. `holds` returns, for the number of
    /// holders that there should be, how many there are if this entry is one of them.
    pub fn set_share(&mut self, now: Time, id: &str, holds: impl Fn(usize) -> Option<usize>) {
        if let Some(limit) = self.limits.get_mut(id) {
            limit.set_share(now, holds);
        }
    }

    fn active(&self, id: &str, incarnation: u64) -> Option<(&Limit, f64)> {
        let limit = self.limits.get(id)?;
        let per_s = limit.per_s.filter(|_| limit.incarnation == incarnation)?;
        Some((limit, per_s))
    }

    /// Returns whether an endpoint names a limit.
    #[must_use]
    pub fn is_limited(&self, id: &str, incarnation: u64) -> bool {
        self.active(id, incarnation).is_some()
    }

    /// Returns whether this entry may send an endpoint a request.
    #[must_use]
    pub fn allowance(&self, now: Time, id: &str, incarnation: u64) -> Allowance {
        let Some((limit, _)) = self.active(id, incarnation) else {
            return Allowance::Free;
        };
        let missing = 1.0 - limit.tokens(now);
        if missing <= 0.0 {
            return Allowance::Free;
        }
        if limit.share <= 0.0 {
            return Allowance::HeldByOthers;
        }
        let time = Duration::try_from_secs_f64(missing / limit.share);
        Allowance::After(time.unwrap_or(Duration::MAX))
    }

    /// Returns the requests a second that this entry may send an endpoint, if it is limited.
    #[must_use]
    pub fn share(&self, id: &str, incarnation: u64) -> Option<f64> {
        self.active(id, incarnation).map(|(limit, _)| limit.share)
    }

    /// Takes one request from an endpoint's limit, if it has one. Returns whether the request
    /// may be sent.
    pub fn take(&mut self, now: Time, id: &str, incarnation: u64) -> bool {
        if !self.is_limited(id, incarnation) {
            return true;
        }
        let Some(limit) = self.limits.get_mut(id) else {
            return true;
        };
        limit.refill(now);
        let allowed = limit.tokens >= 1.0;
        if allowed {
            limit.tokens -= 1.0;
        }
        allowed
    }

    /// Returns the limits to tell other entries of, the latest first.
    #[must_use]
    pub fn announcements(&self, now: Time) -> Vec<Aged<NamedLimit>> {
        let recent = self.limits.iter();
        let recent = recent.filter(|(_, l)| now.since(l.announced) < ANNOUNCE_TIME);
        let mut announced: Vec<_> = recent
            .map(|(endpoint, limit)| Aged {
                item: NamedLimit {
                    endpoint: endpoint.clone(),
                    incarnation: limit.incarnation,
                    per_s: limit.per_s,
                },
                age: now.since(limit.observed),
            })
            .collect();
        announced.sort_unstable_by_key(|a| a.age);
        announced.truncate(MAX_ANNOUNCED);
        announced
    }

    /// Returns the number of endpoints that name a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.limits.values().filter(|l| l.per_s.is_some()).count()
    }
}
