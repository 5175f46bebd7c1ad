//! What entries tell each other about crashes.

use std::cmp::Reverse;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};

use super::evidence::{Moment, Recorded, moment};
use super::{CrashReport, Kept, Quarantine, Subject};

/// An observation and the time since it was made. Clocks of different processes can't be
/// compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aged<T> {
    /// The observation.
    pub item: T,
    /// Time since it was made.
    pub age: Duration,
}

/// That a request, or a request with a part, was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether it is about a request or a part.
    pub subject: Subject,
    /// Its fingerprint.
    pub key: Fingerprint,
}

/// Time for which a new observation is in every message, so that it arrives though some
/// messages are lost.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Maximum number of new reports in a message.
const MAX_NEW_REPORTS: usize = 24;
/// Maximum number of older reports in a message. Those on which verdicts rest are repeated in
/// turn, for entries that have just started or were cut off.
const MAX_REPEATED_REPORTS: usize = 8;
/// Maximum number of answers in a message.
const MAX_ANSWERS: usize = 16;

/// An answer that the other entries should know of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Announcement {
    answer: Answer,
    at: Moment,
    since: Time,
}

impl Quarantine {
    /// Records the observations of another entry.
    pub fn merge(&mut self, now: Time, crashes: &[Aged<CrashReport>], answers: &[Aged<Answer>]) {
        let mut requests: Vec<Fingerprint> = Vec::new();
        let mut parts = false;
        for answer in answers {
            let at = moment(now).before(answer.age);
            let key = answer.item.key;
            match answer.item.subject {
                Subject::Request if self.on_request_answered(now, key, at) => requests.push(key),
                Subject::Part if self.on_part_answered(now, key, at) => parts = true,
                Subject::Request | Subject::Part => {}
            }
        }
        for crash in crashes {
            if self.insert(now, crash.item.clone(), crash.age) {
                requests.push(crash.item.request);
                parts |= !crash.item.parts.is_empty();
            }
        }
        for request in requests {
            self.judge_request(now, request);
        }
        if parts {
            self.judge_parts(now);
        }
    }

    /// Returns the crashes to report to other entries now.
    pub fn reports(&mut self, now: Time) -> Vec<Aged<CrashReport>> {
        self.expire(now);
        let aged = |kept: &Kept| Aged {
            item: kept.report.clone(),
            age: moment(now).since(kept.at),
        };
        let is_new = |kept: &Kept| now.since(kept.learned) < NEWS_TIME;
        let mut new: Vec<&Kept> = self.reports.iter().filter(|k| is_new(k)).collect();
        new.sort_by_key(|k| {
            let begun = k.report.parts.is_empty();
            (!self.supports(&k.report), begun, Reverse(k.learned))
        });
        let mut reports: Vec<Aged<CrashReport>> =
            new.into_iter().take(MAX_NEW_REPORTS).map(aged).collect();
        let count = self.reports.len();
        let mut repeated = 0;
        for step in 0..count {
            let index = (self.repeat_from + step) % count;
            let kept = &self.reports[index];
            if is_new(kept) || !self.supports(&kept.report) {
                continue;
            }
            reports.push(aged(kept));
            repeated += 1;
            if repeated == MAX_REPEATED_REPORTS {
                self.repeat_from = index + 1;
                break;
            }
        }
        reports
    }

    /// Returns the answers to report to other entries now.
    pub fn answers(&mut self, now: Time) -> Vec<Aged<Answer>> {
        self.announcements
            .retain(|a| now.since(a.since) < NEWS_TIME);
        let newest = self.announcements.iter().rev().take(MAX_ANSWERS);
        let aged = |a: &Announcement| Aged {
            item: a.answer,
            age: moment(now).since(a.at),
        };
        newest.map(aged).collect()
    }

    /// Records an answer to a request. Returns whether it makes strikes void.
    pub(super) fn on_request_answered(
        &mut self,
        now: Time,
        request: Fingerprint,
        at: Moment,
    ) -> bool {
        let recorded = self.answered_requests.record(request, at);
        if !self.requests.contains_key(&request) {
            return false;
        }
        let reports = self.reports.iter().filter(|k| k.report.request == request);
        let newest = reports.map(|k| k.at).max();
        let subject = Subject::Request;
        let answer = Answer {
            subject,
            key: request,
        };
        newest.is_some_and(|newest| self.announce_news(now, answer, at, newest, recorded))
    }

    /// Records an answer on a part. Returns whether it makes strikes void.
    pub(super) fn on_part_answered(&mut self, now: Time, part: Fingerprint, at: Moment) -> bool {
        let recorded = self.answered_parts.record(part, at);
        let Some(newest) = self.suspect_parts.get(&part).copied() else {
            return false;
        };
        let subject = Subject::Part;
        let answer = Answer { subject, key: part };
        self.announce_news(now, answer, at, newest, recorded)
    }

    /// Announces an answer if it is the first one known or the first after the newest
    /// strike. Returns whether it is. An answer comes back from other entries with a
    /// slightly different age, which must not make it news again.
    fn announce_news(
        &mut self,
        now: Time,
        answer: Answer,
        at: Moment,
        newest: Moment,
        recorded: Recorded,
    ) -> bool {
        let news = match recorded {
            Recorded::Outdated => false,
            Recorded::Newer(None) => true,
            Recorded::Newer(Some(before)) => before < newest && at >= newest,
        };
        if news {
            self.announce(now, answer, at);
        }
        news
    }

    /// Announces that the request of a new report was answered before, and answers on its
    /// parts, if they weren't suspected yet or the answer makes the new strike void.
    pub(super) fn announce_proven(&mut self, now: Time, report: &CrashReport, struck: Moment) {
        let request = report.request;
        let known = self.requests.contains_key(&request);
        let answered = self.answered_requests.get(request);
        if let Some(at) = answered.filter(|at| !known || *at >= struck) {
            let subject = Subject::Request;
            let answer = Answer {
                subject,
                key: request,
            };
            self.announce(now, answer, at);
        }
        for part in &report.parts {
            let known = self.suspect_parts.contains_key(part);
            let answered = self.answered_parts.get(*part);
            if let Some(at) = answered.filter(|at| !known || *at >= struck) {
                let subject = Subject::Part;
                self.announce(
                    now,
                    Answer {
                        subject,
                        key: *part,
                    },
                    at,
                );
            }
        }
    }

    fn announce(&mut self, now: Time, answer: Answer, at: Moment) {
        self.announcements.retain(|a| a.answer != answer);
        let since = now;
        self.announcements.push(Announcement { answer, at, since });
    }
}
