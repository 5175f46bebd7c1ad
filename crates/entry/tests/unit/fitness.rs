//! Tests of what rejections and silent streams do to the choice of a leader.

#[path = "../../../fleet/tests/support/mod.rs"]
mod support;

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    CallKind, Catalog, Endpoint, EntryInfo, GroupState, LeaderChoice, Membership,
    MembershipSettings, Name, Rejection, SlotLimit, Work,
};
use hyper::StatusCode;
use support::{endpoint, limits, member, ms, route, service};

use crate::outcome::RetryCause;
use crate::state::State;

const SLOTS: u32 = 30;
/// Status of a rejection for lack of capacity.
const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// An objective that makes the service latency-critical, and one that doesn't.
const CRITICAL_MS: u64 = 250;
const RELAXED_MS: u64 = 800;

/// Returns a catalog with engines whose streams stall after the shortest time.
fn catalog(objective_ms: u64) -> Catalog {
    let mut service = service();
    if let Some(engine) = &mut service.engine {
        engine.slots = SLOTS;
        engine.prefill_chunk = 512;
        engine.per_seq_ms = 0.0445;
    }
    let mut route = route("chat", "/chat/", "engines");
    route.kind = CallKind::Stream;
    route.objective = Duration::from_millis(objective_ms);
    Catalog::new(1, vec![route], vec![service], None, limits())
}

fn leader(id: &str, incarnation: u64) -> Endpoint {
    let mut leader = endpoint(id, "d-1");
    leader.incarnation = incarnation;
    leader.model = Some("large".into());
    leader.membership = member(&format!("group-{id}"), 1, 0, GroupState::Open);
    leader
}

fn state(objective_ms: u64) -> State {
    let own = EntryInfo {
        name: "entry-1".into(),
        data_centre: "dc-a".into(),
        peers: "127.0.0.1:2".parse().unwrap(),
        callers: "127.0.0.1:3".parse().unwrap(),
        cpu_milli: 500,
    };
    let peers = Membership::new(MembershipSettings::default(), own, ms(0));
    let mut state = State::new(1, peers);
    state.catalog = std::rc::Rc::new(catalog(objective_ms));
    for id in ["vm-1", "vm-2"] {
        state.roster.put(leader(id, 1));
    }
    state
}

fn choose(state: &mut State, now: Time) -> LeaderChoice {
    let key = ("engines".into(), "large".into());
    state.choose_leader(now, "dc-a", &key, Work::default(), SlotLimit::All, &[])
}

/// Sends requests to a leader, of which some have begun, with the last event at `now`.
fn send(state: &mut State, now: Time, id: &Name, requests: u32, begun: u32) {
    for n in 0..requests {
        state.on_sent(now, id, 0, Work::default());
        if n < begun {
            state.on_first_event(id, 0);
        }
    }
}

/// Guards against a leader that rejects everything and gets the next request because it has
/// the lowest load, and against a wait without end when all leaders reject. A service that
/// isn't latency-critical is served as before.
#[test]
fn a_leader_that_rejects_everything_gets_the_next_request() {
    let (first, second) = (leader("vm-1", 1), leader("vm-2", 1));
    let now = ms(10_000);
    let mut state = state(CRITICAL_MS);
    send(&mut state, now, &second.id, 12, 12);
    send(&mut state, now, &first.id, 1, 0);
    assert_eq!(
        state.on_rejected(now, &first, UNAVAILABLE),
        Some(Rejection::Unfit)
    );
    state.on_done(&first.id, Some(0), Duration::ZERO);
    let chosen = choose(&mut state, now);
    assert!(
        matches!(&chosen, LeaderChoice::Leader(id, _) if *id == second.id),
        "{chosen:?}"
    );
    send(&mut state, now, &second.id, 16, 0);
    assert_eq!(
        state.on_rejected(now, &second, UNAVAILABLE),
        Some(Rejection::Full)
    );
    let LeaderChoice::Paused(wait) = choose(&mut state, now) else {
        panic!("a leader that rejects is used");
    };
    assert!(
        !wait.is_zero() && wait <= Duration::from_millis(250),
        "{wait:?}"
    );
    assert!(matches!(
        choose(&mut state, now + wait),
        LeaderChoice::Leader(..)
    ));
    let mut relaxed = self::state(RELAXED_MS);
    assert_eq!(relaxed.on_rejected(now, &first, UNAVAILABLE), None);
    assert!(matches!(
        choose(&mut relaxed, now),
        LeaderChoice::Leader(..)
    ));
}

/// Guards against a healthy endpoint that is suspected because it rejects a request as it
/// pauses or leaves, or after it has given up leading its group.
#[test]
fn an_endpoint_that_gives_its_reason_is_taken_for_unfit() {
    let first = leader("vm-1", 1);
    let now = ms(10_000);
    let mut pausing = state(CRITICAL_MS);
    pausing.pause(now, &first, Duration::from_secs(1));
    assert_eq!(pausing.on_rejected(now, &first, UNAVAILABLE), None);
    let mut leaving = state(CRITICAL_MS);
    leaving.roster.set_leaving(&first.id, 1);
    assert_eq!(leaving.on_rejected(now, &first, UNAVAILABLE), None);
    let mut member = state(CRITICAL_MS);
    let mut record = first.clone();
    record.membership.as_mut().unwrap().rank = 1;
    member.roster.put(record);
    assert_eq!(member.on_rejected(now, &first, UNAVAILABLE), None);
    assert_eq!(
        state(CRITICAL_MS).on_rejected(now, &leader("vm-1", 2), UNAVAILABLE),
        None
    );
}

/// Guards against new requests at a leader whose begun streams are silent, against a queue
/// while such a leader is all there is, and against a leader that is avoided because its
/// callers read slowly.
#[test]
fn a_leader_with_silent_streams_gets_new_requests() {
    let (first, second) = (leader("vm-1", 1), leader("vm-2", 1));
    let silent = Duration::from_millis(300);
    let now = ms(10_000) + silent;
    for (objective, is_used) in [(CRITICAL_MS, false), (RELAXED_MS, true)] {
        let mut state = state(objective);
        send(&mut state, ms(10_000), &first.id, 1, 1);
        send(&mut state, now, &second.id, 20, 20);
        let is_first = |chosen| matches!(chosen, LeaderChoice::Leader(id, _) if id == first.id);
        let used = (0..40).any(|_| is_first(choose(&mut state, now)));
        assert_eq!(used, is_used);
        let unread = ms(10_000) + Duration::from_millis(570);
        state.loads.get_mut(&second.id).unwrap().last_active = unread;
        let used = (0..40).any(|_| is_first(choose(&mut state, unread)));
        assert!(used, "its streams have slow callers");
        state.roster.set_leaving(&second.id, 1);
        assert!(is_first(choose(&mut state, now)), "it is all there is");
    }
}

/// Guards against requests that wait for 0.9 s at a stalled leader with free slots, and
/// against those that are taken from a full one which merely queues them.
#[test]
fn a_request_waits_at_a_stalled_leader_as_if_it_were_queued() {
    let first = leader("vm-1", 1);
    let begun = Duration::from_millis(450);
    let stalls = |objective, requests, after| {
        let mut state = state(objective);
        send(&mut state, ms(10_000), &first.id, requests, 0);
        state.is_stalled(ms(10_000) + after, &first.id)
    };
    assert!(!stalls(CRITICAL_MS, 3, begun - Duration::from_millis(1)));
    assert!(stalls(CRITICAL_MS, 3, begun));
    assert!(!stalls(CRITICAL_MS, SLOTS, begun));
    assert!(stalls(CRITICAL_MS, SLOTS, begun * 2));
    assert!(!stalls(RELAXED_MS, 3, begun));
}

/// Guards against a request that is refused after two rejections by unfit leaders, and
/// against one that uses up the retry budget: it gets four rejections at most.
#[test]
fn a_request_is_refused_after_two_unfit_leaders() {
    assert_eq!(RetryCause::Unfit.max_refusals(), 3);
    assert_eq!(RetryCause::Refused.max_refusals(), 1);
}

/// Guards against a full leader that an entry takes for unfit and reports to all others,
/// because it hasn't heard their loads yet.
#[test]
fn a_full_leader_is_taken_for_unfit_before_the_loads_are_known() {
    let first = leader("vm-1", 1);
    let mut state = state(CRITICAL_MS);
    let now = ms(100);
    assert!(!state.peers.is_settled(now));
    send(&mut state, now, &first.id, 1, 0);
    let rejection = state.on_rejected(now, &first, UNAVAILABLE);
    assert_eq!(rejection, Some(Rejection::Full));
}

/// Guards against a leader that is suspected because it refuses a request for a reason of
/// the request.
#[test]
fn a_refusal_with_another_status_shows_an_unfit_leader() {
    let first = leader("vm-1", 1);
    for status in [StatusCode::BAD_REQUEST, StatusCode::TOO_MANY_REQUESTS] {
        let mut state = state(CRITICAL_MS);
        assert_eq!(state.on_rejected(ms(10_000), &first, status), None);
    }
}

/// Guards against requests at a quiet leader while the others are full for a moment: there
/// they wait until its stall is certain.
#[test]
fn requests_go_to_a_quiet_leader_while_the_others_are_full() {
    let (first, second) = (leader("vm-1", 1), leader("vm-2", 1));
    let now = ms(10_300);
    let mut state = state(CRITICAL_MS);
    send(&mut state, ms(10_000), &first.id, 1, 1);
    send(&mut state, now, &second.id, SLOTS, SLOTS);
    let rejection = state.on_rejected(now, &second, UNAVAILABLE);
    assert_eq!(rejection, Some(Rejection::Full));
    let chosen = choose(&mut state, now);
    assert!(matches!(chosen, LeaderChoice::Paused(_)), "{chosen:?}");
}

/// Guards against requests at a suspected leader while the backoff of the others lasts.
#[test]
fn requests_go_to_a_suspected_leader_while_the_others_are_excluded() {
    let (first, second) = (leader("vm-1", 1), leader("vm-2", 1));
    let now = ms(10_000);
    for (objective, waits) in [(CRITICAL_MS, true), (RELAXED_MS, false)] {
        let mut state = state(objective);
        state.monitor.on_failure(now, &first.id, 1);
        state.fitness.on_rejected(now, &second.id, 1, 0.0);
        let chosen = choose(&mut state, now);
        let paused = matches!(chosen, LeaderChoice::Paused(_));
        assert_eq!(paused, waits, "{chosen:?}");
    }
}

/// Guards against a stalled or broken leader whose suspicion isn't reported any more, because
/// it accepted a request after it had rejected one.
#[test]
fn an_accepted_request_ends_a_suspicion_with_another_cause() {
    let first = leader("vm-1", 1);
    let now = ms(10_000);
    for (causes, is_kept) in [
        (&[true][..], false),
        (&[false, true], true),
        (&[true, false], true),
    ] {
        let mut state = state(CRITICAL_MS);
        state.fitness.on_rejected(now, &first.id, 1, 0.0);
        for is_rejection in causes {
            state.note_suspicion(now, &first.id, 1, *is_rejection);
        }
        assert!(state.on_accepted(&first));
        assert_eq!(state.suspicions.contains_key(&first.id), is_kept);
    }
}

/// Guards against memory that grows with each model name that callers make up.
#[test]
fn each_model_name_that_a_caller_sends_gets_a_queue() {
    let mut state = state(RELAXED_MS);
    let mut led = leader("vm-3", 1);
    led.model = Some("led".into());
    state.roster.put(led);
    for (model, is_known) in [("small", true), ("led", true), ("made-up", false)] {
        let key = ("engines".into(), model.into());
        assert_eq!(state.known_queue(&key).is_some(), is_known, "{model}");
    }
    assert_eq!(state.queues.len(), 2);
}
