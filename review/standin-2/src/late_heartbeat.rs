//! A heartbeat of a replica gets no answer from the store, and is executed seconds later: the
//! replica has reported meanwhile that it is draining.
//!
//! Consumers send unsafe requests all the while. `DrainMs` after the report was confirmed,
//! and after the entries have stopped to use the replica, none may reach it.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::consumer::deposit_head;
use crate::http;
use crate::record::Record;
use crate::site::{CUPWRIGHT, DEPOSIT_PATH, DEPOSIT_TIMEOUT, Site};

const CONSUMERS: usize = 9;
const LEAVING: &str = "i-counter-0";
/// `DrainMs` of the sheet.
const DRAIN: Duration = Duration::from_millis(2_000);
/// When the heartbeat is sent before the report, and how long after it was sent the store
/// executes it. The store is stable again as it confirms the report: `ContactMs` is 3 s.
const SENT_BEFORE: Duration = Duration::from_millis(3_200);
const LATE: Duration = Duration::from_millis(5_800);
/// When the replica exits, after the report: `DrainMs` and a little longer.
const EXIT: Duration = Duration::from_millis(2_750);

/// A request as its consumer saw it.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let site = match Site::start(record, &CUPWRIGHT, (4, 8), 1, |_, _| {}) {
        Ok(site) => site,
        Err(why) => return Outcome::CannotRun(why),
    };
    let end = Instant::now() + Duration::from_secs(10);
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut consumers = Vec::new();
    for n in 0..CONSUMERS {
        let (record, all, front) = (record.clone(), all.clone(), site.entries[n % 2].front);
        consumers.push(thread::spawn(move || {
            let (mut channel, mut number) = (None, 0);
            let body = b"{\"deposit\":50}";
            while Instant::now() < end {
                let Some(mut stream) = channel.take().or_else(|| http::connect(front).ok()) else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                number += 1;
                let id = format!("c{n}-{number}");
                let head = deposit_head(DEPOSIT_PATH, &id, DEPOSIT_TIMEOUT, body.len());
                let at = Instant::now();
                let reply = http::exchange(&mut stream, &head, body, at + DEPOSIT_TIMEOUT * 2);
                if reply.status != 200 {
                    record.line(&format!("{id}: status {}, {}", reply.status, reply.end));
                }
                if reply.complete {
                    channel = Some(stream);
                }
                all.lock().unwrap().push(Sent { id, at, status: reply.status });
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    thread::sleep(Duration::from_millis(500));
    let heartbeat = site.fleet.entry_of(LEAVING);
    record.line(&format!("a heartbeat of {LEAVING} gets no answer: {heartbeat}"));
    let sent = Instant::now();
    let wait_until = |t: Instant| thread::sleep(t.saturating_duration_since(Instant::now()));
    wait_until(sent + SENT_BEFORE);
    site.fleet.drain(LEAVING);
    let confirmed = Instant::now();
    wait_until(sent + LATE);
    if trouble {
        record.line("the store executes the late heartbeat");
        site.store.put("servers", LEAVING, &heartbeat);
    }
    wait_until(confirmed + EXIT);
    site.fleet.end_life(LEAVING);
    site.store.remove("servers", LEAVING);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let all = all.lock().unwrap();
    let there = |s: &&Sent| site.fleet.runs(&s.id).iter().any(|r| r.replica == LEAVING);
    let settled = confirmed + Duration::from_millis(1_000);
    let between = all.iter().filter(|s| s.at > settled && s.at <= confirmed + DRAIN);
    let between = between.filter(there).count();
    let late: Vec<&Sent> = all.iter().filter(|s| s.at > confirmed + DRAIN).filter(there).collect();
    let lost: Vec<&str> =
        late.iter().filter(|s| s.status != 200).map(|s| s.id.as_str()).collect();
    record.line(&format!(
        "{between} requests reached {LEAVING} from 1 s after the report to {DRAIN:?}, {} later; of these without a good answer: {}",
        late.len(),
        lost.join(", ")
    ));
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
