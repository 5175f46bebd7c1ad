//! What a hub tells its followers and the hubs of other data centres.

use bulrushhoist_core::Time;

use super::loads::LoadSums;
use super::messages::{
    Digest, EntryStatus, News, Scope, Sender, SlowLeader, Suspicion, entries_hash,
};
use super::{Membership, Origin, OwnNews, Role};

impl Membership {
    /// Returns the digest for a follower: everything that this entry knows, without the
    /// follower's own requests.
    #[must_use]
    pub fn digest(&self, now: Time, follower: u32, sender: Sender, own: &OwnNews) -> Digest {
        let known = self.reports.get(&follower).map(|r| &r.message);
        let mut sums = LoadSums::default();
        if let (Role::Follower, Some(view)) = (self.role, self.best_view(now)) {
            sums.add_sums(&view.loads);
        } else {
            sums.add_sums(&self.report_loads);
            sums.add_sums(&self.summary_loads);
            if let Some(report) = known {
                sums.remove(&report.news.loads);
            }
        }
        sums.add(&own.news.loads);
        let mut entries: Vec<EntryStatus> = self.live.values().copied().collect();
        entries.push(own.status);
        entries.retain(|e| e.key != follower);
        entries.sort_unstable_by_key(|e| e.key);
        let is_known = known.is_some_and(|r| r.known_entries == entries_hash(&entries));
        Digest {
            sender,
            scope: Scope::Deployment,
            entries: (!is_known).then_some(entries),
            news: self.passed_on(&own.news, sums, |origin| origin != Origin::Digest),
        }
    }

    /// Returns the summary of this entry's data centre for other data centres.
    #[must_use]
    pub fn summary(&self, sender: Sender, own: &OwnNews) -> Digest {
        let mut sums = LoadSums::default();
        sums.add_sums(&self.report_loads);
        sums.add(&own.news.loads);
        let mut entries: Vec<EntryStatus> =
            self.reports.values().map(|r| r.message.status).collect();
        entries.push(own.status);
        entries.sort_unstable_by_key(|e| e.key);
        Digest {
            sender,
            scope: Scope::DataCentre,
            entries: Some(entries),
            news: self.passed_on(&own.news, sums, |origin| origin == Origin::Report),
        }
    }

    fn passed_on(&self, own: &News, loads: LoadSums, passes: impl Fn(Origin) -> bool) -> News {
        let mut news = News {
            loads: loads.into_loads(),
            ..own.clone()
        };
        for (endpoint, (incarnation, _, origin)) in &self.suspects {
            if passes(*origin) && news.suspects.iter().all(|s| s.endpoint != *endpoint) {
                news.suspects.push(Suspicion {
                    endpoint: endpoint.clone(),
                    incarnation: *incarnation,
                });
            }
        }
        for (key, (slowdown, _, origin)) in &self.slow {
            if passes(*origin) && news.slow.iter().all(|s| s.key != *key) {
                news.slow.push(SlowLeader {
                    key: *key,
                    slowdown: *slowdown,
                });
            }
        }
        news.limit();
        news
    }
}
