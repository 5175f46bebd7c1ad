//! Faults of the platform, and concurrent operators.

use std::time::{Duration, Instant};

use bulrushhoist_cli::{CliError, apply_files, set_service_state};
use bulrushhoist_core::{DataCentreService, ObjectKey, Revision, ServiceState, SourceFile};
use bulrushhoist_standin::{EndpointSettings, PlatformFaults, VmFault};

use crate::deployment::{SERVING_TIMEOUT, TOKEN, TestDeployment, files, json};

/// Time within which every daemon must have an accepted change in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Guards against a platform outage that stops requests which need no platform, and
/// against a call that runs although its key could not be claimed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_during_a_platform_outage_and_claims_are_refused() {
    let mut deployment = TestDeployment::start(3, EndpointSettings::default()).await;
    deployment.local.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < Duration::from_secs(6) {
        let body = format!(r#"{{"model":"bench","max_tokens":2,"messages":["{sent}"]}}"#);
        assert_eq!(
            deployment.complete(sent, &body).await.status(),
            200,
            "after {:?}",
            start.elapsed()
        );
        sent += 1;
    }
    // A ticket needs no platform. A call whose key cannot be claimed is not run.
    let ticket = deployment.ticket(0).await;
    let body = r#"{"deposit":"outage"}"#;
    assert_eq!(
        deployment
            .call(0, "/deposits", Some(&ticket), body)
            .await
            .status(),
        200
    );
    let url = format!(
        "http://{}/v1/services/counter/deposits",
        deployment.entry(0)
    );
    let keyed = deployment
        .client
        .post(url)
        .bearer_auth(TOKEN)
        .header("idempotency-key", "k");
    let keyed = json(keyed.body("{}").send().await.expect("the entry answers")).await;
    assert_eq!(keyed["reason"], "claim_failed", "{keyed}");
    assert_eq!(deployment.local.endpoints.executions(b"{}"), 0);
    // A daemon that starts now cannot register and takes no requests.
    let new_daemon = deployment
        .local
        .start_daemon(3)
        .await
        .expect("the daemon starts");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!new_daemon.is_ready());
    deployment
        .local
        .platform
        .set_faults(PlatformFaults::default());
    deployment.local.daemons.push(new_daemon);
    assert!(deployment.local.wait_until_serving(SERVING_TIMEOUT).await);
}

/// Guards against a second write, or a reported failure, when a write took effect
/// but its answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_is_lost_is_confirmed_by_a_read() {
    let deployment = TestDeployment::start(2, EndpointSettings::default()).await;
    let faults = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    deployment.local.platform.set_faults(faults);
    let west = "west".parse().expect("the name is valid");
    let writes = deployment.local.platform.writes();
    set_service_state(&deployment.local.store, &west, ServiceState::Out)
        .await
        .expect("the write is confirmed");
    let key = ObjectKey::service();
    let listed = deployment.local.store.read::<DataCentreService>(&key);
    let stored = listed
        .await
        .expect("the platform answers")
        .expect("the state is stored");
    assert_eq!(
        stored.envelope.revision.get(),
        1,
        "the write was not repeated"
    );
    assert!(deployment.local.platform.writes() > writes);
}

/// Takes a data centre out of service and returns the time until no daemon uses
/// a group there.
async fn take_out_of_service(deployment: &TestDeployment) -> Duration {
    let east = "east".parse().expect("the name is valid");
    let start = Instant::now();
    set_service_state(&deployment.local.store, &east, ServiceState::Out)
        .await
        .expect("the state is stored");
    while start.elapsed() < IN_FORCE_TIMEOUT {
        if deployment
            .local
            .daemons
            .iter()
            .all(|d| d.is_out_of_service(&east))
        {
            return start.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the change is not in force within {IN_FORCE_TIMEOUT:?}");
}

/// Guards against a daemon that misses changes because the platform rejects its watch.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_though_watches_fail() {
    let deployment = TestDeployment::start(3, EndpointSettings::default()).await;
    let faults = PlatformFaults {
        watch_gap: true,
        ..PlatformFaults::default()
    };
    deployment.local.platform.set_faults(faults);
    take_out_of_service(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_though_the_platform_is_slow() {
    let deployment = TestDeployment::start(3, EndpointSettings::default()).await;
    let faults = PlatformFaults {
        slow_ms: 700,
        ..PlatformFaults::default()
    };
    deployment.local.platform.set_faults(faults);
    take_out_of_service(&deployment).await;
}

/// Guards against a planner that trusts the VM list, which may name a dead VM
/// long after its death, more than the evidence of probes.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_is_replaced_in_time_though_the_vm_list_lags() {
    let deployment = TestDeployment::start(2, EndpointSettings::default()).await;
    let faults = PlatformFaults {
        list_lag_ms: 30_000,
        ..PlatformFaults::default()
    };
    deployment.local.platform.set_faults(faults);
    let statuses = deployment.local.endpoints.statuses();
    let member = statuses.iter().find(|s| s.group.is_some() && s.rank == 3);
    let member = member.expect("a group of four has a rank 3").vm.clone();
    deployment.local.set_fault(&member, VmFault::Die);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(
        deployment.local.wait_until_serving(SERVING_TIMEOUT).await,
        "the group does not serve again in time"
    );
}

/// Guards against lost updates when several operators apply changes to the same
/// generation.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_applies_succeeds() {
    let deployment = TestDeployment::start(1, EndpointSettings::default()).await;
    let edited_files = |share: u32| -> Vec<SourceFile> {
        let edit = |f: SourceFile| {
            let text = f.text.replace("share = 1", &format!("share = {share}"));
            SourceFile { text, ..f }
        };
        files().into_iter().map(edit).collect()
    };
    let base = Some(Revision::new(1));
    let mut racing = tokio::task::JoinSet::new();
    for share in 2..8 {
        let (store, files) = (deployment.local.store.clone(), edited_files(share));
        racing.spawn(async move { apply_files(&store, &files, base).await });
    }
    let mut accepted = Vec::new();
    while let Some(done) = racing.join_next().await {
        match done.expect("no operator panics") {
            Ok(applied) => accepted.push(applied.generation),
            Err(CliError::Conflict { detail }) => assert!(
                detail.contains("teams") || detail.contains("deployment"),
                "{detail}"
            ),
            Err(other) => panic!("{other}"),
        }
    }
    assert_eq!(
        accepted,
        [Revision::new(2)],
        "not exactly one apply succeeded"
    );
}
