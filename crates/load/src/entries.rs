//! List of entries, and the choice of one, as the interface requires of callers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt as _;
use reqwest::Client;
use serde::Deserialize;
use tokio::time::Instant;

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ListedEntry {
    address: SocketAddr,
    weight: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct EntriesAnswer {
    max_age_s: u64,
    entries: Vec<ListedEntry>,
}

struct CachedList {
    valid_until: Instant,
    entries: Vec<ListedEntry>,
}

/// List of entries that all callers of a run share.
pub(crate) struct Entries {
    client: Client,
    seeds: Vec<SocketAddr>,
    model: String,
    cached: Mutex<CachedList>,
}

impl Entries {
    pub(crate) fn new(client: Client, seeds: Vec<SocketAddr>, model: &str) -> Self {
        let cached = CachedList {
            valid_until: Instant::now(),
            entries: Vec::new(),
        };
        Self {
            client,
            seeds,
            model: model.to_owned(),
            cached: Mutex::new(cached),
        }
    }

    fn cached(&self) -> std::sync::MutexGuard<'_, CachedList> {
        self.cached
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Draws an entry by weight, never `avoid`; `None` if no other one is listed.
    ///
    /// The list is refreshed if it has expired or if an entry must be avoided.
    pub(crate) async fn pick(&self, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        if Instant::now() >= self.cached().valid_until || avoid.is_some() {
            self.refresh().await;
        }
        let cached = self.cached();
        let usable: Vec<&ListedEntry> = cached
            .entries
            .iter()
            .filter(|e| Some(e.address) != avoid)
            .collect();
        let total: u32 = usable.iter().map(|e| e.weight).sum();
        if total == 0 {
            return None;
        }
        let mut draw = rand::rng().random_range(0..total);
        for entry in usable {
            if draw < entry.weight {
                return Some(entry.address);
            }
            draw -= entry.weight;
        }
        None
    }

    async fn refresh(&self) {
        let addresses: Vec<SocketAddr> = {
            let cached = self.cached();
            cached
                .entries
                .iter()
                .map(|e| e.address)
                .chain(self.seeds.iter().copied())
                .collect()
        };
        for address in addresses {
            let url = format!("http://{address}/v1/entries?model={}", self.model);
            let asked = self
                .client
                .get(url)
                .timeout(Duration::from_secs(1))
                .send()
                .await;
            let Ok(answer) = asked else { continue };
            let Ok(answer) = answer.json::<EntriesAnswer>().await else {
                continue;
            };
            if answer.entries.is_empty() {
                continue;
            }
            let mut cached = self.cached();
            cached.valid_until = Instant::now() + Duration::from_secs(answer.max_age_s);
            cached.entries = answer.entries;
            return;
        }
    }
}
