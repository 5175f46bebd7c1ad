//! A head leaves without notice, and the other member of its group carries out joins late: the
//! one of this group, between its order to leave and the next join that it takes.

use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::consumer::keep_asking;
use crate::record::Record;
use crate::site::{CUPWRIGHT, ESTIMATE, MODEL, Site};

const CONSUMERS: usize = 8;
/// The member whose orders are late. The first join of its group isn't answered, and the one
/// that follows 0.7 s later is.
const LATE: &str = "i-1";
/// When the late join is carried out, after the head's entry was removed.
const CARRIED_OUT: Duration = Duration::from_millis(300);
/// When the head exits: `DrainMs` after its entry was removed, and a little longer.
const EXIT: Duration = Duration::from_millis(3_000);

pub fn play(record: &Record, trouble: bool) -> Outcome {
    // Four domains of two replicas: four groups, and no spare.
    let site = Site::start(record, &CUPWRIGHT, (8, 2), 4, |fleet, _| {
        fleet.leave_unanswered(LATE, usize::from(trouble));
    });
    let site = match site {
        Ok(site) => site,
        Err(why) => return Outcome::CannotRun(why),
    };
    let members = site.fleet.members_with(LATE);
    let Some(head) = members.first().filter(|m| **m != LATE) else {
        return Outcome::CannotRun(format!("{LATE} leads its group"));
    };
    let end = Instant::now() + Duration::from_secs(6);
    let mut consumers = Vec::new();
    for n in 0..CONSUMERS {
        let (record, front) = (record.clone(), site.entries[n % 2].front);
        consumers.push(thread::spawn(move || {
            keep_asking(front, ESTIMATE, MODEL, &format!("c{n}"), end, |id, reply| {
                record.line(&format!("{id}: status {}, {}", reply.status, reply.end));
            });
        }));
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        site.fleet.cut_off(LATE);
        site.fleet.leave_unanswered(LATE, 1);
    }
    // The head stops its heartbeats, and its entry is removed; it goes on serving.
    site.fleet.cut_off(head);
    site.store.remove("servers", head);
    let removed = Instant::now();
    record.line(&format!("{head} leaves without notice, and its entry is removed"));
    let wait_until = |t: Instant| thread::sleep(t.saturating_duration_since(Instant::now()));
    wait_until(removed + CARRIED_OUT);
    if let Some(join) = site.fleet.unanswered().first() {
        site.fleet.carry_out(LATE, join);
    }
    wait_until(removed + EXIT);
    site.fleet.end_life(head);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let early = site.fleet.early_joins();
    record.line(&format!("{} joins while a head was open", early.len()));
    match early.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
