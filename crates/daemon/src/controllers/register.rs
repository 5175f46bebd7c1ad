//! Joins and leaves the register, and removes daemons that vanished.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{DaemonPhase, MemberId, ObjectKey, Register, Standing};
use bulrushhoist_platform::StoreError;
use slog::{info, warn};

use crate::metrics::PlatformCall;
use crate::node::Node;

/// Wait after a failed write.
const PAUSE: Duration = Duration::from_millis(500);
/// Time after joining for which a daemon counts as a newcomer: others may
/// still have requests in flight beyond their new share.
const NEWCOMER: Duration = Duration::from_secs(30);
/// Time between two looks for daemons that vanished.
const REMOVAL_PERIOD: Duration = Duration::from_secs(5);

/// Registers this daemon and waits until every other knows it.
///
/// Any daemon that takes new work has proof that it knew the register at most
/// the freshness bound ago. Once that time has passed since the registration
/// was stored, all of them divide replicas' limits by the new count.
pub(crate) async fn join(node: Arc<Node>) {
    let record = node.record(DaemonPhase::Joining);
    let mut alone = false;
    loop {
        let joined = update(&node, |register| {
            alone = register.daemons.is_empty();
            register.insert(record.clone());
        });
        match joined.await {
            Ok(()) => break,
            Err(e) => {
                warn!(node.log, "cannot register yet"; "cause" => %e);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    if !alone {
        tokio::time::sleep(node.settings.timing.freshness).await;
    }
    let standing = if alone {
        Standing::Settled
    } else {
        Standing::Newcomer(node.now())
    };
    node.core().dispatcher.router_mut().set_standing(standing);
    node.set_joined();
    info!(node.log, "joined"; "member" => %node.id, "incarnation" => %node.incarnation);
    if !alone {
        // A newcomer may use a replica only after a report from now on.
        tokio::time::sleep(node.settings.timing.evidence).await;
    }
    while set_phase(&node, DaemonPhase::Active).await.is_err() {
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(NEWCOMER).await;
    node.core()
        .dispatcher
        .router_mut()
        .set_standing(Standing::Settled);
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
        && let Ok(json) = serde_json::to_string(&stored.stamped)
    {
        node.adopt([(&key, json.as_str())]);
    }
    Ok(())
}

/// Removes daemons that have been dead for long, one at a time, so that
/// majorities before and after each removal share a member.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(REMOVAL_PERIOD).await;
        let dead = {
            let core = node.core();
            core.membership
                .dead_for(node.now(), node.settings.timing.removal)
        };
        let Some(member) = dead.first().copied() else {
            continue;
        };
        if !is_remover(&node, member) {
            continue;
        }
        let removed = update(&node, |register| {
            register.remove(member);
        });
        if removed.await.is_ok() {
            info!(node.log, "removed a daemon that vanished"; "member" => %member);
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
