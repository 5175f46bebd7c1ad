//! Tests of the event parser: an answer with events that are missing, repeated or of
//! another request must not be taken for a complete one.

use bulrushhoist_core::RequestId;
use bulrushhoist_engine::{EndpointError, EventParser, StreamEvent};
use proptest::prelude::{ProptestConfig, any, prop};
use proptest::test_runner::RngSeed;
use proptest::{prop_assert, prop_assert_eq, proptest};

const SEED: u64 = 41;

fn id() -> RequestId {
    RequestId::from(7)
}

fn event(id: RequestId, offset: u64, data: &str) -> String {
    format!("id: {id}:{offset}\ndata: {data}\n\n")
}

fn parse(text: &str) -> Result<Vec<StreamEvent>, EndpointError> {
    let mut parser = EventParser::new(id(), 0);
    parser.push(text.as_bytes());
    let mut events = Vec::new();
    while let Some(event) = parser.next_event()? {
        events.push(event);
    }
    Ok(events)
}

// An engine that mixes up two requests must not put one caller's answer into another's.
#[test]
fn an_event_of_another_request_is_an_error() {
    let other = RequestId::from(8);
    assert!(matches!(
        parse(&event(other, 0, "{}")),
        Err(EndpointError::BadAnswer { .. })
    ));
}

// An endpoint may lose or repeat events when a stream is resumed; the caller would
// receive a wrong answer that looks complete.
#[test]
fn missing_and_repeated_events_are_errors() {
    assert!(parse(&(event(id(), 0, "{}") + &event(id(), 2, "{}"))).is_err());
    assert!(parse(&(event(id(), 0, "{}") + &event(id(), 0, "{}"))).is_err());
    assert!(parse(&event(id(), 1, "[DONE]")).is_err());
}

// An endpoint that never ends an event must not make the daemon's buffer grow without
// a limit.
#[test]
fn an_event_beyond_the_maximum_size_is_an_error() {
    let mut parser = EventParser::new(id(), 0);
    let mut refused = false;
    for _ in 0..100 {
        parser.push(&[b'x'; 8 << 10]);
        refused |= parser.next_event().is_err();
    }
    assert!(refused);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Network reads split the bytes anywhere, also inside of a separator.
    #[test]
    fn events_do_not_depend_on_how_bytes_are_split(
        parts in 0..12_u64,
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let mut text: String = (0..parts).map(|o| event(id(), o, "{\"a\":1}")).collect();
        text += &event(id(), parts, "[DONE]");
        let mut splits: Vec<usize> = cuts.iter().map(|c| c.index(text.len())).collect();
        splits.extend([0, text.len()]);
        splits.sort_unstable();
        let mut parser = EventParser::new(id(), 0);
        let mut count = 0;
        for pair in splits.windows(2) {
            parser.push(&text.as_bytes()[pair[0]..pair[1]]);
            while let Some(event) = parser.next_event().expect("the text is valid") {
                let offset = match event {
                    StreamEvent::Part { offset, .. } | StreamEvent::End { offset } => offset,
                };
                prop_assert_eq!(offset, count);
                count += 1;
            }
        }
        prop_assert_eq!(count, parts + 1);
    }

    // Malformed data from an endpoint must not crash the daemon.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let mut parser = EventParser::new(id(), 0);
        parser.push(&bytes);
        while let Ok(Some(event)) = parser.next_event() {
            let part = matches!(event, StreamEvent::Part { .. } | StreamEvent::End { .. });
            prop_assert!(part);
        }
    }
}
