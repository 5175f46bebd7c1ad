//! Events of a stream: late, crossed, cut and doubled ones are no answer.

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

fn read(text: &str) -> Result<Vec<StreamEvent>, EndpointError> {
    let mut parser = EventParser::new(id(), 0);
    parser.push(text.as_bytes());
    let mut events = Vec::new();
    while let Some(event) = parser.next_event()? {
        events.push(event);
    }
    Ok(events)
}

#[test]
fn an_event_of_another_request_is_no_answer() {
    let other = RequestId::from(8);
    assert!(matches!(
        read(&event(other, 0, "{}")),
        Err(EndpointError::BadAnswer { .. })
    ));
}

#[test]
fn a_gap_and_a_repeat_are_no_answer() {
    assert!(read(&(event(id(), 0, "{}") + &event(id(), 2, "{}"))).is_err());
    assert!(read(&(event(id(), 0, "{}") + &event(id(), 0, "{}"))).is_err());
    assert!(read(&event(id(), 1, "[DONE]")).is_err());
}

#[test]
fn an_event_without_end_does_not_fill_the_memory() {
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

    /// However the bytes are cut into pieces, the same events come out.
    #[test]
    fn pieces_do_not_matter(
        parts in 0..12_u64,
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let mut text: String = (0..parts).map(|o| event(id(), o, "{\"a\":1}")).collect();
        text += &event(id(), parts, "[DONE]");
        let mut places: Vec<usize> = cuts.iter().map(|c| c.index(text.len())).collect();
        places.extend([0, text.len()]);
        places.sort_unstable();
        let mut parser = EventParser::new(id(), 0);
        let mut count = 0;
        for pair in places.windows(2) {
            parser.push(&text.as_bytes()[pair[0]..pair[1]]);
            while let Some(event) = parser.next_event().expect("the text is sound") {
                let offset = match event {
                    StreamEvent::Part { offset, .. } | StreamEvent::End { offset } => offset,
                };
                prop_assert_eq!(offset, count);
                count += 1;
            }
        }
        prop_assert_eq!(count, parts + 1);
    }

    #[test]
    fn no_bytes_make_the_parser_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let mut parser = EventParser::new(id(), 0);
        parser.push(&bytes);
        while let Ok(Some(event)) = parser.next_event() {
            let part = matches!(event, StreamEvent::Part { .. } | StreamEvent::End { .. });
            prop_assert!(part);
        }
    }
}
