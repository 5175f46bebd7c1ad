//! Benchmark of the choice of a leader by number of entries and leaders.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Batch, Candidate, Digest, DigestRate, EndpointLoad, Engine, EntryInfo, EntryStatus,
    LeaderChoiceSettings, Membership, MembershipSettings, Model, Name, News, Report, Scope, Sender,
    SlotLimit, Work, choose_leader, name_key,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Choices in one measurement.
const CHOICES: u32 = 2_000;
/// Slots of each leader.
const SLOTS: u32 = 22;

/// Result of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct LeaderCost {
    /// Number of entries.
    pub entries: u32,
    /// Number of leaders of the model.
    pub leaders: u32,
    /// Time of one choice, from the loads of all entries.
    pub per_choice: Duration,
}

/// Measures the time of one choice for each number of entries and leaders.
#[must_use]
pub fn measure_leader_choice(entries: &[u32], leaders: &[u32]) -> Vec<LeaderCost> {
    let all = leaders
        .iter()
        .flat_map(|l| entries.iter().map(move |e| (*e, *l)));
    all.map(|(e, l)| measure(e, l)).collect()
}

fn measure(entries: u32, leaders: u32) -> LeaderCost {
    let now = Time::from_millis(1);
    let names: Vec<Name> = (0..leaders).map(|l| format!("vm-{l}").into()).collect();
    let membership = membership(entries, &names, now);
    let engine = engine();
    let settings = LeaderChoiceSettings {
        entries: entries as usize,
        ..LeaderChoiceSettings::default()
    };
    let work = Work {
        prompt_tokens: 1_000,
        answer_tokens: 100,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let begin = Instant::now();
    for _ in 0..CHOICES {
        let candidate = |name: &Name| {
            let (requests, tokens) = membership.load(now, name_key(name));
            Candidate {
                id: name.clone(),
                batch: Batch {
                    requests: f64::from(requests),
                    prefill_tokens: f64::from(tokens),
                },
                own: Batch::default(),
                local: true,
                slowdown: membership.slowdown(name_key(name)),
                cold_limited: false,
            }
        };
        let candidates: Vec<Candidate> = names.iter().map(candidate).collect();
        let limit = SlotLimit::All;
        let chosen = choose_leader(&settings, &engine, 1.0, &candidates, work, limit, &mut rng);
        black_box(chosen);
    }
    LeaderCost {
        entries,
        leaders,
        per_choice: begin.elapsed() / CHOICES,
    }
}

/// Returns the membership of one entry that has heard what all others have in flight: from
/// themselves in a small deployment, from its hub in a large one.
fn membership(entries: u32, leaders: &[Name], now: Time) -> Membership {
    let settings = MembershipSettings::default();
    let mut membership = Membership::new(settings, entry(0), now);
    for index in 1..entries {
        membership.register(now, entry(index));
    }
    membership.refresh(now);
    let loads: Vec<EndpointLoad> = leaders
        .iter()
        .map(|name| EndpointLoad {
            key: name_key(name),
            requests: 1,
            prefill_tokens: 100,
        })
        .collect();
    let status = |key| EntryStatus::from_bits(key, 0b1011);
    if entries as usize <= settings.direct_limit {
        for index in 1..entries {
            let sender = sender(index);
            membership.on_report(
                now,
                Report {
                    sender,
                    status: status(sender.key),
                    digests: DigestRate::None,
                    known_entries: 0,
                    news: news(loads.clone()),
                },
            );
        }
    } else {
        let others = (1..entries).map(|i| status(sender(i).key));
        membership.on_digest(
            now,
            Digest {
                sender: sender(1),
                scope: Scope::Deployment,
                entries: Some(others.collect()),
                news: news(loads),
            },
        );
    }
    membership.refresh(now);
    membership
}

fn news(loads: Vec<EndpointLoad>) -> News {
    News {
        loads,
        ..News::default()
    }
}

fn sender(index: u32) -> Sender {
    Sender {
        key: entry(index).key(),
        incarnation: 1,
        sequence: 1,
    }
}

/// Returns an entry. The first one is on the smallest VM, so that it is no hub.
fn entry(index: u32) -> EntryInfo {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    EntryInfo {
        name: format!("edge-{index}").into(),
        data_centre: "east".into(),
        peers: address,
        callers: address,
        cpu_milli: 120 + index,
    }
}

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        kv_cache_tokens: 1_400_000,
        stride: 8,
        step_ms: 6.0,
        per_seq_ms: 0.25,
        prefill_per_s: 46_000.0,
        prefill_chunk: 2_048,
        attention_ms: 0.7,
        typical_prompt: 1_000.0,
        report_lag: Duration::from_millis(200),
        loads_per_s: 4.0,
        max_concurrent_loads: 6,
        max_staged: 1,
        cross_domain_factor: 2.5,
        open_time: Duration::from_millis(300),
        models: vec![Model {
            name: "large".into(),
            group_size: 16,
            time_factor: 1.0,
            share: 1.0,
            load_time: Duration::from_secs(16),
            warm_load_time: Duration::from_millis(1_600),
        }],
    }
}
