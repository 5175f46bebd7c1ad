//! Faults of endpoints, connections and data centres.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushhoist_cli::set_service_state;
use bulrushhoist_core::{ServiceState, VmName, VmPhase, VmStatus};
use bulrushhoist_standin::{FarmSettings, VmFault, expected_part};
use serde_json::Value;
use tokio::task::JoinSet;

use crate::world::{WHOLE, World, json};

/// Time after which a data centre that was taken out gets no new work.
const OUT_WITHIN: Duration = Duration::from_secs(3);

fn assert_whole(text: &str, body: &str, parts: u64) {
    assert!(text.ends_with("data: [DONE]\n\n"), "no proper end: {text}");
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

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_on_a_silent_connection_is_resumed_whole() {
    let world = World::start(2, FarmSettings::default()).await;
    let body = r#"{"model":"bench","stream":true,"max_tokens":150,"messages":["silent"]}"#;
    let response = world.complete(0, body).await;
    let leader = world.busy_leader().await;
    let start = Instant::now();
    assert!(world.local.fault(&leader, VmFault::Silence));
    let text = response.text().await.expect("the stream ends");
    assert_whole(&text, body, 150);
    assert!(
        start.elapsed() < Duration::from_secs(8),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deposit_on_a_silent_connection_is_settled_and_runs_once() {
    let farm = FarmSettings {
        call: Duration::from_millis(800),
        ..FarmSettings::default()
    };
    let world = Arc::new(World::start(2, farm).await);
    let ticket = world.ticket(0).await;
    let (caller, held) = (Arc::clone(&world), ticket.clone());
    let body = r#"{"deposit":"silent-1"}"#;
    let answer = tokio::spawn(async move {
        caller
            .call(0, "/deposits", Some(&held), body)
            .await
            .status()
    });
    let leader = world.busy_leader().await;
    let start = Instant::now();
    world.local.fault(&leader, VmFault::Silence);
    assert_eq!(answer.await.expect("the caller gets an answer"), 200);
    assert!(
        start.elapsed() < Duration::from_secs(8),
        "{:?}",
        start.elapsed()
    );
    // A repeat gets the kept answer; nothing runs again.
    assert_eq!(
        world
            .call(1, "/deposits", Some(&ticket), body)
            .await
            .status(),
        200
    );
    assert_eq!(world.local.farm.executions(body.as_bytes()), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_sent_again_and_again_costs_two_endpoints_at_most() {
    let world = World::start(3, FarmSettings::default()).await;
    let epochs = |w: &World| {
        w.local
            .farm
            .statuses()
            .iter()
            .map(|s| s.epoch - 1)
            .sum::<u64>()
    };
    let body = r#"{"model":"bench","max_tokens":4,"messages":["poison"]}"#;
    let mut last = Value::Null;
    for at in 0..9 {
        let response = world.complete(at, body).await;
        assert!(!response.status().is_success());
        last = json(response).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(last["reason"], "quarantined", "{last}");
    assert!(
        epochs(&world) <= 2,
        "{} endpoints were lost",
        epochs(&world)
    );
    assert!(
        world.local.wait_until_serving(WHOLE).await,
        "the groups recover"
    );
    let innocent = r#"{"model":"bench","max_tokens":4,"messages":["fine"]}"#;
    assert_eq!(world.complete(0, innocent).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_with_a_dead_member_takes_no_work_and_is_mended_from_a_spare() {
    let world = World::start(2, FarmSettings::default()).await;
    let member = world
        .local
        .farm
        .statuses()
        .into_iter()
        .find(|s| s.phase == VmPhase::Ready && s.rank == 2)
        .expect("a group of four has a rank 2");
    let group_leader = world
        .local
        .farm
        .statuses()
        .into_iter()
        .find(|s| {
            s.rank == 0
                && s.group == member.group
                && same_data_centre(&s.vm, &member.vm)
                && s.workload == member.workload
        })
        .expect("the group has a leader");
    world.local.fault(&member.vm, VmFault::Die);
    let died = Instant::now();
    // Evidence counts for two seconds; after that nothing may start there.
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    let served = |w: &World| {
        let statuses = w.local.farm.statuses();
        statuses
            .into_iter()
            .find(|s| s.vm == group_leader.vm)
            .map(|s| s.served)
    };
    let before = served(&world);
    for at in 0..10 {
        let body = format!(r#"{{"model":"bench","max_tokens":2,"messages":["{at}"]}}"#);
        assert_eq!(
            world.complete(at, &body).await.status(),
            200,
            "the other group serves"
        );
    }
    if died.elapsed() < Duration::from_secs(4) {
        assert_eq!(
            served(&world),
            before,
            "the group without its member took work"
        );
    }
    assert!(
        world.local.wait_until_serving(WHOLE).await,
        "the group is mended"
    );
}

fn same_data_centre(a: &VmName, b: &VmName) -> bool {
    a.as_str().split('-').next() == b.as_str().split('-').next()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_taken_out_gets_no_new_work_and_no_request_fails() {
    let world = Arc::new(World::start(3, FarmSettings::default()).await);
    let east = "east".parse().expect("a sound name");
    let mut callers = JoinSet::new();
    let until = Instant::now() + Duration::from_secs(8);
    for caller in 0..4 {
        let world = Arc::clone(&world);
        callers.spawn(async move {
            let mut answered = 0;
            while Instant::now() < until {
                let body = format!(
                    r#"{{"model":"bench","max_tokens":20,"messages":["{caller}-{answered}"]}}"#
                );
                assert_eq!(world.complete(caller, &body).await.status(), 200);
                answered += 1;
            }
            answered
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    set_service_state(&world.local.store, &east, ServiceState::Out)
        .await
        .expect("the state is stored");
    tokio::time::sleep(OUT_WITHIN).await;
    let served = |w: &World| -> u64 {
        let statuses = w.local.farm.statuses();
        let inside = statuses
            .iter()
            .filter(|s| s.vm.as_str().starts_with("east"));
        inside.map(|s| s.served + u64::from(s.running)).sum()
    };
    let before = served(&world);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(
        served(&world) <= before,
        "new work started in the data centre that is out"
    );
    while let Some(result) = callers.join_next().await {
        assert!(result.expect("no request fails") > 0);
    }
    set_service_state(&world.local.store, &east, ServiceState::In)
        .await
        .expect("the state is stored");
    assert!(world.local.wait_until_serving(WHOLE).await);
}

/// Time after which an endpoint that is listed as leaving gets no new work.
const LEFT_WITHIN: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_work_while_its_replacement_loads() {
    let farm = FarmSettings {
        load: Duration::from_secs(8),
        ..FarmSettings::default()
    };
    let world = Arc::new(World::start(2, farm).await);
    let leader = world.bench_leader();
    let until = Instant::now() + Duration::from_secs(8);
    let mut callers = JoinSet::new();
    for caller in 0..4 {
        let world = Arc::clone(&world);
        callers.spawn(async move {
            let body = format!(r#"{{"model":"bench","max_tokens":8,"messages":["{caller}"]}}"#);
            while Instant::now() < until {
                let status = world.complete(caller, &body).await.status();
                assert_eq!(status, 200, "a request was refused");
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(world.status(&leader).served > 0, "the endpoint is used");
    world.local.fault(&leader, VmFault::Leave);
    tokio::time::sleep(LEFT_WITHIN).await;
    let taken = |status: &VmStatus| status.served + u64::from(status.running);
    let before = taken(&world.status(&leader));
    while let Some(done) = callers.join_next().await {
        done.expect("no request fails");
    }
    let after = taken(&world.status(&leader));
    assert!(after <= before, "{} new requests", after - before);
}

/// Time for which callers go on while one endpoint is slow.
const SLOW_FOR: Duration = Duration::from_secs(12);
/// Time after which an endpoint that is fast again has its share of requests.
const FAST_AGAIN_WITHIN: Duration = Duration::from_secs(12);
/// Share of the answers that may take longer than the target.
const LATE_SHARE: f64 = 0.05;

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_with_slow_tokens_that_answers_probes_makes_few_answers_late() {
    let world = Arc::new(World::start(2, FarmSettings::default()).await);
    let leader = world.bench_leader();
    // The replicas are warm before one turns slow.
    let warm = call_for(&world, Duration::from_secs(4)).await;
    assert!(warm.len() > 100, "{} answers", warm.len());
    world.local.fault(&leader, VmFault::SlowTokens);
    let times = call_for(&world, SLOW_FOR).await;
    // A sound endpoint takes 40 ms to the first of 16 parts and 10 ms between them.
    let target = Duration::from_millis(1_300);
    let late = times.iter().filter(|t| **t > target).count();
    let most = (LATE_SHARE * times.len() as f64) as usize;
    assert!(late <= most, "{late} of {} were late", times.len());
    world.local.fault(&leader, VmFault::Return);
    tokio::time::sleep(FAST_AGAIN_WITHIN).await;
    let before = world.status(&leader).served;
    let all = call_for(&world, Duration::from_secs(4)).await.len() as u64;
    let there = world.status(&leader).served - before;
    assert!(there > all / 4, "{there} of {all} at the endpoint");
}

/// Lets eight callers ask one after another; returns what each answer took.
async fn call_for(world: &Arc<World>, span: Duration) -> Vec<Duration> {
    let until = Instant::now() + span;
    let mut callers = JoinSet::new();
    for caller in 0..8 {
        let world = Arc::clone(world);
        callers.spawn(async move {
            let mut times = Vec::new();
            while Instant::now() < until {
                let start = Instant::now();
                let number = times.len();
                let body = format!(r#"{{"model":"bench","messages":["{caller}-{number}"]}}"#);
                let response = world.complete(caller, &body).await;
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

/// Time within which every entry knows that an endpoint turned cold: two
/// periods of probes, one by the prober and one by those who ask it, and the
/// longest run of the requests from before.
const COLD_KNOWN_WITHIN: Duration = Duration::from_millis(2_600);

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_turns_cold_under_load_is_not_run_over() {
    // Cold, the endpoint carries 4 requests at a time. Until it is known to be
    // cold it may have up to as many as there are callers, which it survives.
    let callers = 16;
    let farm = FarmSettings {
        fall_over: 4,
        ..FarmSettings::default()
    };
    let world = Arc::new(World::start(2, farm).await);
    let leader = world.bench_leader();
    let until = Instant::now() + Duration::from_secs(9);
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let world = Arc::clone(&world);
        tasks.spawn(async move {
            let mut sent = 0;
            while Instant::now() < until {
                let body = format!(
                    r#"{{"model":"bench","max_tokens":40,"messages":["{caller}-{sent}"]}}"#
                );
                world.complete(caller, &body).await;
                sent += 1;
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    world.local.fault(&leader, VmFault::TurnCold);
    tokio::time::sleep(COLD_KNOWN_WITHIN).await;
    while Instant::now() < until {
        let status = world.status(&leader);
        let most = farm.capacity(status.served);
        assert!(status.running <= most, "{} run, {most} may", status.running);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    while let Some(done) = tasks.join_next().await {
        done.expect("no caller fails");
    }
    let status = world.status(&leader);
    assert_eq!(status.epoch, 1, "the endpoint fell over");
    assert!(status.served > 0, "the cold endpoint is used");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_with_a_changed_owner_does_not_lead_an_entry_elsewhere() {
    let world = World::start(2, FarmSettings::default()).await;
    let ticket = world.ticket(0).await;
    let stranger = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = stranger
        .local_addr()
        .expect("a bound listener has an address");
    let changed = ticket.replace(&world.entry(0).to_string(), &address.to_string());
    assert_ne!(changed, ticket);
    let body = r#"{"deposit":"stranger"}"#;
    let call = world.call(1, "/deposits", Some(&changed), body);
    let led_astray = tokio::select! {
        _ = stranger.accept() => true,
        _ = call => false,
    };
    assert!(
        !led_astray,
        "the entry contacted an address on a caller's word"
    );
}
