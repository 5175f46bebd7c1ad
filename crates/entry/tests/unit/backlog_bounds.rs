//! Whose stream ends when memory is used up.

use super::{Arrival, MAX_CALLER_BYTES, MAX_PACED_CHUNKS, Reading, SMALL_BYTES, Verdict};
use super::{verdict, victim_of_body};

/// A small chunk for a caller that has read everything, while nothing else is kept.
const PROMPT: Arrival = Arrival {
    reading: Reading::Ahead,
    held: 0,
    chunks: 0,
    more: 100,
    free: 1 << 20,
    ahead_free: 1 << 20,
    largest: None,
};

/// Guards against a caller that reads in time and is held up or cut off by others.
#[test]
fn a_caller_that_reads_in_time_is_held_up() {
    let full = Arrival {
        free: 0,
        largest: Some((7, 50)),
        ..PROMPT
    };
    assert_eq!(verdict(PROMPT), Verdict::Keep);
    assert_eq!(verdict(full), Verdict::Keep, "bodies use all memory");
    let some = Arrival { held: 400, ..full };
    assert_eq!(verdict(some), Verdict::Keep);
    let large = Arrival {
        more: MAX_CALLER_BYTES + 1,
        ..PROMPT
    };
    assert_eq!(
        verdict(large),
        Verdict::Keep,
        "a single chunk is no backlog"
    );
    let large = Arrival { free: 0, ..large };
    assert_eq!(verdict(large), Verdict::AwaitRoom);
}

/// Guards against a caller without a bound of its own.
#[test]
fn one_caller_exceeds_its_bound() {
    let held = MAX_CALLER_BYTES - 100;
    let within = Arrival { held, ..PROMPT };
    assert_eq!(verdict(within), Verdict::Keep);
    let beyond = Arrival {
        held: held + 1,
        ..PROMPT
    };
    assert_eq!(verdict(beyond), Verdict::EndOwn);
}

/// Guards against the end of another stream than the one of the caller that holds most.
#[test]
fn the_wrong_stream_ends() {
    let full = Arrival {
        held: 2 * SMALL_BYTES,
        free: 0,
        ahead_free: 0,
        ..PROMPT
    };
    let with = |largest| Arrival { largest, ..full };
    let after = full.held + full.more;
    assert_eq!(verdict(with(Some((7, after)))), Verdict::End(7));
    assert_eq!(verdict(with(Some((7, after - 1)))), Verdict::DropOwn);
    assert_eq!(verdict(with(None)), Verdict::DropOwn);
    let prompt = Arrival {
        held: 0,
        ..with(Some((7, 100)))
    };
    assert_eq!(verdict(prompt), Verdict::End(7), "many small backlogs");
    assert_eq!(victim_of_body(Some((7, SMALL_BYTES + 1))), Some(7));
    assert_eq!(victim_of_body(Some((7, SMALL_BYTES))), None);
}

/// Guards against a change for services whose streams are not read ahead.
#[test]
fn a_paced_stream_is_ended_or_read_ahead() {
    let full = Arrival {
        reading: Reading::Paced,
        held: 1 << 20,
        chunks: MAX_PACED_CHUNKS,
        ..PROMPT
    };
    assert_eq!(verdict(full), Verdict::AwaitCaller);
    let chunks = MAX_PACED_CHUNKS - 1;
    let free = 0;
    let some = Arrival {
        chunks,
        free,
        ..full
    };
    assert_eq!(verdict(some), Verdict::Keep);
    let more = SMALL_BYTES + 1;
    assert_eq!(verdict(Arrival { more, ..some }), Verdict::MakeRoom);
}
