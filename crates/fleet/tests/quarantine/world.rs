//! Entries, endpoints and callers in virtual time, with one deadly part.

use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};
use bulrushhoist_fleet::{Aged, Answer, CrashReport, Quarantine, QuarantineSettings, SharedParts};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

const ENTRIES: usize = 5;
const ENDPOINTS: usize = 12;
/// Beginnings of prompts, of which the deadly requests have one.
const BEGINNINGS: u64 = 20;
const DEADLY: Fingerprint = Fingerprint::new(7);
const STEP: Duration = Duration::from_millis(20);
const MESSAGE_INTERVAL: u64 = 10;
const STEPS: u64 = 1_500;
/// Steps from sending a request until its first event.
const PREFILL: u64 = 8;
/// Steps for which a crashed endpoint is down.
const DOWN: u64 = 150;
/// Time in which every entry must know of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const FREE_CRASHES: usize = 5;
const MAX_LATER: usize = 3;

struct Attempt {
    entry: usize,
    endpoint: usize,
    request: Fingerprint,
    parts: SharedParts,
    begins: u64,
    retried: bool,
}

struct Message {
    to: usize,
    at: u64,
    crashes: Vec<Aged<CrashReport>>,
    answers: Vec<Aged<Answer>>,
}

pub(crate) struct World {
    rng: SmallRng,
    step: u64,
    entries: Vec<Quarantine>,
    /// Number of each endpoint's runs, and the step at which it is up again.
    endpoints: Vec<(u64, u64)>,
    attempts: Vec<Attempt>,
    messages: Vec<Message>,
    crashes: Vec<Time>,
    deadly_sends: Vec<Time>,
    /// When sound requests were refused.
    refused: Vec<Time>,
    last_request: u64,
    /// Probability of a request in each step.
    arrivals: f64,
    deadly_share: f64,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let new = || Quarantine::new(QuarantineSettings::default());
        Self {
            step: 0,
            entries: (0..ENTRIES).map(|_| new()).collect(),
            endpoints: vec![(1, 0); ENDPOINTS],
            attempts: Vec::new(),
            messages: Vec::new(),
            crashes: Vec::new(),
            deadly_sends: Vec::new(),
            refused: Vec::new(),
            last_request: 1_000,
            arrivals: rng.random_range(0.1..1.0),
            deadly_share: rng.random_range(0.02..0.3),
            rng,
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + STEP * u32::try_from(self.step).unwrap_or(u32::MAX)
    }

    pub(crate) fn run(mut self) -> Result<(), String> {
        for step in 0..STEPS {
            self.step = step;
            if self.rng.random_bool(self.arrivals) {
                self.arrive();
            }
            self.advance_attempts();
            self.exchange();
        }
        self.check()
    }

    fn arrive(&mut self) {
        self.last_request += 1;
        let deadly = self.step > 100 && self.rng.random_bool(self.deadly_share);
        let beginning = match deadly {
            true => 0,
            false => self.rng.random_range(0..BEGINNINGS),
        };
        let mut parts = SharedParts::new();
        parts.push(Fingerprint::new(100 + beginning));
        if deadly {
            parts.push(DEADLY);
        }
        let entry = self.rng.random_range(0..ENTRIES);
        self.send(entry, Fingerprint::new(self.last_request), parts, false);
    }

    fn send(&mut self, entry: usize, request: Fingerprint, parts: SharedParts, retried: bool) {
        let now = self.now();
        if self.entries[entry].check(now, request, &parts).is_some() {
            if !parts.contains(&DEADLY) && !retried {
                self.refused.push(now);
            }
            return;
        }
        let up: Vec<usize> = (0..ENDPOINTS)
            .filter(|e| self.endpoints[*e].1 <= self.step)
            .collect();
        if up.is_empty() {
            return;
        }
        if parts.contains(&DEADLY) {
            self.deadly_sends.push(now);
        }
        let endpoint = up[self.rng.random_range(0..up.len())];
        self.attempts.push(Attempt {
            entry,
            endpoint,
            request,
            parts,
            begins: self.step + PREFILL,
            retried,
        });
    }

    fn advance_attempts(&mut self) {
        let now = self.now();
        while let Some(index) = self.attempts.iter().position(|a| a.begins <= self.step) {
            let attempt = self.attempts.swap_remove(index);
            if attempt.parts.contains(&DEADLY) {
                self.crash(attempt);
            } else {
                self.entries[attempt.entry].on_begun(now, &attempt.parts);
            }
        }
    }

    /// Crashes the endpoint of an attempt, with all others there.
    fn crash(&mut self, cause: Attempt) {
        let now = self.now();
        let endpoint = cause.endpoint;
        let run = endpoint as u64 * 1_000_000 + self.endpoints[endpoint].0;
        self.endpoints[endpoint].0 += 1;
        self.endpoints[endpoint].1 = self.step + DOWN;
        self.crashes.push(now);
        let all = std::mem::take(&mut self.attempts);
        let (lost, kept): (Vec<Attempt>, _) = all.into_iter().partition(|a| a.endpoint == endpoint);
        self.attempts = kept;
        for attempt in lost.into_iter().chain([cause]) {
            let report = CrashReport {
                run,
                request: attempt.request,
                parts: attempt.parts.clone(),
            };
            self.entries[attempt.entry].on_crash(now, report);
            if !attempt.retried {
                self.send(attempt.entry, attempt.request, attempt.parts, true);
            }
        }
    }

    fn exchange(&mut self) {
        let now = self.now();
        for from in 0..ENTRIES {
            if !(self.step + from as u64).is_multiple_of(MESSAGE_INTERVAL) {
                continue;
            }
            let crashes = self.entries[from].reports(now);
            let answers = self.entries[from].answers(now);
            for to in (0..ENTRIES).filter(|to| *to != from) {
                if self.rng.random_bool(0.2) {
                    continue;
                }
                self.messages.push(Message {
                    to,
                    at: self.step + self.rng.random_range(0..5),
                    crashes: crashes.clone(),
                    answers: answers.clone(),
                });
            }
        }
        let step = self.step;
        let all = std::mem::take(&mut self.messages);
        let (due, later): (Vec<Message>, _) = all.into_iter().partition(|m| m.at <= step);
        self.messages = later;
        for message in due {
            self.entries[message.to].merge(now, &message.crashes, &message.answers);
        }
    }

    fn check(&self) -> Result<(), String> {
        let Some(fifth) = self.crashes.get(FREE_CRASHES - 1).or(self.crashes.last()) else {
            return Ok(());
        };
        let known = *fifth + CONTACT_TIME;
        let later = self.deadly_sends.iter().filter(|t| **t > known).count();
        if self.crashes.len() >= FREE_CRASHES && later > MAX_LATER {
            return Err(format!("{later} deadly requests were sent too late"));
        }
        let settled = known + CONTACT_TIME;
        let refused = self.refused.iter().filter(|t| **t > settled).count();
        if refused > 0 {
            return Err(format!("{refused} sound requests were refused"));
        }
        Ok(())
    }
}
