//! Tests of the quarantine of requests that crash endpoints.

use bulrushhoist_core::{Fingerprint, Quarantine, QuarantineSettings, Time};

/// Number of strikes that a message has room for.
const ROOM: usize = 32;

/// Guards against messages that are full of requests which ran beside a crash, so that other
/// daemons never hear of the request that is refused here.
#[test]
fn a_refused_request_is_left_out_of_messages() {
    let mut quarantine = Quarantine::new(QuarantineSettings::default());
    let deadly = Fingerprint::new(u64::MAX);
    quarantine.strike(Time::from_millis(1), deadly, 1);
    quarantine.strike(Time::from_millis(2), deadly, 2);
    for bystander in 0..500 {
        let now = Time::from_millis(10 + bystander);
        quarantine.strike(now, Fingerprint::new(bystander), 3);
    }
    let sent: Vec<(Fingerprint, &[u64])> = quarantine.suspects(ROOM).collect();
    assert_eq!(sent.len(), ROOM);
    assert_eq!(sent[0], (deadly, &[1, 2][..]));
    let newest = Fingerprint::new(499);
    assert!(
        sent.iter().any(|(f, _)| *f == newest),
        "the newest strike must be sent"
    );
}
