use super::EventSplitter;

#[test]
fn hands_out_whole_events_only() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\nda").unwrap(), None);
    assert!(splitter.is_torn());
    let events = splitter
        .push(b"ta: a\n\nid: 2\ndata: b\n\nid: 3")
        .unwrap()
        .unwrap();
    assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(events.count, 2);
    assert_eq!(splitter.last_id(), Some("2"));
    splitter.drop_torn();
    let events = splitter.push(b"id: 3\ndata: c\n\n").unwrap().unwrap();
    assert_eq!(&events.bytes[..], b"id: 3\ndata: c\n\n");
    assert!(!splitter.is_torn());
}

#[test]
fn an_endless_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 100 * 1_024];
    assert!(splitter.push(&piece).is_ok());
    assert!(splitter.push(&piece).is_ok());
    assert!(splitter.push(&piece).is_err());
}
