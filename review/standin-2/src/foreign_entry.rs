//! Another writer leaves an entry under the id of a head, with fields missing.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::consumer::keep_asking;
use crate::record::Record;
use crate::site::{CUPWRIGHT, ESTIMATE, MODEL, Site};

/// Consumers, of which each has one stream at a time.
const CONSUMERS: usize = 8;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let site = match Site::start(record, &CUPWRIGHT, (4, 8), 1, |_, _| {}) {
        Ok(site) => site,
        Err(why) => return Outcome::CannotRun(why),
    };
    let end = Instant::now() + Duration::from_secs(8);
    let cut: Arc<Mutex<usize>> = Arc::default();
    let mut consumers = Vec::new();
    for n in 0..CONSUMERS {
        let (record, cut) = (record.clone(), cut.clone());
        let front = site.entries[n % 2].front;
        consumers.push(thread::spawn(move || {
            keep_asking(front, ESTIMATE, MODEL, &format!("c{n}"), end, |id, reply| {
                record.line(&format!("{id}: status {}, {}", reply.status, reply.end));
                *cut.lock().unwrap() += usize::from(reply.status != 200 || !reply.complete);
            });
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let Some(head) = site.fleet.open_head() else {
        return Outcome::CannotRun("no group is open".into());
    };
    if trouble {
        // `Version`, `ColdRemainingMs` and `Sequence` are missing, and what a replica says of
        // its group. The replica itself writes its entry again with its next heartbeat.
        let spec = site.fleet.foreign_entry(&head);
        site.store.put("servers", &head, &spec);
        record.line(&format!("another writer leaves servers/{head}: {spec}"));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    let early = site.fleet.early_joins();
    let cut = *cut.lock().unwrap();
    record.line(&format!("{} joins while a head was open, {cut} answers not whole", early.len()));
    match early.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
