use super::EventSplitter;

#[test]
fn returns_only_complete_events() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\nda").unwrap(), None);
    assert!(splitter.has_partial());
    let events = splitter
        .push(b"ta: a\n\nid: 2\ndata: b\n\nid: 3")
        .unwrap()
        .unwrap();
    assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(events.count, 2);
    assert_eq!(splitter.last_id(), Some("2"));
    splitter.discard_partial();
    let events = splitter.push(b"id: 3\ndata: c\n\n").unwrap().unwrap();
    assert_eq!(&events.bytes[..], b"id: 3\ndata: c\n\n");
    assert!(!splitter.has_partial());
}

#[test]
fn rejects_an_event_that_exceeds_the_size_limit() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 100 * 1_024];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}
