//! An entry is told to stop while the only head has asked it for a pause.
//!
//! Consumers that still use the entry send requests in the first 3 s after its SIGTERM, on
//! channels that they have kept. The entry reads them and lets them wait for the end of the
//! pause, which comes later than its own.

use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::consumer::send_stream;
use crate::http::{self, Reply};
use crate::record::Record;
use crate::site::{DESCRIBE, KARNLOGG, MODEL, Site};

/// Consumers that still use the entry that stops, and when they send after the SIGTERM.
const CONSUMERS: u32 = 8;
const FIRST: Duration = Duration::from_millis(1_800);
const LAST: Duration = Duration::from_millis(2_600);
/// The pause that the head asks for, in seconds, just before the SIGTERM.
const PAUSE_S: u64 = 8;
const GRACE: Duration = Duration::from_secs(8);
/// `LossSlackMs` of the sheet.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Requests sent later after the SIGTERM have no excuse of a replica at work.
const EXCUSED_SENDS: Duration = Duration::from_secs(3);

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let mut site = match Site::start(record, &KARNLOGG, (2, 8), 1, |_, _| {}) {
        Ok(site) => site,
        Err(why) => return Outcome::CannotRun(why),
    };
    let front = site.entries[0].front;
    let mut channels = Vec::new();
    for n in 0..CONSUMERS {
        let Ok(mut channel) = http::connect(front) else {
            return Outcome::CannotRun("no channel".into());
        };
        let reply = send_stream(&mut channel, DESCRIBE, &format!("before-{n}"), MODEL);
        record.line(&format!("before-{n}: status {}, {}", reply.status, reply.end));
        if reply.status != 200 || !reply.complete {
            return Outcome::CannotRun("a request before the stop was not served".into());
        }
        channels.push(channel);
    }
    // The consumer of this one is told when to come back, and that it hasn't run.
    site.fleet.pause_next(PAUSE_S);
    let turned_away = send_stream(&mut channels[0], DESCRIBE, "turned-away", MODEL);
    record.line(&format!("turned-away: status {}, {}", turned_away.status, turned_away.end));
    thread::sleep(Duration::from_millis(100));
    let stopped = Instant::now();
    if trouble {
        site.entries[0].signal("TERM");
        record.line("SIGTERM to the first entry");
    }
    let senders: Vec<_> = channels
        .into_iter()
        .zip(0..CONSUMERS)
        .map(|(mut channel, n)| {
            let (record, fleet) = (record.clone(), site.fleet.clone());
            let pause = FIRST + (LAST - FIRST) * n / CONSUMERS;
            thread::spawn(move || {
                thread::sleep(pause);
                let id = format!("after-{n}");
                let reply = send_stream(&mut channel, DESCRIBE, &id, MODEL);
                let sent = reply.sent.map_or(0.0, |t| record.seconds(t));
                record.line(&format!(
                    "{id}: sent at {sent:.3}, status {}, {}, {} runs",
                    reply.status,
                    reply.end,
                    fleet.runs(&id).len()
                ));
                (id, reply)
            })
        })
        .collect();
    if trouble {
        let status = site.entries[0].wait(GRACE + Duration::from_secs(2));
        record.line(&format!("the first entry ended: {status:?}"));
    }
    let replies: Vec<(String, Reply)> =
        senders.into_iter().filter_map(|s| s.join().ok()).collect();
    let lost = replies.iter().filter(|(id, reply)| is_lost(&site, id, reply, stopped));
    let lost: Vec<&str> = lost.map(|(id, _)| id.as_str()).collect();
    record.line(&format!("{} of {} lost: {}", lost.len(), replies.len(), lost.join(", ")));
    match lost.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

/// Returns whether the rule LOST counts a request, with its excuses.
fn is_lost(site: &Site, id: &str, reply: &Reply, stopped: Instant) -> bool {
    let (Some(sent), Some(ended)) = (reply.sent, reply.ended) else {
        return false;
    };
    if reply.complete || ended >= sent + DESCRIBE.deadline {
        return false;
    }
    let runs = site.fleet.runs(id);
    let passed_on = !runs.is_empty();
    if !passed_on && ended < sent + LOSS_SLACK {
        return false;
    }
    // A replica that broke off by itself would be an excuse; this one doesn't.
    let last_sixth = stopped + GRACE - GRACE / 6;
    let at_work = |t: Instant| runs.iter().any(|r| r.begun <= t && r.ended.is_none_or(|e| e >= t));
    let excused = sent <= stopped + EXCUSED_SENDS && at_work(ended.max(last_sixth));
    !excused
}
