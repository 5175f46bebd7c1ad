//! Which entry to use, and tickets for it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushhoist_core::{
    DaemonPhase, MemberId, MemberState, RegisteredDaemon, ServiceState, WorkloadName,
};
use salvo::http::header::{CACHE_CONTROL, HeaderValue};
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response};
use serde::Serialize;
use serde_json::json;

use crate::node::{Core, Node, replica_key};
use crate::tickets::BLOCK_MAX;
use crate::view::View;

/// Weight of an entry in the caller's own data centre.
const NEAR_WEIGHT: u32 = 4;
/// Weight of an entry in another data centre.
const FAR_WEIGHT: u32 = 1;

/// One entry that a caller may use.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Entry {
    address: SocketAddr,
    data_centre: String,
    weight: u32,
}

/// `GET /v1/entries`: the addresses to use, best first.
pub(super) struct Entries {
    node: Arc<Node>,
}

impl Entries {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    /// Returns the daemons that callers may use for a model, each with its
    /// places at the model's replicas. While replicas are cold there may be
    /// fewer places than daemons; who has none is left out.
    fn usable(&self, model: &str) -> Vec<(RegisteredDaemon, u32)> {
        let view = self.node.view();
        let core = self.node.core();
        let places = places(&self.node, &view, &core, model);
        let is_usable = |d: &&RegisteredDaemon| {
            let leaving =
                d.phase != DaemonPhase::Active || (d.id == self.node.id && self.node.is_stopping());
            let in_service = view.service.state(&d.data_centre) == ServiceState::In;
            let alive = matches!(core.membership.state(d.id), MemberState::Alive);
            !leaving && in_service && alive
        };
        let usable: Vec<(RegisteredDaemon, u32)> = view
            .register
            .daemons
            .iter()
            .filter(is_usable)
            .map(|d| (d.clone(), places.get(&d.id).copied().unwrap_or(0)))
            .collect();
        if usable.iter().all(|(_, places)| *places == 0) {
            return usable.into_iter().map(|(d, _)| (d, 1)).collect();
        }
        usable
            .into_iter()
            .filter(|(_, places)| *places > 0)
            .collect()
    }
}

/// Chooses another entry that has places for a model, each with a chance in
/// proportion to its places, so that no entry gets all that is passed on.
pub(super) fn choose_entry(node: &Node, workload: &WorkloadName) -> Option<SocketAddr> {
    let view = node.view();
    let core = node.core();
    let places = places(node, &view, &core, workload.as_str());
    let others = view.register.daemons.iter().filter(|d| {
        let active = d.phase == DaemonPhase::Active && d.id != node.id;
        active && core.membership.state(d.id) == MemberState::Alive
    });
    let placed = others.map(|d| (d.caller, places.get(&d.id).copied().unwrap_or(0)));
    let placed: Vec<(SocketAddr, u32)> = placed.filter(|(_, places)| *places > 0).collect();
    let total: u32 = placed.iter().map(|(_, places)| places).sum();
    let mut drawn = rand::random_range(0..total.max(1));
    for (caller, places) in placed {
        if drawn < places {
            return Some(caller);
        }
        drawn -= places;
    }
    None
}

/// Returns the places of each daemon at the replicas of a model that serve.
fn places(node: &Node, view: &View, core: &Core, model: &str) -> HashMap<MemberId, u32> {
    let mut places = HashMap::new();
    let Some(workload) = view.deployment.workload(model) else {
        return places;
    };
    let now = node.now();
    for (allocation, group) in view.groups().filter(|(_, g)| g.workload == workload.name) {
        let key = replica_key(allocation, group);
        let out = view.service.state(&allocation.data_centre) == ServiceState::Out;
        if out
            || core
                .evidence
                .serving_until_shared(now, &key, group)
                .is_err()
        {
            continue;
        }
        let total = core
            .dispatcher
            .router()
            .total_limit(&key)
            .unwrap_or(workload.cold_limit);
        for (member, share) in core.dispatcher.shares(&view.register, &key, total) {
            *places.entry(member).or_default() += share;
        }
    }
    places
}

#[salvo::async_trait]
impl Handler for Entries {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let near: Option<String> = req.query("data_centre");
        let model: String = req.query("model").unwrap_or_default();
        let team: String = req.query("team").unwrap_or_default();
        let mut usable = self.usable(&model);
        // Different teams and models start at different entries.
        let subject = format!("{model}/{team}");
        usable.sort_by_cached_key(|(d, _)| {
            let far = near.as_deref() != Some(d.data_centre.as_str());
            let id = d.id.get().to_be_bytes();
            (
                far,
                bulrushhoist_core::stable_hash([subject.as_bytes(), &id[..]]),
            )
        });
        let entries: Vec<Entry> = usable
            .into_iter()
            .map(|(d, places)| Entry {
                address: d.caller,
                weight: places
                    * match near.as_deref() == Some(d.data_centre.as_str()) {
                        true => NEAR_WEIGHT,
                        false => FAR_WEIGHT,
                    },
                data_centre: d.data_centre.to_string(),
            })
            .collect();
        let max_age = self.node.settings.timing.max_age.as_secs();
        if let Ok(value) = HeaderValue::from_str(&format!("max-age={max_age}")) {
            res.headers_mut().insert(CACHE_CONTROL, value);
        }
        res.render(Json(json!({ "max_age_s": max_age, "entries": entries })));
    }
}

/// `POST /v1/tickets`: a block of tickets of this entry.
pub(super) struct Tickets {
    node: Arc<Node>,
}

impl Tickets {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

#[salvo::async_trait]
impl Handler for Tickets {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let count = req.query("count").unwrap_or(1_usize).clamp(1, BLOCK_MAX);
        res.render(Json(json!({ "tickets": self.node.tickets.issue(count) })));
    }
}
