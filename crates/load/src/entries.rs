//! Which entry a caller uses, as the interface asks of callers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt as _;
use reqwest::Client;
use serde::Deserialize;
use tokio::time::Instant;

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Listed {
    address: SocketAddr,
    weight: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct EntriesAnswer {
    max_age_s: u64,
    entries: Vec<Listed>,
}

struct Known {
    until: Instant,
    entries: Vec<Listed>,
}

/// The entries that callers know.
pub(crate) struct Entries {
    client: Client,
    seeds: Vec<SocketAddr>,
    model: String,
    known: Mutex<Known>,
}

impl Entries {
    pub(crate) fn new(client: Client, seeds: Vec<SocketAddr>, model: &str) -> Self {
        let known = Known {
            until: Instant::now(),
            entries: Vec::new(),
        };
        Self {
            client,
            seeds,
            model: model.to_owned(),
            known: Mutex::new(known),
        }
    }

    fn known(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Returns an entry to use, other than `avoid` if there is one.
    pub(crate) async fn pick(&self, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        if Instant::now() >= self.known().until || avoid.is_some() {
            self.ask().await;
        }
        let known = self.known();
        let usable: Vec<&Listed> = known
            .entries
            .iter()
            .filter(|e| Some(e.address) != avoid)
            .collect();
        let total: u32 = usable.iter().map(|e| e.weight).sum();
        if total == 0 {
            return None;
        }
        let mut ticket = rand::rng().random_range(0..total);
        for entry in usable {
            if ticket < entry.weight {
                return Some(entry.address);
            }
            ticket -= entry.weight;
        }
        None
    }

    async fn ask(&self) {
        let addresses: Vec<SocketAddr> = {
            let known = self.known();
            known
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
            let mut known = self.known();
            known.until = Instant::now() + Duration::from_secs(answer.max_age_s);
            known.entries = answer.entries;
            return;
        }
    }
}
