//! Routing: which endpoint gets a request, from what this entry knows of all of them.
//!
//! The decisions themselves are in `bulrushhoist-fleet`; this module gathers their inputs
//! from the entry's state.

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Candidate, ColdLimiter, Engine, Health, LeaderChoice, LeaderChoiceSettings, Name,
    PlainCandidate, PlainChoice, RequestTimes, Service, SlotLimit, Work, choose_leader,
    choose_plain_endpoint, published_request_time,
};
use smallvec::SmallVec;

use crate::queues::ModelKey;
use crate::sends::time_factor;
use crate::state::{COLD_RATE_FACTOR, HeldBack, MAX_LIMITED_TIME, State};

/// The leaders of a model that may be chosen, by health, and why others may not.
#[derive(Default)]
struct LeadersByHealth {
    candidates: SmallVec<[Candidate; 16]>,
    /// Leaders whose begun streams of this entry are silent.
    quiet: SmallVec<[Candidate; 4]>,
    suspects: SmallVec<[Candidate; 4]>,
    /// Why the first of the others may not be sent a request, and for how long.
    held: Option<HeldBack>,
    /// Time until the first unsuspected leader that rejected a request may be used again.
    rejecting: Option<Duration>,
    /// The same for leaders that were full.
    full: Option<Duration>,
    /// Rate of requests that the leaders' limits leave to this entry, per second.
    rate: f64,
}

impl LeadersByHealth {
    /// Records that a leader is excluded for this time because it rejected a request.
    fn exclude(&mut self, time: Duration, unfit: bool) {
        let sooner = |known: Option<Duration>| Some(known.map_or(time, |t| t.min(time)));
        self.rejecting = sooner(self.rejecting);
        if !unfit {
            self.full = sooner(self.full);
        }
    }

    /// Returns how long to wait for a leader that rejected a request where no other is alive.
    ///
    /// A full leader has slots again before a quiet or suspected one is known to serve. An
    /// unfit one may not, and a quiet one that isn't suspected is the better choice.
    fn exclusion(&self) -> Option<Duration> {
        let awaited = match self.quiet.is_empty() {
            true => self.rejecting,
            false => self.full,
        };
        awaited.filter(|_| self.candidates.is_empty())
    }

    /// Returns the leaders of the best health that any has.
    fn healthiest(&self) -> &[Candidate] {
        let by_health = [&self.candidates[..], &self.quiet[..], &self.suspects[..]];
        let best = by_health.into_iter().find(|c| !c.is_empty());
        best.unwrap_or_default()
    }
}

impl State {
    /// Returns whether this entry has used up its share of a model's slots before it has
    /// received the loads of all other entries. The share prevents overload after a restart
    /// of all entries, when each of them sees only idle leaders.
    fn is_share_used(&self, now: Time, engine: &Engine, leaders: &[Candidate]) -> bool {
        if self.peers.is_settled(now) {
            return false;
        }
        let entries = self.entries(now);
        let own = leaders.iter().filter_map(|c| self.loads.get(&c.id));
        let own: u32 = own.map(|l| l.requests).sum();
        let slots = leaders.len() as f64 * f64::from(engine.slots);
        f64::from(own) >= (slots / entries as f64).ceil()
    }

    fn has_cold_capacity(&self, now: Time, id: &Name, per_s: f64) -> bool {
        let entries = self.entries(now);
        let has_capacity = |a: &ColdLimiter| a.allows(now, per_s * COLD_RATE_FACTOR, entries);
        per_s <= 0.0 || self.cold.get(id).is_none_or(has_capacity)
    }

    /// Chooses a leader for a request. Leaders in `avoid` are left out because the request
    /// has failed there.
    pub(crate) fn choose_leader(
        &mut self,
        now: Time,
        data_centre: &str,
        key: &ModelKey,
        work: Work,
        slot_limit: SlotLimit,
        avoid: &[Name],
    ) -> LeaderChoice {
        let (service, model) = key;
        let catalog = self.catalog.clone();
        let configured = catalog.service(service);
        let Some((configured, engine)) = configured.and_then(|s| s.engine.as_ref().map(|e| (s, e)))
        else {
            return LeaderChoice::Unavailable;
        };
        let time_factor = time_factor(engine, model);
        let critical = catalog.is_latency_critical(service);
        let leaders = self.leaders_of(now, data_centre, key, configured, engine, avoid);
        if let Some(remaining) = leaders.exclusion().filter(|_| critical) {
            return LeaderChoice::Paused(remaining);
        }
        let entries = self.entries(now);
        let queue = self.queues.get(key);
        let own_rate = queue.map_or(0.0, |q| q.waiting.start_rate(now));
        let age = self.peers.view_age();
        let stale_view = critical.then(|| {
            let prior = published_request_time(engine, time_factor, work);
            let times = self.request_times.get(key);
            let unmeasured = RequestTimes::default();
            times.unwrap_or(&unmeasured).view(now, age, prior)
        });
        let settings = LeaderChoiceSettings {
            entries,
            // Callers choose entries at random, so each entry has about the same rate.
            unseen_arrivals: own_rate * entries as f64 * age.as_secs_f64(),
            stale_view,
            ..LeaderChoiceSettings::default()
        };
        let chosen = leaders.healthiest();
        match leaders.held {
            Some(HeldBack::Paused(remaining)) if chosen.is_empty() => {
                return LeaderChoice::Paused(remaining);
            }
            Some(HeldBack::Limited(remaining)) if chosen.is_empty() => {
                // Those that wait already go first.
                let ahead = queue.map_or(0, |q| q.waiting.len()) as f64;
                let ahead =
                    Duration::try_from_secs_f64(ahead / leaders.rate).unwrap_or(MAX_LIMITED_TIME);
                return LeaderChoice::Limited(remaining.saturating_add(ahead));
            }
            _ => {}
        }
        if self.is_share_used(now, engine, chosen) {
            return LeaderChoice::Full;
        }
        choose_leader(
            &settings,
            engine,
            time_factor,
            chosen,
            work,
            slot_limit,
            &mut self.rng,
        )
    }

    /// Sorts the leaders of a model by what this entry knows of their health.
    fn leaders_of(
        &self,
        now: Time,
        data_centre: &str,
        key: &ModelKey,
        configured: &Service,
        engine: &Engine,
        avoid: &[Name],
    ) -> LeadersByHealth {
        let (service, model) = key;
        let time_factor = time_factor(engine, model);
        let usable = self
            .roster
            .leaders(service, model)
            .filter(|e| !avoid.contains(&e.id));
        let critical = self.catalog.is_latency_critical(service);
        let mut found = LeadersByHealth::default();
        for leader in usable {
            found.rate += self
                .limits
                .share(&leader.id, leader.incarnation)
                .unwrap_or(0.0);
            if let Some(reason) = self.held_back(now, leader) {
                found.held = Some(found.held.map_or(reason, |h| h.sooner(reason)));
                let rejected = self.fitness.remaining(now, &leader.id, leader.incarnation);
                if rejected.is_some() && self.health(now, leader) == Health::Alive {
                    let unfit = self.fitness.is_unfit(&leader.id, leader.incarnation);
                    found.exclude(reason.time(), unfit);
                }
                continue;
            }
            let candidate = Candidate {
                id: leader.id.clone(),
                batch: self.batch(now, &leader.id),
                own: self.own_batch(&leader.id),
                local: &*leader.data_centre == data_centre,
                slowdown: self.slowdown(now, engine, leader),
                cold_limited: !self.has_cold_capacity(now, &leader.id, configured.cold_per_s),
            };
            let factor = time_factor * candidate.slowdown;
            match self.health(now, leader) {
                Health::Alive if critical && self.is_quiet(now, &leader.id, engine, factor) => {
                    found.quiet.push(candidate);
                }
                Health::Alive => found.candidates.push(candidate),
                Health::Suspect => found.suspects.push(candidate),
                Health::Silent | Health::Dead => {}
            }
        }
        found
    }

    /// Chooses an endpoint of a service without engines, preferring those that this call
    /// has not tried.
    pub(crate) fn choose_endpoint(
        &mut self,
        now: Time,
        data_centre: &str,
        service: &str,
        tried: &[Name],
    ) -> PlainChoice {
        let mut endpoints: SmallVec<[PlainCandidate; 8]> = SmallVec::new();
        let mut held: Option<HeldBack> = None;
        for endpoint in self.roster.of_service(service) {
            let reason = self.held_back(now, endpoint);
            if let Some(reason) = reason.filter(|_| !tried.contains(&endpoint.id)) {
                held = Some(held.map_or(reason, |h| h.sooner(reason)));
                continue;
            }
            let health = self.health(now, endpoint);
            if health == Health::Dead {
                continue;
            }
            endpoints.push(PlainCandidate {
                id: endpoint.id.clone(),
                requests: self.batch(now, &endpoint.id).requests as u32,
                slots: endpoint.slots,
                local: &*endpoint.data_centre == data_centre,
                suspect: health != Health::Alive || self.roster.has_returned(&endpoint.id),
                tried: tried.contains(&endpoint.id),
            });
        }
        match (choose_plain_endpoint(&endpoints, &mut self.rng), held) {
            (PlainChoice::Unavailable, Some(HeldBack::Paused(time))) => PlainChoice::Paused(time),
            (PlainChoice::Unavailable, Some(HeldBack::Limited(time))) => PlainChoice::Limited(time),
            (choice, _) => choice,
        }
    }
}
