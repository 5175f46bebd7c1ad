//! Joins and leaves the register of daemons, and removes dead daemons from it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{
    DaemonPhase, JoinTracker, MemberId, ObjectKey, ProbeTarget, Register, Time,
};
use bulrushhoist_store::StoreError;
use slog::{info, warn};

use super::reports;
use crate::metrics::PlatformCall;
use crate::node::Node;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which requests that a daemon started earlier are taken to have ended.
///
/// A joining daemon waits at most this long for the statements of the others, and
/// the shares of a vanished process are released after it.
const REQUEST_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which daemons that have not made a statement are asked again.
const STATEMENT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two checks for dead and vanished daemons.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(5);

/// Registers this daemon and waits until the other daemons have freed this daemon's
/// shares of replicas' slots.
///
/// The others state by which revision of the register they divide replicas' limits,
/// and where they have more in flight than their share; see
/// `docs/decisions/0004-limits.md`. If one makes no statement, this daemon uses no
/// replica until [`REQUEST_DRAIN_TIMEOUT`] has passed, and forwards requests to the
/// others meanwhile. It therefore counts as joined after the freshness TTL even if
/// statements are missing.
pub(crate) async fn join(node: Arc<Node>) {
    register(&node).await;
    {
        let mut core = node.core();
        core.join_tracker = Some(JoinTracker::new(node.view().register_revision));
        node.refresh_join_state(&mut core);
    }
    let collect = tokio::time::timeout(REQUEST_DRAIN_TIMEOUT, collect_statements(&node));
    tokio::pin!(collect);
    let ready_timeout = node.settings.timing.freshness_ttl;
    let in_time = tokio::time::timeout(ready_timeout, &mut collect).await;
    node.set_joined();
    info!(node.log, "joined"; "member" => %node.id, "incarnation" => %node.incarnation);
    let collected = match in_time {
        Ok(collected) => collected,
        Err(_) => collect.await,
    };
    if collected.is_err() {
        warn!(
            node.log,
            "no share statement in time from some daemons; using all shares"
        );
        node.use_all_shares();
    }
    while set_phase(&node, DaemonPhase::Active).await.is_err() {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    // After this time the others' requests from before the join are taken to have
    // ended, so no daemon exceeds its share any longer.
    if collected.is_ok() {
        tokio::time::sleep(REQUEST_DRAIN_TIMEOUT).await;
        node.use_all_shares();
    }
}

/// Stores this daemon's registration, retrying for as long as the platform fails.
async fn register(node: &Node) {
    let record = node.record(DaemonPhase::Joining);
    while let Err(e) = update(node, |register| register.insert(record.clone())).await {
        warn!(node.log, "cannot register; retrying"; "cause" => %e);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Asks the other daemons until each has made a statement about its requests in
/// flight.
async fn collect_statements(node: &Arc<Node>) {
    loop {
        let missing = missing_statements(node);
        if missing.is_empty() {
            return;
        }
        for target in missing.into_iter().filter_map(|id| probe_target(node, id)) {
            tokio::spawn(reports::pull_reports(Arc::clone(node), target));
        }
        tokio::time::sleep(STATEMENT_POLL_INTERVAL).await;
    }
}

/// Returns the daemons that have made no valid statement yet.
fn missing_statements(node: &Node) -> Vec<MemberId> {
    let view = node.view();
    let core = node.core();
    let Some(join_tracker) = &core.join_tracker else {
        return Vec::new();
    };
    join_tracker.missing(view.register.share_holders().filter(|id| *id != node.id))
}

/// Returns a registered daemon's peer address; a vanished daemon has none.
fn probe_target(node: &Node, member: MemberId) -> Option<ProbeTarget> {
    let address = node.view().register.get(member)?.peer_address;
    Some(ProbeTarget { member, address })
}

/// Writes this daemon's phase to the register.
pub(crate) async fn set_phase(node: &Node, phase: DaemonPhase) -> Result<(), StoreError> {
    update(node, |register| register.insert(node.record(phase))).await
}

/// Removes this daemon from the register.
pub(crate) async fn leave(node: &Node) -> Result<(), StoreError> {
    update(node, |register| {
        register.remove(node.id);
    })
    .await
}

/// Changes the register with a conditional update and puts the result in force here.
async fn update(node: &Node, mut change: impl FnMut(&mut Register)) -> Result<(), StoreError> {
    let key = ObjectKey::register();
    node.metrics.on_platform_call(PlatformCall::Write);
    let stored = node
        .store
        .update::<Register>(&key, |found| {
            let mut register = found.cloned().unwrap_or_default();
            change(&mut register);
            (found != Some(&register)).then_some(register)
        })
        .await?;
    if let Some(stored) = stored
        && let Ok(json) = serde_json::to_string(&stored.envelope)
    {
        node.adopt_objects([(&key, json.as_str())]);
    }
    Ok(())
}

/// Removes daemons that have been dead for the removal timeout, and releases the
/// shares of vanished ones: processes that were replaced at their address.
///
/// Daemons are removed one at a time, so that the majorities before and after each
/// removal share a member.
pub(super) async fn run(node: Arc<Node>) {
    let mut vanished_since = HashMap::new();
    loop {
        tokio::time::sleep(REMOVAL_INTERVAL).await;
        remove_dead(&node).await;
        release_vanished_shares(&node, &mut vanished_since).await;
    }
}

async fn remove_dead(node: &Node) {
    let dead = {
        let core = node.core();
        core.membership
            .dead_for(node.now(), node.settings.timing.removal_timeout)
    };
    let Some(member) = dead.first().copied() else {
        return;
    };
    if !is_remover(node, member) {
        return;
    }
    let removed = update(node, |register| {
        register.remove(member);
    });
    if removed.await.is_ok() {
        info!(node.log, "removed a dead daemon from the register"; "member" => %member);
    }
}

/// Releases the shares of vanished processes.
///
/// Requests may outlive the process that sent them, so a share is released only
/// once this daemon has seen the process as vanished for [`REQUEST_DRAIN_TIMEOUT`].
async fn release_vanished_shares(node: &Node, vanished_since: &mut HashMap<MemberId, Time>) {
    let (now, vanished) = (node.now(), node.view().register.vanished.clone());
    vanished_since.retain(|id, _| vanished.contains(id));
    for id in vanished {
        let first = *vanished_since.entry(id).or_insert(now);
        if now.since(first) < REQUEST_DRAIN_TIMEOUT || !is_remover(node, id) {
            continue;
        }
        let freed = update(node, |register| register.release_vanished(id));
        if freed.await.is_ok() {
            info!(node.log, "released the shares of a vanished daemon"; "member" => %id);
        }
    }
}

/// Returns whether this daemon is the one that removes `member`.
///
/// More than one may conclude so from different revisions of the register; that is
/// harmless, because conditional updates order their writes.
fn is_remover(node: &Node, member: MemberId) -> bool {
    let view = node.view();
    let ranked = view.register.ranked(&member.to_string());
    ranked.into_iter().find(|id| *id != member) == Some(node.id)
}
