//! Benchmark of the routing decisions by number of replicas.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bulrushhoist_core::{
    Action, DataCentreName, Dispatcher, DispatcherSettings, Fingerprint, NewRequest, Outcome,
    RequestId, Time,
};
use bulrushhoist_oracle::fixtures::{self, ModelFixture};
use smallvec::SmallVec;

/// Number of requests in one measurement.
const REQUESTS: u64 = 100_000;
/// Number of requests in flight during a measurement.
const IN_FLIGHT: usize = 256;

/// Result of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct DecisionCost {
    /// Number of replicas of the workload.
    pub replicas: u64,
    /// Time of one request's decisions: admission, choice of a replica and end.
    pub per_request: Duration,
}

/// Measures the time of one request's decisions for each number of replicas.
#[must_use]
pub fn measure_decisions(replicas: &[u64]) -> Vec<DecisionCost> {
    replicas.iter().map(|r| measure(*r)).collect()
}

fn measure(replicas: u64) -> DecisionCost {
    let mut dispatcher = dispatcher(replicas);
    let team: bulrushhoist_core::TeamName = fixtures::parse_name("shop");
    let workload: bulrushhoist_core::WorkloadName = fixtures::parse_name("bench");
    let mut running = std::collections::VecDeque::new();
    let now = Time::from_millis(1);
    let start = Instant::now();
    for number in 0..REQUESTS {
        let id = RequestId::from(u128::from(number));
        let request = NewRequest {
            id,
            team: team.clone(),
            workload: workload.clone(),
            prefix: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            fingerprint: Fingerprint::new(number),
            deadline: now + Duration::from_secs(1),
            avoid: SmallVec::new(),
            forwardable: false,
        };
        for action in black_box(dispatcher.submit(now, request)) {
            if let Action::Start(id, _) = action {
                running.push_back(id);
            }
        }
        if running.len() > IN_FLIGHT
            && let Some(id) = running.pop_front()
        {
            let answered = Outcome::Answered(Duration::from_millis(50));
            black_box(dispatcher.finish(now, id, answered));
        }
    }
    let per_request = start.elapsed() / u32::try_from(REQUESTS).unwrap_or(u32::MAX);
    DecisionCost {
        replicas,
        per_request,
    }
}

/// Deployment of one model and one team, with limits that no measurement reaches.
const MODEL: ModelFixture<'_> = ModelFixture {
    vms: 1,
    cold_limit: 64,
    warm_limit: 64,
    ramp_requests: 8,
    replicas: &[("east", 1)],
    team_limit: 1_000_000,
};

fn dispatcher(replicas: u64) -> Dispatcher {
    let deployment = MODEL.deployment();
    let home: DataCentreName = fixtures::parse_name("east");
    let workload = fixtures::parse_name("bench");
    let groups: Vec<_> = (0..replicas)
        .map(|n| (home.clone(), fixtures::replica(&workload, n)))
        .collect();
    fixtures::dispatcher(&deployment, DispatcherSettings::default(), &home, &groups)
}
