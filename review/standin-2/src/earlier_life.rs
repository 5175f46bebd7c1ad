//! A heartbeat of a replica gets no answer from the store, and is executed seconds later: the
//! replica has crashed meanwhile, has started again under its id, and is in an open group.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::consumer::keep_asking;
use crate::record::Record;
use crate::site::{CUPWRIGHT, ESTIMATE, MODEL, Site};

const CONSUMERS: usize = 8;
const CRASHING: &str = "i-0";
/// How long after it was sent the store executes the heartbeat.
const LATE: Duration = Duration::from_millis(5_900);

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let late: Mutex<Option<(Instant, String)>> = Mutex::default();
    // The replica crashes soon after its start, before it is in a group.
    let site = Site::start(record, &CUPWRIGHT, (2, 8), 1, |fleet, _| {
        thread::sleep(Duration::from_millis(200));
        let heartbeat = fleet.entry_of(CRASHING);
        record.line(&format!("a heartbeat of {CRASHING} gets no answer: {heartbeat}"));
        *late.lock().unwrap() = Some((Instant::now(), heartbeat));
        thread::sleep(Duration::from_millis(100));
        fleet.end_life(CRASHING);
        thread::sleep(Duration::from_millis(500));
        fleet.start_again(CRASHING);
    });
    let site = match site {
        Ok(site) => site,
        Err(why) => return Outcome::CannotRun(why),
    };
    let Some((sent, heartbeat)) = late.into_inner().ok().flatten() else {
        return Outcome::CannotRun("no heartbeat was sent".into());
    };
    let end = Instant::now() + Duration::from_secs(6);
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
    if Instant::now() > sent + LATE {
        return Outcome::CannotRun("the group opened too late".into());
    }
    thread::sleep(sent + LATE - Instant::now());
    if trouble {
        record.line("the store executes the late heartbeat");
        site.store.put("servers", CRASHING, &heartbeat);
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
