//! Routing of requests, admission and the retry budget of one dispatcher.

use std::time::Duration;

use bulrushhoist_core::{
    Action, DataCentreName, DataCentreService, Dispatcher, DispatcherSettings, Group, MemberId,
    Outcome, Reason, Refusal, Register, ReplicaKey, ReplicaView, RequestId, ServiceState, Time,
};
use bulrushhoist_oracle::fixtures::{
    ModelFixture, NO_EXPIRY, daemon, dispatcher, parse_name, replica, request,
};

const MODEL: ModelFixture<'_> = ModelFixture {
    vms: 1,
    cold_limit: 4,
    warm_limit: 4,
    ramp_requests: 8,
    replicas: &[("east", 4), ("west", 1)],
    team_limit: 6,
};

fn groups() -> Vec<(DataCentreName, Group)> {
    let workload = parse_name("bench");
    let mut groups: Vec<_> = (1..=4)
        .map(|n| (parse_name("east"), replica(&workload, n)))
        .collect();
    groups.push((parse_name("west"), replica(&workload, 9)));
    groups
}

fn new_dispatcher() -> Dispatcher {
    dispatcher(
        &MODEL.deployment(),
        DispatcherSettings::default(),
        &parse_name("east"),
        &groups(),
    )
}

fn started(actions: &[Action]) -> Option<ReplicaKey> {
    actions.iter().find_map(|a| match a {
        Action::Start(_, choice) => Some(choice.replica.clone()),
        Action::Refuse(..) => None,
    })
}

fn refused(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|a| match a {
        Action::Refuse(_, refusal) => Some(*refusal),
        Action::Start(..) => None,
    })
}

/// Guards against a retry in the data centre of the first attempt, which fails again
/// if all of that data centre has failed.
#[test]
fn a_retry_goes_to_another_data_centre() {
    for number in 0..50 {
        let mut dispatcher = new_dispatcher();
        let first = started(&dispatcher.submit(Time::ZERO, request(number, Time::ZERO)))
            .expect("a replica has free capacity");
        dispatcher.finish(
            Time::ZERO,
            RequestId::from(u128::from(number)),
            Outcome::Lost(None),
        );
        let mut again = request(number, Time::ZERO);
        again.avoid.push(first.clone());
        let second =
            started(&dispatcher.submit(Time::ZERO, again)).expect("a replica has free capacity");
        assert_ne!(second.data_centre, first.data_centre);
    }
}

/// Guards against a retry that is refused, or sent to the failed replica, when no
/// other data centre serves.
#[test]
fn a_retry_uses_another_replica_if_there_is_no_other_data_centre() {
    let mut dispatcher = new_dispatcher();
    let key = ReplicaKey {
        data_centre: parse_name("west"),
        number: groups()[4].1.number,
    };
    dispatcher.router_mut().set_serving(&key, None);
    let first = started(&dispatcher.submit(Time::ZERO, request(1, Time::ZERO)));
    let first = first.expect("a replica has free capacity");
    let mut again = request(2, Time::ZERO);
    again.avoid.push(first.clone());
    let second =
        started(&dispatcher.submit(Time::ZERO, again)).expect("a replica has free capacity");
    assert_ne!(second, first);
}

/// Guards against a dispatcher that still chooses replicas of a data centre after
/// operators have taken it out.
#[test]
fn no_request_starts_in_a_data_centre_that_is_out_of_service() {
    let mut dispatcher = new_dispatcher();
    let mut service = DataCentreService::default();
    service.set(&parse_name("east"), ServiceState::Out);
    let mut register = Register::default();
    register.insert(daemon(MemberId::new(1), &parse_name("east")));
    let groups = groups();
    let running = started(&dispatcher.submit(Time::ZERO, request(1, Time::ZERO)));
    assert!(running.is_some());
    let views = groups
        .iter()
        .map(|(data_centre, group)| ReplicaView { data_centre, group });
    dispatcher.reconfigure(
        &MODEL.deployment(),
        &service,
        &register,
        &parse_name("east"),
        views,
    );
    for number in 2..5 {
        let actions = dispatcher.submit(Time::ZERO, request(number, Time::ZERO));
        let replica = started(&actions).expect("the other data centre has free capacity");
        assert_eq!(replica.data_centre.as_str(), "west");
    }
}

/// Guards against a process that is suspended between the routing decision and
/// the request to the replica: it must check again before it sends.
#[test]
fn a_decision_is_void_after_its_evidence_or_freshness_has_expired() {
    let mut dispatcher = new_dispatcher();
    let id = RequestId::from(1);
    let replica = started(&dispatcher.submit(Time::ZERO, request(1, Time::ZERO)));
    let replica = replica.expect("a replica has free capacity");
    assert!(dispatcher.may_send(Time::ZERO, id));
    dispatcher
        .router_mut()
        .set_serving(&replica, Some(Time::from_millis(2_000)));
    assert!(
        !dispatcher.may_send(Time::from_millis(2_000), id),
        "the evidence has expired"
    );
    dispatcher
        .router_mut()
        .set_serving(&replica, Some(NO_EXPIRY));
    dispatcher.set_fresh_until(Time::from_millis(3_000));
    assert!(
        !dispatcher.may_send(Time::from_millis(3_000), id),
        "the proof of freshness has expired"
    );
    let actions = dispatcher.submit(Time::from_millis(3_000), request(2, Time::ZERO));
    assert_eq!(refused(&actions), Some(Refusal::not_run(Reason::Stale)));
}

#[test]
fn a_team_cannot_exceed_its_in_flight_limit() {
    let mut dispatcher = new_dispatcher();
    for number in 0..6 {
        assert!(started(&dispatcher.submit(Time::ZERO, request(number, Time::ZERO))).is_some());
    }
    let actions = dispatcher.submit(Time::ZERO, request(6, Time::ZERO));
    assert_eq!(refused(&actions), Some(Refusal::not_run(Reason::TeamLimit)));
}

/// Guards against retry storms: retries may add only a fixed fraction of load.
#[test]
fn the_retry_budget_is_a_fraction_of_successes() {
    let mut dispatcher = new_dispatcher();
    let team = parse_name("shop");
    let initial = (0..1_000).filter(|_| dispatcher.try_retry(&team)).count();
    assert_eq!(initial, 20, "the initial retry budget");
    for number in 0..100 {
        let actions = dispatcher.submit(Time::ZERO, request(number, Time::ZERO));
        assert!(started(&actions).is_some());
        let id = RequestId::from(u128::from(number));
        dispatcher.finish(Time::ZERO, id, Outcome::Answered(Duration::from_millis(50)));
    }
    let earned = (0..1_000).filter(|_| dispatcher.try_retry(&team)).count();
    assert!(
        (9..=10).contains(&earned),
        "{earned} retries for 100 successes"
    );
}
