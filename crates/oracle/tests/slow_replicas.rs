//! Distribution of requests over replicas of which one is slow.

use std::time::Duration;

use bulrushhoist_core::{
    Action, DataCentreName, Dispatcher, DispatcherSettings, Group, GroupNumber, Outcome, RequestId,
    Time,
};
use bulrushhoist_oracle::fixtures::{ModelFixture, dispatcher, parse_name, replica, request};

const MODEL: ModelFixture<'_> = ModelFixture {
    vms: 1,
    cold_limit: 32,
    warm_limit: 32,
    ramp_requests: 8,
    replicas: &[("east", 5)],
    team_limit: 1000,
};

/// Number of replicas that share the requests.
const REPLICAS: u64 = 5;
/// Time to the first token at a healthy replica.
const FAST_FIRST_TOKEN: Duration = Duration::from_millis(50);
/// Time to the first token at a slow replica.
const SLOW_FIRST_TOKEN: Duration = Duration::from_secs(2);
/// Time between two tokens at a healthy replica.
const FAST_TOKEN_GAP: Duration = Duration::from_millis(20);
/// Time between two tokens at a slow replica.
const SLOW_TOKEN_GAP: Duration = Duration::from_millis(400);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// The replica that the tests make slow or stop.
const FAULTY_REPLICA: GroupNumber = GroupNumber(3);

struct Simulation {
    now: Time,
    next_id: u64,
    dispatcher: Dispatcher,
}

impl Simulation {
    fn new() -> Self {
        let east: DataCentreName = parse_name("east");
        let workload = parse_name("bench");
        let groups: Vec<(DataCentreName, Group)> = (1..=REPLICAS)
            .map(|number| (east.clone(), replica(&workload, number)))
            .collect();
        let settings = DispatcherSettings::default();
        Self {
            now: Time::from_millis(1_000),
            next_id: 0,
            dispatcher: dispatcher(&MODEL.deployment(), settings, &east, &groups),
        }
    }

    /// Sends one request; returns its id and the replica it went to.
    fn send(&mut self) -> (RequestId, GroupNumber) {
        self.now = self.now + REQUEST_INTERVAL;
        self.next_id += 1;
        let id = RequestId::from(u128::from(self.next_id));
        let request = request(self.next_id, self.now);
        let actions = self.dispatcher.submit(self.now, request);
        let Some(Action::Start(_, choice)) = actions.into_iter().next() else {
            panic!("no replica has free capacity");
        };
        (id, choice.replica.number)
    }

    /// Sends requests and reports the first-token time of each, which is
    /// `observed` at the faulty replica; returns how many went to that replica.
    ///
    /// Each request ends before the next one is sent.
    fn serve(&mut self, requests: usize, observed: Duration) -> usize {
        let mut count = 0;
        for _ in 0..requests {
            let (id, number) = self.send();
            let first_token = if number == FAULTY_REPLICA {
                observed
            } else {
                FAST_FIRST_TOKEN
            };
            count += usize::from(number == FAULTY_REPLICA);
            self.dispatcher
                .finish(self.now, id, Outcome::Answered(first_token));
        }
        count
    }

    /// Like [`Self::serve`], but `observed` is the time between two tokens.
    fn serve_tokens(&mut self, requests: usize, observed: Duration) -> usize {
        let mut count = 0;
        for _ in 0..requests {
            let (id, number) = self.send();
            let gap = if number == FAULTY_REPLICA {
                observed
            } else {
                FAST_TOKEN_GAP
            };
            count += usize::from(number == FAULTY_REPLICA);
            self.dispatcher.on_token_gap(self.now, id, gap);
            self.dispatcher
                .finish(self.now, id, Outcome::Answered(FAST_FIRST_TOKEN));
        }
        count
    }
}

/// Guards against a slow replica that keeps its share of requests, and against one
/// that never gets it back.
#[test]
fn a_replica_with_slow_first_tokens_gets_few_requests_until_it_is_fast_again() {
    let mut simulation = Simulation::new();
    let fair = 1_000 / REPLICAS as usize;
    let before = simulation.serve(1_000, FAST_FIRST_TOKEN);
    assert!(before > fair / 2, "{before} of 1000 at a healthy replica");
    let slow = simulation.serve(1_000, SLOW_FIRST_TOKEN);
    assert!(slow < fair / 10, "{slow} of 1000 at a slow replica");
    // In one minute trial requests find that the replica is fast again.
    simulation.serve(6_000, FAST_FIRST_TOKEN);
    let after = simulation.serve(1_000, FAST_FIRST_TOKEN);
    assert!(after > fair / 2, "{after} of 1000 at a healthy replica");
}

/// Guards against a stalled replica that looks fast because it reports no latency.
#[test]
fn a_replica_that_stops_answering_gets_no_more_requests() {
    let mut simulation = Simulation::new();
    simulation.serve(1_000, FAST_FIRST_TOKEN);
    let mut unanswered = 0;
    for _ in 0..200 {
        let (id, number) = simulation.send();
        if number == FAULTY_REPLICA {
            unanswered += 1;
        } else {
            simulation
                .dispatcher
                .finish(simulation.now, id, Outcome::Answered(FAST_FIRST_TOKEN));
        }
    }
    // Its share of the requests sent in the 2 s after which it is taken to be
    // stalled.
    assert!(
        unanswered <= 12,
        "{unanswered} requests at a replica that does not answer"
    );
}

/// Guards against a replica that keeps its share of requests because its first
/// tokens are fast, although the tokens after them are slow.
#[test]
fn a_replica_with_slow_tokens_gets_few_requests_until_it_is_fast_again() {
    let mut simulation = Simulation::new();
    let fair = 1_000 / REPLICAS as usize;
    simulation.serve_tokens(1_000, FAST_TOKEN_GAP);
    let slow = simulation.serve_tokens(1_000, SLOW_TOKEN_GAP);
    assert!(slow < fair / 10, "{slow} of 1000 at a slow replica");
    simulation.serve_tokens(6_000, FAST_TOKEN_GAP);
    let after = simulation.serve_tokens(1_000, FAST_TOKEN_GAP);
    assert!(after > fair / 2, "{after} of 1000 at a healthy replica");
}
