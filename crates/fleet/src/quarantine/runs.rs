//! Which requests endpoint runs have, and had until recently.
//!
//! A run that is lost says something about every request that was with it, also about those
//! whose attempts were given up before: the caller left, or the endpoint answered nothing
//! more. See `docs/decisions/0012-poison-parts.md`.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};
use smallvec::SmallVec;

use super::{CrashReport, SharedParts};
use crate::Name;

/// Time from the end of an attempt for which its run may still work on the request.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Maximum time from the end of an attempt to the loss of its run for the two to be related.
/// A run that fell silent is known to be lost when its successor starts or its record expires.
const MAX_SILENCE: Duration = Duration::from_secs(5);
/// Maximum number of requests that are remembered for one run.
const MAX_HELD: usize = 64;
/// Number of runs without a request that must have fallen silent with it for the loss to be
/// their data centre's.
const MIN_SILENT_RUNS: usize = 2;

/// An attempt of a request at an endpoint run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    /// Hash of the endpoint's name and incarnation, as in [`CrashReport::run`].
    pub run: u64,
    id: u64,
}

/// How an endpoint run is known to be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Loss {
    /// Its VM refuses connections, or something else has its address: it can't answer any
    /// more.
    Ended,
    /// Its record was removed. It may have left without notice and still finish requests.
    Unlisted,
}

#[derive(Debug)]
struct Held {
    id: u64,
    request: Fingerprint,
    parts: SharedParts,
    sent: Time,
    /// When the attempt was given up, if it was.
    left: Option<Time>,
}

#[derive(Debug)]
struct Run {
    centre: Name,
    /// When it last sent anything, or got its first request.
    heard: Time,
    held: SmallVec<[Held; 4]>,
}

/// The requests at endpoint runs, as this entry knows them.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: HashMap<u64, Run>,
    last_id: u64,
}

impl Runs {
    /// Records that a request is sent to a run in a data centre.
    pub(super) fn on_sent(
        &mut self,
        now: Time,
        run: u64,
        centre: &Name,
        request: Fingerprint,
        parts: &SharedParts,
    ) -> AttemptKey {
        self.last_id += 1;
        let id = self.last_id;
        let entry = self.runs.entry(run).or_insert_with(|| Run {
            centre: centre.clone(),
            heard: now,
            held: SmallVec::new(),
        });
        if entry.held.len() >= MAX_HELD {
            // The first that was given up says least; else the oldest.
            let place = entry.held.iter().position(|h| h.left.is_some());
            entry.held.remove(place.unwrap_or(0));
        }
        entry.held.push(Held {
            id,
            request,
            parts: parts.clone(),
            sent: now,
            left: None,
        });
        AttemptKey { run, id }
    }

    fn held(&mut self, key: AttemptKey) -> Option<&mut Held> {
        let run = self.runs.get_mut(&key.run)?;
        run.held.iter_mut().find(|h| h.id == key.id)
    }

    /// Records the first event of an answer, after which the prompt can't be the cause.
    pub(super) fn on_first_event(&mut self, key: AttemptKey) {
        if let Some(held) = self.held(key) {
            held.parts.clear();
        }
    }

    /// Records that it is known what became of a request.
    pub(super) fn on_ended(&mut self, key: AttemptKey) {
        if let Some(run) = self.runs.get_mut(&key.run) {
            run.held.retain(|h| h.id != key.id);
        }
    }

    /// Records that an attempt was given up: its run may still have the request.
    pub(super) fn on_given_up(&mut self, now: Time, key: AttemptKey) {
        if let Some(held) = self.held(key) {
            held.left = Some(now);
        }
    }

    /// Records that a run is alive. What it had longer ago didn't end it.
    pub(super) fn on_heard(&mut self, now: Time, run: u64) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.heard = now;
            let lingers = |left: Time| now.since(left) < LINGER_TIME;
            run.held.retain(|h| h.left.is_none_or(lingers));
        }
    }

    /// Returns the reports about a run that was lost, each with the time since the request
    /// was last known to be with it. Requests whose data centre fell silent, with runs that
    /// didn't have them, get none.
    pub(super) fn on_lost(
        &mut self,
        now: Time,
        run: u64,
        loss: Loss,
    ) -> Vec<(CrashReport, Duration)> {
        let Some(lost) = self.runs.get_mut(&run) else {
            return Vec::new();
        };
        let is_lost = |held: &Held| match held.left {
            Some(left) => now.since(left) < MAX_SILENCE,
            None => loss == Loss::Ended,
        };
        let (held, rest): (SmallVec<[Held; 4]>, _) = lost.held.drain(..).partition(is_lost);
        if loss == Loss::Unlisted {
            lost.held = rest;
        }
        let (centre, heard) = (lost.centre.clone(), lost.heard);
        let mut reports = Vec::new();
        for held in held {
            if self.is_centre_silent(now, &centre, run, heard, held.request) {
                continue;
            }
            let age = held.left.map_or(Duration::ZERO, |left| now.since(left));
            let report = CrashReport {
                run,
                request: held.request,
                parts: held.parts,
                inferred: held.left.is_some(),
            };
            reports.push((report, age));
        }
        if loss == Loss::Ended {
            self.runs.remove(&run);
        }
        reports
    }

    /// Returns whether the data centre of a run fell silent with it: no other run there was
    /// heard since, and several that didn't have the request left others without an answer.
    fn is_centre_silent(
        &self,
        now: Time,
        centre: &Name,
        lost: u64,
        heard: Time,
        request: Fingerprint,
    ) -> bool {
        let others = self.runs.iter().filter(|(key, _)| **key != lost);
        let others = others.filter(|(_, run)| run.centre == *centre);
        let mut without = 0;
        for (_, run) in others {
            if run.heard > heard + LINGER_TIME {
                return false;
            }
            let waits = |h: &Held| h.sent >= run.heard && now.since(h.sent) >= LINGER_TIME;
            let had = |h: &Held| h.request == request;
            if run.held.iter().any(waits) && !run.held.iter().any(had) {
                without += 1;
            }
        }
        without >= MIN_SILENT_RUNS
    }

    /// Forgets runs that have no requests and haven't been heard for long.
    pub(super) fn expire(&mut self, now: Time) {
        self.runs.retain(|_, run| {
            run.held
                .retain(|h| h.left.is_none_or(|left| now.since(left) < MAX_SILENCE));
            !run.held.is_empty() || now.since(run.heard) < MAX_SILENCE
        });
    }
}
