//! Faults of endpoints, connections and data centres.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushhoist_cli::set_service_state;
use bulrushhoist_core::{ServiceState, VmName, VmPhase, VmStatus};
use bulrushhoist_standin::{EndpointSettings, VmFault, expected_part};
use serde_json::Value;
use tokio::task::JoinSet;

use crate::deployment::{SERVING_TIMEOUT, TestDeployment, json};

/// Time after which a data centre out of service gets no new requests.
const OUT_TIMEOUT: Duration = Duration::from_secs(3);

fn assert_complete(text: &str, body: &str, parts: u64) {
    assert!(
        text.ends_with("data: [DONE]\n\n"),
        "the stream has no end event: {text}"
    );
    let expected: Vec<String> = (0..parts)
        .map(|o| expected_part(body.as_bytes(), o))
        .collect();
    let found: Vec<String> = text
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .filter_map(|d| serde_json::from_str::<Value>(d).ok())
        .filter_map(|v| {
            v["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect();
    assert_eq!(found, expected);
}

/// Guards against a stream that ends short or hangs when the connection to the
/// endpoint stalls without being closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_on_a_stalled_connection_is_resumed_completely() {
    let deployment = TestDeployment::start(2, EndpointSettings::default()).await;
    let body = r#"{"model":"bench","stream":true,"max_tokens":150,"messages":["silent"]}"#;
    let response = deployment.complete(0, body).await;
    let leader = deployment.busy_leader().await;
    let start = Instant::now();
    assert!(deployment.local.set_fault(&leader, VmFault::Silence));
    let text = response.text().await.expect("the stream ends");
    assert_complete(&text, body, 150);
    assert!(
        start.elapsed() < Duration::from_secs(8),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a second execution when the connection to the endpoint stalls
/// while it runs a call: the entry must ask for the answer, not send the call
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_a_stalled_connection_is_answered_and_runs_once() {
    let endpoints = EndpointSettings {
        call_time: Duration::from_millis(800),
        ..EndpointSettings::default()
    };
    let deployment = Arc::new(TestDeployment::start(2, endpoints).await);
    let ticket = deployment.ticket(0).await;
    let (caller, ticket_copy) = (Arc::clone(&deployment), ticket.clone());
    let body = r#"{"deposit":"silent-1"}"#;
    let answer = tokio::spawn(async move {
        caller
            .call(0, "/deposits", Some(&ticket_copy), body)
            .await
            .status()
    });
    let leader = deployment.busy_leader().await;
    let start = Instant::now();
    deployment.local.set_fault(&leader, VmFault::Silence);
    assert_eq!(answer.await.expect("the caller gets an answer"), 200);
    assert!(
        start.elapsed() < Duration::from_secs(8),
        "{:?}",
        start.elapsed()
    );
    // A repeated call gets the kept answer and is not executed again.
    assert_eq!(
        deployment
            .call(1, "/deposits", Some(&ticket), body)
            .await
            .status(),
        200
    );
    assert_eq!(deployment.local.endpoints.executions(body.as_bytes()), 1);
}

/// Guards against a request that crashes endpoint after endpoint because each
/// entry counts only the crashes that it saw itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_poison_request_crashes_at_most_two_endpoints() {
    let deployment = TestDeployment::start(3, EndpointSettings::default()).await;
    let epochs = |d: &TestDeployment| {
        d.local
            .endpoints
            .statuses()
            .iter()
            .map(|s| s.epoch - 1)
            .sum::<u64>()
    };
    let body = r#"{"model":"bench","max_tokens":4,"messages":["poison"]}"#;
    let mut last_answer = Value::Null;
    for index in 0..9 {
        let response = deployment.complete(index, body).await;
        assert!(!response.status().is_success());
        last_answer = json(response).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(last_answer["reason"], "quarantined", "{last_answer}");
    assert!(
        epochs(&deployment) <= 2,
        "{} endpoints were lost",
        epochs(&deployment)
    );
    assert!(
        deployment.local.wait_until_serving(SERVING_TIMEOUT).await,
        "the groups do not recover in time"
    );
    let innocent = r#"{"model":"bench","max_tokens":4,"messages":["fine"]}"#;
    assert_eq!(deployment.complete(0, innocent).await.status(), 200);
}

/// Guards against requests to a group that cannot answer because a member other than
/// its leader died.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_with_a_dead_member_takes_no_requests_and_gets_a_spare() {
    let deployment = TestDeployment::start(2, EndpointSettings::default()).await;
    let member = deployment
        .local
        .endpoints
        .statuses()
        .into_iter()
        .find(|s| s.phase == VmPhase::Ready && s.rank == 2)
        .expect("a group of four has a rank 2");
    let group_leader = deployment
        .local
        .endpoints
        .statuses()
        .into_iter()
        .find(|s| {
            s.rank == 0
                && s.group == member.group
                && same_data_centre(&s.vm, &member.vm)
                && s.workload == member.workload
        })
        .expect("the group has a leader");
    deployment.local.set_fault(&member.vm, VmFault::Die);
    let died = Instant::now();
    // Evidence is valid for 2 s; after that no request may start at the group.
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    let served = |d: &TestDeployment| {
        let statuses = d.local.endpoints.statuses();
        statuses
            .into_iter()
            .find(|s| s.vm == group_leader.vm)
            .map(|s| s.served)
    };
    let before = served(&deployment);
    for index in 0..10 {
        let body = format!(r#"{{"model":"bench","max_tokens":2,"messages":["{index}"]}}"#);
        assert_eq!(
            deployment.complete(index, &body).await.status(),
            200,
            "the other group refused a request"
        );
    }
    // If the calls took long, the group may already serve again with a spare.
    if died.elapsed() < Duration::from_secs(4) {
        assert_eq!(
            served(&deployment),
            before,
            "the group took requests without one of its members"
        );
    }
    assert!(
        deployment.local.wait_until_serving(SERVING_TIMEOUT).await,
        "the group does not serve again in time"
    );
}

fn same_data_centre(a: &VmName, b: &VmName) -> bool {
    a.as_str().split('-').next() == b.as_str().split('-').next()
}

/// Guards against an entry that still sends to a data centre after it was taken out,
/// and against refusals while the other one takes every request.
#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_taken_out_of_service_gets_no_new_requests_and_none_fails() {
    let deployment = Arc::new(TestDeployment::start(3, EndpointSettings::default()).await);
    let east = "east".parse().expect("the name is valid");
    let mut callers = JoinSet::new();
    let deadline = Instant::now() + Duration::from_secs(8);
    for caller in 0..4 {
        let deployment = Arc::clone(&deployment);
        callers.spawn(async move {
            let mut answered = 0;
            while Instant::now() < deadline {
                let body = format!(
                    r#"{{"model":"bench","max_tokens":20,"messages":["{caller}-{answered}"]}}"#
                );
                assert_eq!(deployment.complete(caller, &body).await.status(), 200);
                answered += 1;
            }
            answered
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    set_service_state(&deployment.local.store, &east, ServiceState::Out)
        .await
        .expect("the state is stored");
    tokio::time::sleep(OUT_TIMEOUT).await;
    let served = |d: &TestDeployment| -> u64 {
        let statuses = d.local.endpoints.statuses();
        let inside = statuses
            .iter()
            .filter(|s| s.vm.as_str().starts_with("east"));
        inside.map(|s| s.served + u64::from(s.running)).sum()
    };
    let before = served(&deployment);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(
        served(&deployment) <= before,
        "a request started in the data centre out of service"
    );
    while let Some(result) = callers.join_next().await {
        assert!(result.expect("no request fails") > 0);
    }
    set_service_state(&deployment.local.store, &east, ServiceState::In)
        .await
        .expect("the state is stored");
    assert!(deployment.local.wait_until_serving(SERVING_TIMEOUT).await);
}

/// Time after which an endpoint that is listed as leaving gets no new requests.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against requests that are lost with a leaving VM because its group serves
/// until the replacement has loaded.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_requests_while_its_replacement_loads() {
    let endpoints = EndpointSettings {
        load_time: Duration::from_secs(8),
        ..EndpointSettings::default()
    };
    let deployment = Arc::new(TestDeployment::start(2, endpoints).await);
    let leader = deployment.bench_leader();
    let deadline = Instant::now() + Duration::from_secs(8);
    let mut callers = JoinSet::new();
    for caller in 0..4 {
        let deployment = Arc::clone(&deployment);
        callers.spawn(async move {
            let body = format!(r#"{{"model":"bench","max_tokens":8,"messages":["{caller}"]}}"#);
            while Instant::now() < deadline {
                let status = deployment.complete(caller, &body).await.status();
                assert_eq!(status, 200, "a request was refused");
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        deployment.status(&leader).served > 0,
        "the endpoint got no requests before it leaves"
    );
    deployment.local.set_fault(&leader, VmFault::Leave);
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    let admitted = |status: &VmStatus| status.served + u64::from(status.running);
    let before = admitted(&deployment.status(&leader));
    while let Some(done) = callers.join_next().await {
        done.expect("no request fails");
    }
    let after = admitted(&deployment.status(&leader));
    assert!(
        after <= before,
        "the leaving endpoint got {} new requests",
        after - before
    );
}

/// Time during which callers send requests while one endpoint is slow.
const SLOW_TIME: Duration = Duration::from_secs(12);
/// Time after which an endpoint that is fast again gets its share of requests.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Maximum fraction of answers that take longer than the target.
const MAX_LATE_SHARE: f64 = 0.05;

/// Guards against routing by probes alone: the endpoint still answers them in
/// time while its tokens come many times slower.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_with_slow_tokens_delays_few_answers_though_it_answers_probes() {
    let deployment = Arc::new(TestDeployment::start(2, EndpointSettings::default()).await);
    let leader = deployment.bench_leader();
    // Warm the replicas up before one turns slow.
    let warm = run_callers(&deployment, Duration::from_secs(4)).await;
    assert!(warm.len() > 100, "{} answers", warm.len());
    deployment.local.set_fault(&leader, VmFault::SlowTokens);
    let times = run_callers(&deployment, SLOW_TIME).await;
    // A healthy endpoint takes 40 ms to the first of 16 parts and 10 ms between parts.
    let target = Duration::from_millis(1_300);
    let late = times.iter().filter(|t| **t > target).count();
    let max_late = (MAX_LATE_SHARE * times.len() as f64) as usize;
    assert!(
        late <= max_late,
        "{late} of {} answers were late",
        times.len()
    );
    deployment.local.set_fault(&leader, VmFault::Return);
    tokio::time::sleep(RECOVERY_TIME).await;
    let before = deployment.status(&leader).served;
    let all = run_callers(&deployment, Duration::from_secs(4)).await.len() as u64;
    let at_endpoint = deployment.status(&leader).served - before;
    assert!(
        at_endpoint > all / 4,
        "{at_endpoint} of {all} requests at the endpoint"
    );
}

/// Runs eight callers that each send one request at a time; returns the time of
/// each answer.
async fn run_callers(deployment: &Arc<TestDeployment>, duration: Duration) -> Vec<Duration> {
    let deadline = Instant::now() + duration;
    let mut callers = JoinSet::new();
    for caller in 0..8 {
        let deployment = Arc::clone(deployment);
        callers.spawn(async move {
            let mut times = Vec::new();
            while Instant::now() < deadline {
                let start = Instant::now();
                let number = times.len();
                let body = format!(r#"{{"model":"bench","messages":["{caller}-{number}"]}}"#);
                let response = deployment.complete(caller, &body).await;
                assert_eq!(response.status(), 200);
                response.text().await.expect("the answer ends");
                times.push(start.elapsed());
            }
            times
        });
    }
    let mut times = Vec::new();
    while let Some(done) = callers.join_next().await {
        times.extend(done.expect("no caller fails"));
    }
    times
}

/// Time after which every entry knows that an endpoint turned cold.
///
/// It covers two probe intervals, that of the probing entry and that of the
/// entries that pull its reports, and the run time of requests sent before.
const DETECTION_TIME: Duration = Duration::from_millis(2_600);

/// Guards against overload of an endpoint that turns cold without a restart,
/// while the entries still send up to its warm limit.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_turns_cold_under_load_is_not_overloaded() {
    // A cold endpoint has a limit of 4 requests. Until the entries know that it
    // is cold it may get one from each caller, which is within `crash_factor`.
    let callers = 16;
    let endpoints = EndpointSettings {
        crash_factor: 4,
        ..EndpointSettings::default()
    };
    let deployment = Arc::new(TestDeployment::start(2, endpoints).await);
    let leader = deployment.bench_leader();
    let deadline = Instant::now() + Duration::from_secs(9);
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let deployment = Arc::clone(&deployment);
        tasks.spawn(async move {
            let mut sent = 0;
            while Instant::now() < deadline {
                let body = format!(
                    r#"{{"model":"bench","max_tokens":40,"messages":["{caller}-{sent}"]}}"#
                );
                deployment.complete(caller, &body).await;
                sent += 1;
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    deployment.local.set_fault(&leader, VmFault::TurnCold);
    tokio::time::sleep(DETECTION_TIME).await;
    while Instant::now() < deadline {
        let status = deployment.status(&leader);
        let limit = endpoints.concurrency_limit(status.served);
        assert!(
            status.running <= limit,
            "{} requests run, but the limit is {limit}",
            status.running
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    while let Some(done) = tasks.join_next().await {
        done.expect("no caller fails");
    }
    let status = deployment.status(&leader);
    assert_eq!(status.epoch, 1, "the endpoint crashed");
    assert!(status.served > 0, "the cold endpoint got no requests");
}

/// Guards against server-side request forgery: the owner's address in a ticket
/// comes from the caller, so an entry must not connect to it unchecked.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_with_a_forged_owner_address_is_not_followed() {
    let deployment = TestDeployment::start(2, EndpointSettings::default()).await;
    let ticket = deployment.ticket(0).await;
    let other_listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = other_listener
        .local_addr()
        .expect("a bound listener has an address");
    let changed = ticket.replace(&deployment.entry(0).to_string(), &address.to_string());
    assert_ne!(changed, ticket);
    let body = r#"{"deposit":"stranger"}"#;
    let call = deployment.call(1, "/deposits", Some(&changed), body);
    let contacted = tokio::select! {
        _ = other_listener.accept() => true,
        _ = call => false,
    };
    assert!(
        !contacted,
        "the entry connected to an address that the caller chose"
    );
}
