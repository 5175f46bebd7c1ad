//! Records messages, forgets silent senders and finds the live entries.

use std::collections::HashMap;

use bulrushhoist_core::Time;

use super::loads::LoadSums;
use super::messages::{Digest, EntryStatus, News, Report, Scope};
use super::{
    DIGEST_TTL, HUB_TIMEOUT, HubView, Membership, NEWS_TTL, Origin, Received, Role, SUMMARY_TIMEOUT,
};
use crate::Name;

impl Membership {
    /// Records a report. Returns whether it is newer than the sender's last one.
    pub fn on_report(&mut self, now: Time, report: Report) -> bool {
        let key = report.sender.key;
        if key == self.registry.own_key() {
            return false;
        }
        if let Some(known) = self.reports.get(&key) {
            if !report.sender.is_after(&known.message.sender) {
                return false;
            }
            self.report_loads.remove(&known.message.news.loads);
        }
        self.report_loads.add(&report.news.loads);
        self.keep_news(now, &report.news, Origin::Report);
        if self.role != Role::Follower {
            self.live.insert(key, report.status);
            self.departed.remove(&key);
        }
        let received = Received {
            message: report,
            at: now,
        };
        self.reports.insert(key, received);
        true
    }

    /// Records a digest or summary. Returns whether it is newer than the sender's last one.
    pub fn on_digest(&mut self, now: Time, digest: Digest) -> bool {
        match digest.scope {
            Scope::DataCentre => self.on_summary(now, digest),
            Scope::Deployment => self.on_view(now, digest),
        }
    }

    fn on_summary(&mut self, now: Time, digest: Digest) -> bool {
        let key = digest.sender.key;
        let known = self.summaries.get(&key);
        if known.is_some_and(|k| !digest.sender.is_after(&k.message.sender)) {
            return false;
        }
        self.keep_news(now, &digest.news, Origin::Summary);
        let received = Received {
            message: digest,
            at: now,
        };
        self.summaries.insert(key, received);
        if self.role == Role::Hub {
            self.sum_summaries();
            self.find_live(now);
        }
        true
    }

    fn on_view(&mut self, now: Time, digest: Digest) -> bool {
        let view = self.views.entry(digest.sender.key).or_default();
        if !digest.sender.is_after(&view.sender) {
            return false;
        }
        view.sender = digest.sender;
        view.at = now;
        if let Some(entries) = digest.entries {
            view.entries = entries;
        }
        view.loads = LoadSums::default();
        view.loads.add(&digest.news.loads);
        self.unresponsive.remove(&digest.sender.key);
        self.keep_news(now, &digest.news, Origin::Digest);
        if self.role == Role::Follower {
            self.find_live(now);
        }
        true
    }

    fn keep_news(&mut self, now: Time, news: &News, origin: Origin) {
        for suspicion in &news.suspects {
            let value = (suspicion.incarnation, now, origin);
            self.suspects.insert(suspicion.endpoint.clone(), value);
        }
        for leader in &news.slow {
            self.slow.insert(leader.key, (leader.slowdown, now, origin));
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        let timeout = self.live_timeout();
        let (resumed, own) = (self.resumed, self.registry.own_key());
        let is_recent = |at: Time, timeout| now.since(at.max(resumed)) < timeout;
        let loads = &mut self.report_loads;
        self.reports.retain(|_, report| {
            let recent = is_recent(report.at, timeout);
            if !recent {
                loads.remove(&report.message.news.loads);
            }
            recent
        });
        let summaries = self.summaries.len();
        self.summaries
            .retain(|_, s| is_recent(s.at, SUMMARY_TIMEOUT));
        let lapsed = self.summaries.len() < summaries;
        self.views
            .retain(|key, v| *key != own && is_recent(v.at, DIGEST_TTL));
        self.unresponsive.retain(|_, until| now < *until);
        self.suspects
            .retain(|_, (_, at, _)| now.since(*at) < NEWS_TTL);
        self.slow.retain(|_, (_, at, _)| now.since(*at) < NEWS_TTL);
        let forget = self.settings.forget_timeout;
        self.departed.retain(|_, at| now.since(*at) < forget);
        if lapsed {
            self.sum_summaries();
        }
    }

    /// Returns the view of the hub that this entry prefers, if it is recent.
    pub(super) fn best_view(&self, now: Time) -> Option<&HubView> {
        let preferred = self.contacts.first().and_then(|c| self.views.get(&c.key));
        let preferred = preferred.filter(|v| self.is_recent(now, v.at, HUB_TIMEOUT));
        preferred.or_else(|| self.views.values().max_by_key(|v| v.at))
    }

    /// Returns the most complete recent summary of a data centre.
    pub(super) fn best_summary(&self, data_centre: &str) -> Option<&Digest> {
        let all = self.summaries.values();
        let own = all.filter(|s| {
            let hub = self.registry.get(s.message.sender.key);
            hub.is_some_and(|h| *h.data_centre == *data_centre)
        });
        let best = own.max_by_key(|s| (s.message.entries.as_ref().map_or(0, Vec::len), s.at));
        best.map(|s| &s.message)
    }

    pub(super) fn sum_summaries(&mut self) {
        let mut sums = LoadSums::default();
        let own = self.own_data_centre();
        for data_centre in self.registry.data_centres().filter(|d| *d != own) {
            if let Some(summary) = self.best_summary(data_centre) {
                sums.add(&summary.news.loads);
            }
        }
        self.summary_loads = sums;
    }

    /// Finds the live entries, and remembers those that are no longer alive.
    pub(super) fn find_live(&mut self, now: Time) {
        let mut live: HashMap<u32, EntryStatus> = HashMap::new();
        match self.role {
            Role::Direct | Role::Hub => {
                live.extend(self.reports.iter().map(|(k, r)| (*k, r.message.status)));
            }
            Role::Follower => {
                let entries = self.best_view(now).map(|v| &v.entries);
                live.extend(entries.into_iter().flatten().map(|e| (e.key, *e)));
            }
        }
        if self.role == Role::Hub {
            let own = self.own_data_centre();
            for data_centre in self.registry.data_centres().filter(|d| *d != own) {
                let summary = self.best_summary(data_centre);
                let entries = summary.and_then(|s| s.entries.as_ref());
                live.extend(entries.into_iter().flatten().map(|e| (e.key, *e)));
            }
        }
        live.remove(&self.registry.own_key());
        for key in self.live.keys().filter(|k| !live.contains_key(k)) {
            self.departed.insert(*key, now);
            self.newly_departed.push(*key);
        }
        self.departed.retain(|key, _| !live.contains_key(key));
        self.live = live;
    }

    pub(super) fn newly_departed(&mut self) -> Vec<Name> {
        let keys = std::mem::take(&mut self.newly_departed);
        let silent = keys.iter().filter(|k| !self.live.contains_key(k));
        silent
            .filter_map(|k| Some(self.registry.get(*k)?.name.clone()))
            .collect()
    }
}
