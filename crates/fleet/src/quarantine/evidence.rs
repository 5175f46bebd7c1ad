//! Verdicts from the observations.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};
use smallvec::SmallVec;

use super::{Kept, Quarantine, Refused, Subject, Verdict};

/// A time of this process in microseconds. Unlike [`Time`] it may be before the start of the
/// process, since other entries report what is older than this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Moment(i64);

pub(super) fn moment(time: Time) -> Moment {
    Moment(i64::try_from(time.as_micros()).unwrap_or(i64::MAX))
}

impl Moment {
    pub(super) fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub_unsigned(micros(age)))
    }

    fn after(self, time: Duration) -> Self {
        Self(self.0.saturating_add_unsigned(micros(time)))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub(super) fn since(self, earlier: Self) -> Duration {
        let micros = self.0.saturating_sub(earlier.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// When requests or parts were last answered.
#[derive(Debug)]
pub(super) struct AnswerHistory {
    last: HashMap<Fingerprint, Moment>,
    max: usize,
}

impl AnswerHistory {
    pub(super) fn new(max: usize) -> Self {
        let last = HashMap::new();
        Self { last, max }
    }

    pub(super) fn get(&self, key: Fingerprint) -> Option<Moment> {
        self.last.get(&key).copied()
    }

    /// Records an answer. Returns the one known before if the new one is later.
    pub(super) fn record(&mut self, key: Fingerprint, at: Moment) -> Recorded {
        let before = self.get(key);
        if before.is_some_and(|b| b >= at) {
            return Recorded::Outdated;
        }
        if self.last.len() >= self.max && before.is_none() {
            self.drop_older_half();
        }
        self.last.insert(key, at);
        Recorded::Newer(before)
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Moment> = self.last.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.last.retain(|_, at| *at > median);
    }
}

/// What recording an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recorded {
    /// A later answer was known.
    Outdated,
    /// It is the latest; the one before it, if any.
    Newer(Option<Moment>),
}

/// Maximum number of distinct runs and requests that are counted. It exceeds every threshold.
const MAX_COUNTED: usize = 64;

/// Maximum number of parts that are judged at a time.
const MAX_JUDGED: usize = 32;
/// Number of crashes by which a part on which answers were written before is less likely to
/// be the cause than one without.
const PROVEN_DISCOUNT: isize = 2;

/// Factor by which each refusal after the first lasts longer than the one before.
const TERM_GROWTH: u32 = 4;

/// What counts against a request or a part.
#[derive(Default)]
pub(super) struct Evidence {
    /// Lost runs, and when each was lost.
    pub(super) runs: SmallVec<[(u64, Moment); 8]>,
    requests: SmallVec<[Fingerprint; 8]>,
    /// Position in the prompt, counted from its start.
    position: usize,
}

impl Evidence {
    fn add(&mut self, run: u64, request: Fingerprint, position: usize, at: Moment) {
        let known = self.runs.iter().any(|(r, _)| *r == run);
        if self.runs.len() < MAX_COUNTED && !known {
            self.runs.push((run, at));
        }
        if self.requests.len() < MAX_COUNTED && !self.requests.contains(&request) {
            self.requests.push(request);
        }
        self.position = position;
    }

    /// Returns when the runs were lost, the first one first.
    fn sorted_times(&self) -> SmallVec<[Moment; 8]> {
        let mut times: SmallVec<[Moment; 8]> = self.runs.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        times
    }

    /// Returns the crashes under different requests. A single request that crashes
    /// endpoints says little about the parts of its prompt.
    fn strikes(&self) -> usize {
        self.runs.len().min(self.requests.len())
    }

    /// Returns how likely the part is the cause, to be compared with other parts. Of parts
    /// in the same crashes the later one in the prompt is more specific: a beginning is also
    /// in requests that merely ran beside a crash.
    fn weight(&self, proven: bool) -> (isize, usize) {
        let discount = if proven { PROVEN_DISCOUNT } else { 0 };
        let runs = self.runs.len() + self.position;
        (runs as isize - discount, self.position)
    }
}

impl Quarantine {
    /// Returns what counts against a request.
    pub(super) fn request_evidence(&self, now: Time, request: Fingerprint) -> Evidence {
        let mut evidence = Evidence::default();
        if !self.requests.contains_key(&request) {
            return evidence;
        }
        let since = self.strikes_since(now, self.answered_requests.get(request));
        for kept in &self.reports {
            if kept.report.request == request && kept.at > since && kept.counts(now) {
                evidence.add(kept.report.run, request, 0, kept.at);
            }
        }
        evidence
    }

    /// Returns the time after which strikes count, for a key that was last answered at
    /// `answered`.
    fn strikes_since(&self, now: Time, answered: Option<Moment>) -> Moment {
        let oldest = moment(now).before(self.settings.strike_ttl);
        answered.map_or(oldest, |a| a.max(oldest))
    }

    /// Returns until when a key is refused that crashed endpoints at `times`, the last of
    /// `threshold` within `term`.
    ///
    /// Each crash after the end of a refusal begins a longer one at once: the crashes before
    /// it still count, as no answer has come since. So a request that begins to crash
    /// endpoints after it was answered is tried ever more seldom, while one that was refused
    /// by mistake is answered at the next attempt.
    fn refused_until(&self, times: &[Moment], threshold: usize, term: Duration) -> Option<Moment> {
        let mut term = term;
        let mut until: Option<Moment> = None;
        for (index, at) in times.iter().enumerate() {
            match until {
                None => {
                    let first = (index + 1).checked_sub(threshold).map(|first| times[first]);
                    if first.is_none_or(|first| at.since(first) >= term) {
                        continue;
                    }
                }
                Some(end) if *at >= end => {
                    term = (term * TERM_GROWTH).min(self.settings.strike_ttl);
                }
                Some(_) => {}
            }
            until = Some(at.after(term));
        }
        until
    }

    /// Returns the runs of inferred reports on a request whose loss another refused request
    /// explains: one with more strikes, or as many and better evidence.
    fn explained_runs(&self, request: Fingerprint, strikes: usize) -> SmallVec<[u64; 8]> {
        let quality = |key| {
            (
                self.answered_requests.get(key).is_none(),
                self.is_direct(key),
            )
        };
        let own = (strikes, quality(request));
        let explains = |other: Fingerprint| {
            let refused = self.refused_requests.get(&other);
            refused.is_some_and(|r| (r.strikes, quality(other)) > own)
        };
        let inferred = |k: &&Kept| k.report.request == request && k.report.inferred;
        let inferred = self.reports.iter().filter(inferred).map(|k| k.report.run);
        let by_other = |run: &u64| {
            let mut reports = self.reports.iter().filter(|k| k.report.run == *run);
            reports.any(|k| explains(k.report.request))
        };
        inferred.filter(by_other).collect()
    }

    /// Returns whether a request was with a run as it was lost, by one report at least.
    fn is_direct(&self, request: Fingerprint) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|k| k.report.request == request && !k.report.inferred)
    }

    /// Decides whether a request is refused, and whether others still are.
    pub(super) fn judge_request(&mut self, now: Time, request: Fingerprint) {
        if !self.judge_one(now, request) {
            return;
        }
        let others = self.refused_requests.iter();
        let others = others.filter(|(key, r)| **key != request && r.active);
        let others: SmallVec<[Fingerprint; 4]> = others.map(|(key, _)| *key).collect();
        for other in others {
            self.judge_one(now, other);
        }
    }

    /// Decides whether a request is refused. Returns whether it is.
    fn judge_one(&mut self, now: Time, request: Fingerprint) -> bool {
        let settings = &self.settings;
        let (threshold, term) = match self.answered_requests.get(request) {
            Some(_) => (settings.proven_request_strikes, settings.proven_strike_ttl),
            None => (settings.request_strikes, settings.strike_ttl),
        };
        let mut evidence = self.request_evidence(now, request);
        let mut until = self.refused_until(&evidence.sorted_times(), threshold, term);
        if until.is_some() {
            let explained = self.explained_runs(request, evidence.runs.len());
            evidence.runs.retain(|(run, _)| !explained.contains(run));
            until = self.refused_until(&evidence.sorted_times(), threshold, term);
        }
        let strikes = evidence.runs.len();
        let refused = until.map(|until| Refused::new(now, strikes, until));
        let before = match refused {
            Some(refused) => self.refused_requests.insert(request, refused),
            None => self.refused_requests.remove(&request),
        };
        let was_active = before.is_some_and(|b| b.active);
        let active = refused.is_some_and(|r| r.active);
        if was_active != active {
            self.verdicts.push(Verdict {
                subject: Subject::Request,
                key: request,
                strikes,
                refused: active,
                expired: before.is_some_and(|b| b.until <= moment(now)),
            });
        }
        active
    }

    /// Decides which parts are refused.
    ///
    /// Each crash has one cause, but every part of the requests that ran has a strike. So
    /// the likeliest part is judged first, and the crashes that it explains don't count
    /// against the others, even if there is too little evidence to refuse it.
    pub(super) fn judge_parts(&mut self, now: Time) {
        let mut refused: HashMap<Fingerprint, Refused> = HashMap::new();
        let mut judged: Vec<Fingerprint> = Vec::new();
        let mut explained: Vec<u64> = Vec::new();
        self.suspect_parts.clear();
        for kept in &self.reports {
            for part in &kept.report.parts {
                let newest = self.suspect_parts.entry(*part).or_insert(kept.at);
                *newest = kept.at.max(*newest);
            }
        }
        while judged.len() < MAX_JUDGED {
            let Some((part, evidence)) = self.likeliest_part(now, &judged, &explained) else {
                break;
            };
            judged.push(part);
            explained.extend(evidence.runs.iter().map(|(run, _)| *run));
            let settings = &self.settings;
            let (threshold, term) = match self.answered_parts.get(part) {
                Some(_) => (settings.proven_part_strikes, settings.proven_strike_ttl),
                None => (settings.part_strikes, settings.strike_ttl),
            };
            let strikes = evidence.strikes();
            let until = self.refused_until(&evidence.sorted_times(), threshold, term);
            if let Some(until) = until.filter(|_| strikes >= threshold) {
                refused.insert(part, Refused::new(now, strikes, until));
            }
        }
        let before = std::mem::replace(&mut self.refused_parts, refused);
        let active = |all: &HashMap<Fingerprint, Refused>, key: &Fingerprint| {
            all.get(key).is_some_and(|r| r.active)
        };
        let ended = before.iter().map(|(key, r)| (key, r, false));
        let begun = self.refused_parts.iter().map(|(key, r)| (key, r, true));
        let changed = ended
            .chain(begun)
            .filter(|(_, r, _)| r.active)
            .filter(|(key, ..)| active(&before, key) != active(&self.refused_parts, key));
        self.verdicts
            .extend(changed.map(|(key, r, refused)| Verdict {
                subject: Subject::Part,
                key: *key,
                strikes: r.strikes,
                refused,
                expired: !refused && r.until <= moment(now),
            }));
    }

    /// Returns the part that most likely caused the crashes which aren't explained yet,
    /// without those in `judged`, and what counts against it.
    fn likeliest_part(
        &self,
        now: Time,
        judged: &[Fingerprint],
        explained: &[u64],
    ) -> Option<(Fingerprint, Evidence)> {
        let mut all: HashMap<Fingerprint, Evidence> = HashMap::new();
        for kept in &self.reports {
            if explained.contains(&kept.report.run) || !kept.counts(now) {
                continue;
            }
            for (position, part) in kept.report.parts.iter().enumerate() {
                let answered = self.answered_parts.get(*part);
                if kept.at > self.strikes_since(now, answered) {
                    let evidence = all.entry(*part).or_default();
                    evidence.add(kept.report.run, kept.report.request, position, kept.at);
                }
            }
        }
        let suspected =
            |part: &Fingerprint, e: &Evidence| e.runs.len() > 1 && !judged.contains(part);
        let candidates = all.into_iter().filter(|(part, e)| suspected(part, e));
        candidates.max_by_key(|(part, e)| {
            let proven = self.answered_parts.get(*part).is_some();
            (e.weight(proven), *part)
        })
    }
}
