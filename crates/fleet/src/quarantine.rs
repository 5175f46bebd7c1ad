//! Quarantine of requests, and of parts of prompts, under which endpoints crash.
//!
//! Entries exchange what they saw: which request was running at which endpoint run when
//! this was lost, and which requests and parts were answered since. All verdicts follow from
//! these observations, so entries with the same observations agree. See
//! `docs/decisions/0012-poison-parts.md`.

mod evidence;
mod exchange;
mod runs;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};
use smallvec::SmallVec;

use evidence::{AnswerHistory, Moment, moment};

pub use exchange::{Aged, Answer};
pub use runs::{AttemptKey, Loss};

use crate::Name;
use runs::Runs;

/// Fingerprints of the parts of a prompt that other requests may share, in their order.
pub type SharedParts = SmallVec<[Fingerprint; 2]>;

/// Limits of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Crashed endpoint runs from which a request is refused.
    pub request_strikes: usize,
    /// The same for a request that was answered before.
    pub proven_request_strikes: usize,
    /// Crashed endpoint runs, each under another request, from which a part is refused.
    pub part_strikes: usize,
    /// The same for a part on which an answer was written before.
    pub proven_part_strikes: usize,
    /// Time after which a strike expires.
    pub strike_ttl: Duration,
    /// The same for strikes of a request or part that was answered before.
    pub proven_strike_ttl: Duration,
    /// Maximum number of reports that are kept.
    pub max_reports: usize,
    /// Maximum number of answered requests, and of answered parts, that are remembered.
    pub max_answered: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            request_strikes: 2,
            proven_request_strikes: 3,
            part_strikes: 3,
            proven_part_strikes: 5,
            strike_ttl: Duration::from_secs(600),
            proven_strike_ttl: Duration::from_secs(30),
            max_reports: 512,
            max_answered: 2_048,
        }
    }
}

/// Time after which inferred reports count. Until then the answers since the crash, which
/// other entries know of, arrive.
const INFERRED_GRACE: Duration = Duration::from_millis(300);

/// The loss of an endpoint run under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Hash of the endpoint's name and incarnation. Reports of the same run count once.
    pub run: u64,
    /// The request.
    pub request: Fingerprint,
    /// The shared parts of its prompt, if no event of the answer had arrived. A part that
    /// crashes endpoints does so before the first event.
    pub parts: SharedParts,
    /// Whether the attempt had been given up, and the report was made when the loss of the
    /// run became known. Such a report is weaker: the request may not have been there any more.
    pub inferred: bool,
}

/// What is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Subject {
    /// A request, by its fingerprint.
    Request,
    /// Every request whose prompt has a part.
    Part,
}

/// A change of what is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it concerns a request or a part.
    pub subject: Subject,
    /// Its fingerprint.
    pub key: Fingerprint,
    /// Crashed endpoint runs that count against it.
    pub strikes: usize,
    /// Whether it is refused from now on, or no longer.
    pub refused: bool,
    /// Whether a refusal ended because its time was over, and not because of an answer.
    pub expired: bool,
}

/// A reason to refuse a request, and for how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Whether the request or a part of its prompt is refused.
    pub subject: Subject,
    /// Time until the strikes expire.
    pub remaining: Duration,
}

/// A report with the time of the crash and the time at which this entry learned of it.
#[derive(Clone, Debug)]
struct Kept {
    report: CrashReport,
    at: Moment,
    learned: Time,
}

impl Kept {
    /// Returns whether it counts yet.
    fn counts(&self, now: Time) -> bool {
        !self.report.inferred || now.since(self.learned) >= INFERRED_GRACE
    }
}

/// A refusal. It is kept after its end for as long as its strikes count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Refused {
    strikes: usize,
    until: Moment,
    /// Whether it had not ended when it was last judged.
    active: bool,
}

impl Refused {
    fn new(now: Time, strikes: usize, until: Moment) -> Self {
        let active = until > moment(now);
        Self {
            strikes,
            until,
            active,
        }
    }
}

/// The observations of all entries, and what is refused because of them.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    reports: VecDeque<Kept>,
    /// Run and request of every kept report.
    known: HashSet<(u64, Fingerprint)>,
    /// Number of kept reports by request.
    requests: HashMap<Fingerprint, u32>,
    /// Newest crash by part, of all parts in kept reports.
    suspect_parts: HashMap<Fingerprint, Moment>,
    answered_requests: AnswerHistory,
    answered_parts: AnswerHistory,
    refused_requests: HashMap<Fingerprint, Refused>,
    refused_parts: HashMap<Fingerprint, Refused>,
    announcements: Vec<exchange::Announcement>,
    runs: Runs,
    /// Requests of inferred reports, and from when on these count.
    immature: Vec<(Fingerprint, Time)>,
    /// Position in `reports` from which reports are repeated.
    repeat_from: usize,
    verdicts: Vec<Verdict>,
}

impl Quarantine {
    /// Creates a quarantine without observations.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            reports: VecDeque::new(),
            known: HashSet::new(),
            requests: HashMap::new(),
            suspect_parts: HashMap::new(),
            answered_requests: AnswerHistory::new(settings.max_answered),
            answered_parts: AnswerHistory::new(settings.max_answered),
            refused_requests: HashMap::new(),
            refused_parts: HashMap::new(),
            announcements: Vec::new(),
            runs: Runs::default(),
            immature: Vec::new(),
            repeat_from: 0,
            verdicts: Vec::new(),
        }
    }

    /// Records that an endpoint run was lost under a request of this entry.
    pub fn on_crash(&mut self, now: Time, report: CrashReport) {
        self.strike(now, report, Duration::ZERO);
    }

    fn strike(&mut self, now: Time, report: CrashReport, age: Duration) -> bool {
        let request = report.request;
        let has_parts = !report.parts.is_empty();
        let added = self.insert(now, report, age);
        if added {
            self.judge_request(now, request);
            if has_parts {
                self.judge_parts(now);
            }
        }
        added
    }

    /// Records that a request is sent to an endpoint run in a data centre.
    pub fn on_sent(
        &mut self,
        now: Time,
        run: u64,
        centre: &Name,
        request: Fingerprint,
        parts: &SharedParts,
    ) -> AttemptKey {
        self.runs.on_sent(now, run, centre, request, parts)
    }

    /// Records the first event of the answer to an attempt.
    pub fn on_first_event(&mut self, attempt: AttemptKey) {
        self.runs.on_first_event(attempt);
    }

    /// Records that it is known what became of an attempt's request: it was answered or not
    /// run, or its connection broke, which is reported by itself.
    pub fn on_ended(&mut self, attempt: AttemptKey) {
        self.runs.on_ended(attempt);
    }

    /// Records that an attempt was given up while its endpoint had the request.
    pub fn on_given_up(&mut self, now: Time, attempt: AttemptKey) {
        self.runs.on_given_up(now, attempt);
    }

    /// Records that an endpoint run has sent something.
    pub fn on_heard(&mut self, now: Time, run: u64) {
        self.runs.on_heard(now, run);
    }

    /// Records that an endpoint run is lost, however that is known. Returns the requests that
    /// get a strike because the run had them.
    pub fn on_lost(&mut self, now: Time, run: u64, loss: Loss) -> Vec<Fingerprint> {
        let mut struck = Vec::new();
        for (report, age) in self.runs.on_lost(now, run, loss) {
            let request = report.request;
            if self.strike(now, report, age) {
                struck.push(request);
            }
        }
        struck
    }

    /// Records the first event of an answer, which shows that no part of the prompt crashes
    /// endpoints.
    pub fn on_begun(&mut self, now: Time, parts: &[Fingerprint]) {
        for part in parts {
            if self.on_part_answered(now, *part, moment(now)) {
                self.judge_parts(now);
            }
        }
    }

    /// Records a complete answer to a request.
    pub fn on_answered(&mut self, now: Time, request: Fingerprint) {
        if self.on_request_answered(now, request, moment(now)) {
            self.judge_request(now, request);
        }
    }

    /// Returns why a request must not be sent to an endpoint, if it must not.
    #[must_use]
    pub fn check(
        &self,
        now: Time,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> Option<Quarantined> {
        if self.refused_requests.is_empty() && self.refused_parts.is_empty() {
            return None;
        }
        let now = moment(now);
        let active = |refused: Option<&Refused>| refused.map(|r| r.until).filter(|u| *u > now);
        let quarantined = |subject, until: Moment| Quarantined {
            subject,
            remaining: until.since(now),
        };
        if let Some(until) = active(self.refused_requests.get(&request)) {
            return Some(quarantined(Subject::Request, until));
        }
        let parts = parts.iter().map(|p| self.refused_parts.get(p));
        let until = parts.filter_map(active).max()?;
        Some(quarantined(Subject::Part, until))
    }

    /// Returns the number of crashed endpoint runs that count against a request.
    #[must_use]
    pub fn strikes(&self, now: Time, request: Fingerprint) -> usize {
        self.request_evidence(now, request).runs.len()
    }

    /// Returns the number of requests and of parts that are refused.
    #[must_use]
    pub fn refused_count(&self) -> (usize, usize) {
        let active =
            |all: &HashMap<Fingerprint, Refused>| all.values().filter(|r| r.active).count();
        (active(&self.refused_requests), active(&self.refused_parts))
    }

    /// Returns the changes of what is refused since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }

    /// Adds a report unless it is known or has expired, or makes a known one direct. Returns
    /// whether it did.
    fn insert(&mut self, now: Time, report: CrashReport, age: Duration) -> bool {
        let key = (report.run, report.request);
        if age >= self.settings.strike_ttl {
            return false;
        }
        if self.known.contains(&key) {
            return !report.inferred && self.set_direct(&report);
        }
        if self.reports.len() >= self.settings.max_reports {
            self.evict();
        }
        let at = moment(now).before(age);
        self.announce_proven(now, &report, at);
        if report.inferred {
            self.immature.push((report.request, now + INFERRED_GRACE));
        }
        self.known.insert(key);
        *self.requests.entry(report.request).or_default() += 1;
        self.reports.push_back(Kept {
            report,
            at,
            learned: now,
        });
        true
    }

    /// Makes the inferred report on the same run and request direct, if there is one.
    fn set_direct(&mut self, report: &CrashReport) -> bool {
        let same = |k: &&mut Kept| {
            let kept = &k.report;
            kept.inferred && kept.run == report.run && kept.request == report.request
        };
        let kept = self.reports.iter_mut().find(same);
        kept.map(|k| k.report.inferred = false).is_some()
    }

    /// Removes the oldest report on which no verdict rests, or else the oldest one.
    fn evict(&mut self) {
        let spare = self.reports.iter().position(|k| !self.supports(&k.report));
        self.remove(spare.unwrap_or(0));
    }

    fn remove(&mut self, index: usize) {
        let Some(kept) = self.reports.remove(index) else {
            return;
        };
        let request = kept.report.request;
        self.known.remove(&(kept.report.run, request));
        if let Some(count) = self.requests.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                self.requests.remove(&request);
            }
        }
    }

    /// Returns whether a report counts against something that is or was refused.
    fn supports(&self, report: &CrashReport) -> bool {
        let is_refused = |part: &Fingerprint| self.refused_parts.contains_key(part);
        self.refused_requests.contains_key(&report.request) || report.parts.iter().any(is_refused)
    }

    /// Returns the requests of inferred reports that have begun to count.
    fn take_matured(&mut self, now: Time) -> SmallVec<[Fingerprint; 4]> {
        let immature = &mut self.immature;
        let (matured, rest) = std::mem::take(immature)
            .into_iter()
            .partition(|(_, from)| *from <= now);
        *immature = rest;
        let matured: Vec<(Fingerprint, Time)> = matured;
        matured.into_iter().map(|(request, _)| request).collect()
    }

    /// Discards expired reports and verdicts.
    pub(crate) fn expire(&mut self, now: Time) {
        self.runs.expire(now);
        let oldest = moment(now).before(self.settings.strike_ttl);
        let matured = self.take_matured(now);
        let ended = |r: &Refused| r.active && r.until <= moment(now);
        let requests = self.refused_requests.iter().filter(|(_, r)| ended(r));
        let mut requests: SmallVec<[Fingerprint; 4]> = requests.map(|(key, _)| *key).collect();
        requests.extend(matured.iter().copied());
        let mut expired = !matured.is_empty();
        while let Some(index) = self.reports.iter().position(|k| k.at <= oldest) {
            expired = true;
            let request = self.reports[index].report.request;
            if self.refused_requests.contains_key(&request) && !requests.contains(&request) {
                requests.push(request);
            }
            self.remove(index);
        }
        for request in requests {
            self.judge_request(now, request);
        }
        if expired || self.refused_parts.values().any(ended) {
            self.judge_parts(now);
        }
    }
}
