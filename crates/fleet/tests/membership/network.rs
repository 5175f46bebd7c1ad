//! Entries that exchange messages over a simulated network, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    ColdLimiter, Digest, EndpointLoad, EntryInfo, EntryStatus, Membership, MembershipSettings,
    News, OwnNews, RelayChoice, Report, Role, Sender, name_key,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// Key of the only endpoint.
const ENDPOINT: u32 = 9;
/// One-way delay within a data centre and to others, in milliseconds.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 8;
/// Entries of each data centre on large VMs.
const LARGE_VMS: usize = 3;

/// A change of the entries or their network.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    Suspend(usize),
    Resume(usize),
    /// The messages from and to a data centre are lost.
    Cut(usize),
    /// All data centres are connected again.
    Heal,
    /// The messages from and to one entry are lost.
    Isolate(usize),
    /// The store refuses the calls of an entry.
    RefuseStore(usize),
}

#[derive(Clone)]
enum Message {
    Report(Report),
    Digest(Digest),
}

struct Entry {
    info: EntryInfo,
    centre: usize,
    membership: Membership,
    next_tick: u64,
    sequence: u64,
    load: u32,
    planning: bool,
    reaches_store: bool,
    runs: bool,
    suspended: bool,
    isolated: bool,
}

/// All entries of a deployment.
pub(crate) struct Deployment {
    entries: Vec<Entry>,
    now: u64,
    /// Arrival time, number and recipient of each message under way.
    queue: BinaryHeap<Reverse<(u64, usize, usize)>>,
    messages: Vec<Option<Message>>,
    cut: Option<usize>,
    loss: f64,
    rng: SmallRng,
    /// Messages sent.
    pub(crate) sent: u64,
}

fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).unwrap();
    let [high, low] = index.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_340))
}

impl Deployment {
    /// Starts this many entries in this many data centres within 0.3 s of each other. Each
    /// message is lost with the probability `loss`.
    pub(crate) fn start(count: usize, centres: usize, loss: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(count as u64);
        let infos: Vec<(EntryInfo, usize)> = (0..count)
            .map(|i| {
                let centre = i % centres;
                let cpu_milli = if i / centres < LARGE_VMS { 500 } else { 120 };
                let info = EntryInfo {
                    name: format!("edge-{centre}-{i}").as_str().into(),
                    data_centre: format!("dc-{centre}").as_str().into(),
                    peers: address(i),
                    callers: address(i),
                    cpu_milli,
                };
                (info, centre)
            })
            .collect();
        let mut entries = Vec::new();
        for (info, centre) in &infos {
            let settings = MembershipSettings::default();
            let mut membership = Membership::new(settings, info.clone(), Time::ZERO);
            for (other, _) in &infos {
                membership.register(Time::ZERO, other.clone());
            }
            membership.refresh(Time::ZERO);
            entries.push(Entry {
                info: info.clone(),
                centre: *centre,
                membership,
                next_tick: rng.random_range(0..300),
                sequence: 0,
                load: 0,
                planning: false,
                reaches_store: true,
                runs: true,
                suspended: false,
                isolated: false,
            });
        }
        Self {
            entries,
            now: 0,
            queue: BinaryHeap::new(),
            messages: Vec::new(),
            cut: None,
            loss,
            rng,
            sent: 0,
        }
    }

    pub(crate) const fn now_ms(&self) -> u64 {
        self.now
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    /// Lets this much time pass, in milliseconds.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            while let Some(Reverse((at, number, to))) = self.queue.peek().copied() {
                if at > self.now {
                    break;
                }
                self.queue.pop();
                self.deliver(number, to);
            }
            for index in 0..self.entries.len() {
                let entry = &self.entries[index];
                if entry.runs && !entry.suspended && entry.next_tick <= self.now {
                    self.tick(index);
                }
            }
        }
    }

    fn deliver(&mut self, number: usize, to: usize) {
        let now = self.time();
        let message = self.messages[number].take();
        let entry = &mut self.entries[to];
        if !entry.runs || entry.suspended {
            return;
        }
        match message {
            Some(Message::Report(report)) => entry.membership.on_report(now, report),
            Some(Message::Digest(digest)) => entry.membership.on_digest(now, digest),
            None => false,
        };
    }

    fn tick(&mut self, index: usize) {
        let now = self.time();
        let entry = &mut self.entries[index];
        entry.sequence += 1;
        let outgoing = entry.membership.tick(now);
        let interval = entry.membership.tick_interval().as_millis();
        entry.next_tick = self.now + u64::try_from(interval).unwrap();
        let own = entry.own_news();
        entry.planning = entry.membership.may_plan(now, own.status);
        let sender = Sender {
            key: name_key(&entry.info.name),
            incarnation: 1,
            sequence: entry.sequence,
        };
        let mut messages = Vec::new();
        for recipient in outgoing.reports {
            let report = Report {
                sender,
                status: own.status,
                digests: recipient.digests,
                known_entries: recipient.known_entries,
                news: own.news.clone(),
            };
            messages.push((recipient.address, Message::Report(report)));
        }
        for (key, to) in outgoing.digests {
            let digest = entry.membership.digest(now, key, sender, &own);
            messages.push((to, Message::Digest(digest)));
        }
        if !outgoing.summaries.is_empty() {
            let summary = entry.membership.summary(sender, &own);
            for to in outgoing.summaries {
                messages.push((to, Message::Digest(summary.clone())));
            }
        }
        for (to, message) in messages {
            self.send(index, to, message);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        self.sent += 1;
        let SocketAddr::V4(to) = to else {
            panic!("entries have IPv4 addresses");
        };
        let [.., high, low] = to.ip().octets();
        let to = usize::from(u16::from_be_bytes([high, low]));
        let (source, target) = (&self.entries[from], &self.entries[to]);
        let far = source.centre != target.centre;
        let cut = self
            .cut
            .is_some_and(|c| far && (source.centre == c || target.centre == c));
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        if cut || lost || source.isolated || target.isolated {
            return;
        }
        let delay = if far { FAR_MS } else { NEAR_MS };
        let delay = delay + self.rng.random_range(0..5);
        self.messages.push(Some(message));
        let number = self.messages.len() - 1;
        self.queue.push(Reverse((self.now + delay, number, to)));
    }

    pub(crate) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(entry) => self.entries[entry].runs = false,
            Fault::Suspend(entry) => self.entries[entry].suspended = true,
            Fault::Resume(entry) => self.entries[entry].suspended = false,
            Fault::Cut(centre) => self.cut = Some(centre),
            Fault::Heal => self.cut = None,
            Fault::Isolate(entry) => self.entries[entry].isolated = true,
            Fault::RefuseStore(entry) => self.entries[entry].reaches_store = false,
        }
    }

    pub(crate) fn set_load(&mut self, entry: usize, requests: u32) {
        self.entries[entry].load = requests;
    }

    /// Returns the requests of all other entries as one entry knows them.
    pub(crate) fn load_at(&self, entry: usize) -> u32 {
        let membership = &self.entries[entry].membership;
        membership.load(self.time(), ENDPOINT).0
    }

    pub(crate) fn live_at(&self, entry: usize) -> usize {
        self.entries[entry].membership.live().count()
    }

    pub(crate) fn same_centre(&self, a: usize, b: usize) -> bool {
        self.entries[a].centre == self.entries[b].centre
    }

    pub(crate) fn members_of(&self, centre: usize) -> Vec<usize> {
        let all = 0..self.entries.len();
        all.filter(|e| self.entries[*e].centre == centre).collect()
    }

    /// Returns the entries of a data centre in the order of their ranks.
    fn ranked(&self, centre: usize) -> Vec<usize> {
        let mut members = self.members_of(centre);
        members.sort_by_key(|e| {
            let info = &self.entries[*e].info;
            (Reverse(info.cpu_milli), name_key(&info.name))
        });
        members
    }

    /// Returns the two entries that are the hubs of a data centre, if there are hubs.
    pub(crate) fn hubs_of(&self, centre: usize) -> Vec<usize> {
        self.ranked(centre).into_iter().take(2).collect()
    }

    /// Returns the last entries of a data centre in the order of ranks.
    pub(crate) fn lowest_ranked(&self, centre: usize, count: usize) -> Vec<usize> {
        self.ranked(centre).into_iter().rev().take(count).collect()
    }

    /// Asserts that every entry outside of `lost` takes exactly the others for alive.
    pub(crate) fn assert_live(&self, lost: &HashSet<usize>, when: &str) {
        let expected: HashSet<&str> = (0..self.entries.len())
            .filter(|e| !lost.contains(e))
            .map(|e| &*self.entries[e].info.name)
            .collect();
        for (index, entry) in self.entries.iter().enumerate() {
            if lost.contains(&index) {
                continue;
            }
            let live = entry.membership.live().map(|(info, _)| &*info.name);
            let live: HashSet<&str> = live.chain([&*entry.info.name]).collect();
            let wrong: Vec<&&str> = live.symmetric_difference(&expected).collect();
            let count = self.entries.len();
            assert!(
                wrong.is_empty(),
                "{count} entries, {when}: {index} ({}) errs on {wrong:?}",
                entry.membership.role()
            );
        }
    }

    pub(crate) fn relay_of(&self, entry: usize) -> RelayChoice {
        let entry = &self.entries[entry];
        let reaches_store = entry.reaches_store;
        entry.membership.choose_relay(self.time(), reaches_store)
    }

    pub(crate) fn may_plan(&self, entry: usize) -> bool {
        let entry = &self.entries[entry];
        let status = entry.own_news().status;
        entry.membership.may_plan(self.time(), status)
    }

    pub(crate) fn entry_count(&self, entry: usize) -> usize {
        self.entries[entry].membership.entry_count(self.time())
    }

    /// Returns the number of requests that an endpoint gets in its busiest second after it
    /// became cold, if every live entry always has more to send.
    pub(crate) fn cold_peak(&self, endpoint: u32, per_s: f64) -> usize {
        let mut sent = Vec::new();
        let until = self.time() + Duration::from_secs(5);
        let running = self.entries.iter().enumerate().filter(|(_, e)| e.runs);
        for (index, entry) in running {
            let mut limiter = ColdLimiter::default();
            let phase = index as f64 / self.entries.len() as f64;
            let share = entry.membership.cold_share(self.time(), endpoint);
            limiter.set_cold(self.time(), until, phase, share);
            let count = entry.membership.entry_count(self.time());
            for at in (0..5_000).step_by(10) {
                let now = self.time() + Duration::from_millis(at);
                if limiter.allows(now, per_s, count) {
                    limiter.on_sent(now);
                    sent.push(at);
                }
            }
        }
        let second = |start: u64| {
            let window = start..start + 1_000;
            sent.iter().filter(|t| window.contains(*t)).count()
        };
        (0..4_000).step_by(50).map(second).max().unwrap_or(0)
    }

    pub(crate) fn role(&self, entry: usize) -> Role {
        self.entries[entry].membership.role()
    }
}

impl Entry {
    fn own_news(&self) -> OwnNews {
        let status = EntryStatus {
            key: name_key(&self.info.name),
            ready: true,
            synced: true,
            planning: self.planning,
            reaches_store: self.reaches_store,
            cut_off: false,
        };
        let loads = (self.load > 0).then_some(EndpointLoad {
            key: ENDPOINT,
            requests: self.load,
            prefill_tokens: 0,
        });
        let news = News {
            loads: loads.into_iter().collect(),
            ..News::default()
        };
        OwnNews { status, news }
    }
}
