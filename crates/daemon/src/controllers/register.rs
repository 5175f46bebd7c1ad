//! Joins and leaves the register, and removes daemons that vanished.

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

/// Wait after a failed write.
const PAUSE: Duration = Duration::from_millis(500);
/// Time after joining for which a daemon waits for the statements of others.
/// After it their requests from before have ended.
const SETTLE: Duration = Duration::from_secs(30);
/// Time between two questions to daemons that have not made a statement.
const ASK_PERIOD: Duration = Duration::from_millis(100);
/// Time between two looks for daemons that vanished.
const REMOVAL_PERIOD: Duration = Duration::from_secs(5);

/// Registers this daemon and waits until every other makes room for it.
///
/// The others state by which register they divide replicas' limits, and where
/// they have more in flight than their share; see `docs/decisions/0004-limits.md`.
/// If one stays silent, this daemon uses no replica until that one's requests
/// from before must have ended, but passes requests on to the others.
pub(crate) async fn join(node: Arc<Node>) {
    register(&node).await;
    {
        let mut core = node.core();
        core.newcomer = Some(JoinTracker::new(node.view().shares_by));
        node.refresh_standing(&mut core);
    }
    let hear = tokio::time::timeout(SETTLE, hear_others(&node));
    tokio::pin!(hear);
    let patience = node.settings.timing.freshness_ttl;
    let soon = tokio::time::timeout(patience, &mut hear).await;
    node.set_joined();
    info!(node.log, "joined"; "member" => %node.id, "incarnation" => %node.incarnation);
    let heard = match soon {
        Ok(heard) => heard,
        Err(_) => hear.await,
    };
    if heard.is_err() {
        warn!(
            node.log,
            "some daemons have not stated what they have in flight"
        );
        node.settle();
    }
    while set_phase(&node, DaemonPhase::Active).await.is_err() {
        tokio::time::sleep(PAUSE).await;
    }
    if heard.is_ok() {
        tokio::time::sleep(SETTLE).await;
        node.settle();
    }
}

/// Stores this daemon's registration, however long the platform is away.
async fn register(node: &Node) {
    let record = node.record(DaemonPhase::Joining);
    while let Err(e) = update(node, |register| register.insert(record.clone())).await {
        warn!(node.log, "cannot register yet"; "cause" => %e);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Asks the other daemons until each has stated what it has in flight.
async fn hear_others(node: &Arc<Node>) {
    loop {
        let unheard = unheard(node);
        if unheard.is_empty() {
            return;
        }
        for target in unheard.into_iter().filter_map(|id| peer(node, id)) {
            tokio::spawn(reports::pull(Arc::clone(node), target));
        }
        tokio::time::sleep(ASK_PERIOD).await;
    }
}

fn unheard(node: &Node) -> Vec<MemberId> {
    let view = node.view();
    let core = node.core();
    let Some(newcomer) = &core.newcomer else {
        return Vec::new();
    };
    newcomer.missing(view.register.sharers().filter(|id| *id != node.id))
}

/// Returns a daemon's address; one that vanished has none.
fn peer(node: &Node, member: MemberId) -> Option<ProbeTarget> {
    let address = node.view().register.get(member)?.peer;
    Some(ProbeTarget { member, address })
}

/// Changes this daemon's phase in the register.
pub(crate) async fn set_phase(node: &Node, phase: DaemonPhase) -> Result<(), StoreError> {
    update(node, |register| register.insert(node.record(phase))).await
}

/// Leaves the register.
pub(crate) async fn leave(node: &Node) -> Result<(), StoreError> {
    update(node, |register| {
        register.remove(node.id);
    })
    .await
}

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
        node.adopt([(&key, json.as_str())]);
    }
    Ok(())
}

/// Removes daemons that have been dead for long, one at a time, so that
/// majorities before and after each removal share a member; and frees the
/// shares of those that were replaced at their address.
pub(super) async fn run(node: Arc<Node>) {
    let mut seen = HashMap::new();
    loop {
        tokio::time::sleep(REMOVAL_PERIOD).await;
        remove_dead(&node).await;
        forget_vanished(&node, &mut seen).await;
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
        info!(node.log, "removed a daemon that vanished"; "member" => %member);
    }
}

/// Frees the shares of vanished processes that this daemon has seen in the
/// register for as long as requests may outlive them.
async fn forget_vanished(node: &Node, seen: &mut HashMap<MemberId, Time>) {
    let (now, vanished) = (node.now(), node.view().register.vanished.clone());
    seen.retain(|id, _| vanished.contains(id));
    for id in vanished {
        let first = *seen.entry(id).or_insert(now);
        if now.since(first) < SETTLE || !is_remover(node, id) {
            continue;
        }
        let freed = update(node, |register| register.forget_vanished(id));
        if freed.await.is_ok() {
            info!(node.log, "freed the shares of a daemon that vanished"; "member" => %id);
        }
    }
}

/// Whether this daemon is the one to remove `member`. Several that think so
/// do no harm, as the register's conditional update orders them.
fn is_remover(node: &Node, member: MemberId) -> bool {
    let view = node.view();
    let ranked = view.register.ranked(&member.to_string());
    ranked.into_iter().find(|id| *id != member) == Some(node.id)
}
