//! How requests spread over replicas of which one is slow.

use std::time::Duration;

use bulrushhoist_core::{
    Action, DataCentreName, Dispatcher, DispatcherSettings, Group, GroupNumber, Outcome, RequestId,
    Time,
};
use bulrushhoist_oracle::fixtures::{ModelFixture, dispatcher, name, replica, request};

const MODEL: ModelFixture<'_> = ModelFixture {
    vms: 1,
    cold: 32,
    warm: 32,
    ramp: 8,
    replicas: &[("east", 5)],
    team_limit: 1000,
};

/// Replicas that share the requests.
const REPLICAS: u64 = 5;
/// Time to the first token at a sound replica.
const FAST: Duration = Duration::from_millis(50);
/// Time to the first token at a slow replica.
const SLOW: Duration = Duration::from_secs(2);
/// Time between two tokens at a sound replica.
const TOKEN_GAP: Duration = Duration::from_millis(20);
/// Time between two tokens at a slow replica.
const SLOW_TOKEN_GAP: Duration = Duration::from_millis(400);
/// Time between two requests.
const PERIOD: Duration = Duration::from_millis(10);
/// The replica that is slow for a while.
const ODD: GroupNumber = GroupNumber(3);

struct World {
    now: Time,
    next: u64,
    dispatcher: Dispatcher,
}

impl World {
    fn new() -> Self {
        let east: DataCentreName = name("east");
        let workload = name("bench");
        let groups: Vec<(DataCentreName, Group)> = (1..=REPLICAS)
            .map(|number| (east.clone(), replica(&workload, number)))
            .collect();
        let settings = DispatcherSettings::default();
        Self {
            now: Time::from_millis(1_000),
            next: 0,
            dispatcher: dispatcher(&MODEL.deployment(), settings, &east, &groups),
        }
    }

    /// Sends one request; returns where it went.
    fn send(&mut self) -> (RequestId, GroupNumber) {
        self.now = self.now + PERIOD;
        self.next += 1;
        let id = RequestId::from(u128::from(self.next));
        let request = request(self.next, self.now);
        let events = self.dispatcher.submit(self.now, request);
        let Some(Action::Start(_, choice)) = events.into_iter().next() else {
            panic!("there is room");
        };
        (id, choice.replica.number)
    }

    /// Sends requests that are answered at once in real time, each with the
    /// first-token time of its replica; returns how many went to the odd one.
    fn serve(&mut self, requests: usize, odd: Duration) -> usize {
        let mut there = 0;
        for _ in 0..requests {
            let (id, number) = self.send();
            let took = if number == ODD { odd } else { FAST };
            there += usize::from(number == ODD);
            self.dispatcher
                .finish(self.now, id, Outcome::Answered(took));
        }
        there
    }

    /// The same, with the time between tokens that the odd replica takes.
    fn serve_tokens(&mut self, requests: usize, odd: Duration) -> usize {
        let mut there = 0;
        for _ in 0..requests {
            let (id, number) = self.send();
            let gap = if number == ODD { odd } else { TOKEN_GAP };
            there += usize::from(number == ODD);
            self.dispatcher.on_token_gap(self.now, id, gap);
            self.dispatcher
                .finish(self.now, id, Outcome::Answered(FAST));
        }
        there
    }
}

#[test]
fn a_slow_replica_gets_few_requests_and_its_share_again_once_it_is_fast() {
    let mut world = World::new();
    let fair = 1_000 / REPLICAS as usize;
    let before = world.serve(1_000, FAST);
    assert!(before > fair / 2, "{before} of 1000 at a sound replica");
    let slow = world.serve(1_000, SLOW);
    assert!(slow < fair / 10, "{slow} of 1000 at a slow replica");
    // A minute, in which trials find out that the replica is fast again.
    world.serve(6_000, FAST);
    let after = world.serve(1_000, FAST);
    assert!(after > fair / 2, "{after} of 1000 at a sound replica");
}

#[test]
fn a_replica_that_stopped_answering_gets_no_more_requests() {
    let mut world = World::new();
    world.serve(1_000, FAST);
    let mut stuck = 0;
    for _ in 0..200 {
        let (id, number) = world.send();
        if number == ODD {
            stuck += 1;
        } else {
            world
                .dispatcher
                .finish(world.now, id, Outcome::Answered(FAST));
        }
    }
    // Its share while a first token may still come, of 2 s without one.
    assert!(stuck <= 12, "{stuck} requests at a replica without answers");
}

#[test]
fn a_replica_with_slow_tokens_gets_few_requests_and_its_share_again() {
    let mut world = World::new();
    let fair = 1_000 / REPLICAS as usize;
    world.serve_tokens(1_000, TOKEN_GAP);
    let slow = world.serve_tokens(1_000, SLOW_TOKEN_GAP);
    assert!(slow < fair / 10, "{slow} of 1000 at a slow replica");
    world.serve_tokens(6_000, TOKEN_GAP);
    let after = world.serve_tokens(1_000, TOKEN_GAP);
    assert!(after > fair / 2, "{after} of 1000 at a sound replica");
}
