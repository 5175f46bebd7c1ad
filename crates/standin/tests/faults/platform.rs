//! Faults of the platform, and operators that race.

use std::time::{Duration, Instant};

use bulrushhoist_cli::{CliError, apply_files, set_service_state};
use bulrushhoist_core::{DataCentreService, ObjectKey, Revision, ServiceState, SourceFile};
use bulrushhoist_standin::{FarmSettings, PlatformFaults, VmFault};

use crate::world::{TOKEN, WHOLE, World, files, json};

/// Time within which an accepted change is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_through_an_outage_of_the_platform_and_changes_wait() {
    let mut world = World::start(3, FarmSettings::default()).await;
    world.local.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < Duration::from_secs(6) {
        let body = format!(r#"{{"model":"bench","max_tokens":2,"messages":["{sent}"]}}"#);
        assert_eq!(
            world.complete(sent, &body).await.status(),
            200,
            "after {:?}",
            start.elapsed()
        );
        sent += 1;
    }
    // A ticket needs no platform; a key that cannot be claimed is not run.
    let ticket = world.ticket(0).await;
    let body = r#"{"deposit":"outage"}"#;
    assert_eq!(
        world
            .call(0, "/deposits", Some(&ticket), body)
            .await
            .status(),
        200
    );
    let url = format!("http://{}/v1/services/counter/deposits", world.entry(0));
    let keyed = world
        .client
        .post(url)
        .bearer_auth(TOKEN)
        .header("idempotency-key", "k");
    let keyed = json(keyed.body("{}").send().await.expect("the entry answers")).await;
    assert_eq!(keyed["reason"], "claim_failed", "{keyed}");
    assert_eq!(world.local.farm.executions(b"{}"), 0);
    // A daemon that starts now cannot register and takes nothing.
    let fresh = world.local.start_daemon(3).await.expect("it starts");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!fresh.is_ready());
    world.local.platform.set_faults(PlatformFaults::default());
    world.local.daemons.push(fresh);
    assert!(world.local.wait_until_serving(WHOLE).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_is_lost_is_settled_by_reading_back() {
    let world = World::start(2, FarmSettings::default()).await;
    let faults = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    world.local.platform.set_faults(faults);
    let west = "west".parse().expect("a sound name");
    let writes = world.local.platform.writes();
    set_service_state(&world.local.store, &west, ServiceState::Out)
        .await
        .expect("the write is settled");
    let key = ObjectKey::service();
    let listed = world.local.store.read::<DataCentreService>(&key);
    let stored = listed
        .await
        .expect("the platform answers")
        .expect("the state is stored");
    assert_eq!(
        stored.envelope.revision.get(),
        1,
        "the write was not repeated"
    );
    assert!(world.local.platform.writes() > writes);
}

/// Takes a data centre out and waits until no group there is in use.
async fn take_out_and_wait(world: &World) -> Duration {
    let east = "east".parse().expect("a sound name");
    let start = Instant::now();
    set_service_state(&world.local.store, &east, ServiceState::Out)
        .await
        .expect("it is stored");
    while start.elapsed() < IN_FORCE_WITHIN {
        if world
            .local
            .daemons
            .iter()
            .all(|d| d.is_out_of_service(&east))
        {
            return start.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not in force within {IN_FORCE_WITHIN:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_though_watches_have_gaps() {
    let world = World::start(3, FarmSettings::default()).await;
    let faults = PlatformFaults {
        watch_gap: true,
        ..PlatformFaults::default()
    };
    world.local.platform.set_faults(faults);
    take_out_and_wait(&world).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_though_the_platform_is_slow() {
    let world = World::start(3, FarmSettings::default()).await;
    let faults = PlatformFaults {
        slow_ms: 700,
        ..PlatformFaults::default()
    };
    world.local.platform.set_faults(faults);
    take_out_and_wait(&world).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_is_replaced_though_the_vm_list_lags() {
    let world = World::start(2, FarmSettings::default()).await;
    let faults = PlatformFaults {
        list_lag_ms: 30_000,
        ..PlatformFaults::default()
    };
    world.local.platform.set_faults(faults);
    let statuses = world.local.farm.statuses();
    let member = statuses.iter().find(|s| s.group.is_some() && s.rank == 3);
    let member = member.expect("a group of four has a rank 3").vm.clone();
    world.local.fault(&member, VmFault::Die);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(
        world.local.wait_until_serving(WHOLE).await,
        "the group is mended"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn of_operators_that_race_one_wins_each_generation() {
    let world = World::start(1, FarmSettings::default()).await;
    let variant = |share: u32| -> Vec<SourceFile> {
        let edit = |f: SourceFile| {
            let text = f.text.replace("share = 1", &format!("share = {share}"));
            SourceFile { text, ..f }
        };
        files().into_iter().map(edit).collect()
    };
    let base = Some(Revision::new(1));
    let mut racing = tokio::task::JoinSet::new();
    for share in 2..8 {
        let (store, files) = (world.local.store.clone(), variant(share));
        racing.spawn(async move { apply_files(&store, &files, base).await });
    }
    let mut won = Vec::new();
    while let Some(done) = racing.join_next().await {
        match done.expect("no operator panics") {
            Ok(applied) => won.push(applied.generation),
            Err(CliError::Conflict { detail }) => assert!(
                detail.contains("teams") || detail.contains("deployment"),
                "{detail}"
            ),
            Err(other) => panic!("{other}"),
        }
    }
    assert_eq!(won, [Revision::new(2)], "one wins");
}
