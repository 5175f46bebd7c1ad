//! Tells callers which entries to use and issues tickets.

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
use crate::tickets::MAX_TICKETS_PER_CALL;
use crate::view::View;

/// Weight of an entry in the caller's data centre, per slot.
const SAME_DATA_CENTRE_WEIGHT: u32 = 4;
/// Weight of an entry in another data centre, per slot.
const OTHER_DATA_CENTRE_WEIGHT: u32 = 1;

/// One entry that a caller may use.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Entry {
    address: SocketAddr,
    data_centre: String,
    weight: u32,
}

/// `GET /v1/entries`: the addresses to use, those in the caller's data centre first.
pub(super) struct Entries {
    node: Arc<Node>,
}

impl Entries {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    /// Returns the daemons that callers may use for a model, each with its number
    /// of slots at the model's replicas.
    ///
    /// While replicas are cold there may be fewer slots than daemons; a daemon
    /// without slots is left out. If no daemon has any, all are returned with one.
    fn usable_entries(&self, model: &str) -> Vec<(RegisteredDaemon, u32)> {
        let view = self.node.view();
        let core = self.node.core();
        let slots = slots_by_daemon(&self.node, &view, &core, model);
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
            .map(|d| (d.clone(), slots.get(&d.id).copied().unwrap_or(0)))
            .collect();
        if usable.iter().all(|(_, slots)| *slots == 0) {
            return usable.into_iter().map(|(d, _)| (d, 1)).collect();
        }
        usable.into_iter().filter(|(_, slots)| *slots > 0).collect()
    }
}

/// Chooses another entry that has slots for a workload, at random.
///
/// Each entry's probability is proportional to its slots, so that forwarded
/// requests do not all go to one entry.
pub(super) fn choose_entry(node: &Node, workload: &WorkloadName) -> Option<SocketAddr> {
    let view = node.view();
    let core = node.core();
    let slots = slots_by_daemon(node, &view, &core, workload.as_str());
    let others = view.register.daemons.iter().filter(|d| {
        let active = d.phase == DaemonPhase::Active && d.id != node.id;
        active && core.membership.state(d.id) == MemberState::Alive
    });
    let slots_by_entry = others.map(|d| (d.caller_address, slots.get(&d.id).copied().unwrap_or(0)));
    let with_slots: Vec<(SocketAddr, u32)> =
        slots_by_entry.filter(|(_, slots)| *slots > 0).collect();
    let total_slots: u32 = with_slots.iter().map(|(_, slots)| slots).sum();
    let mut drawn = rand::random_range(0..total_slots.max(1));
    for (caller, slots) in with_slots {
        if drawn < slots {
            return Some(caller);
        }
        drawn -= slots;
    }
    None
}

/// Counts each daemon's slots at the serving replicas of a model.
fn slots_by_daemon(node: &Node, view: &View, core: &Core, model: &str) -> HashMap<MemberId, u32> {
    let mut slots = HashMap::new();
    let Some(workload) = view.deployment.workload(model) else {
        return slots;
    };
    let now = node.now();
    for (allocation, group) in view.groups().filter(|(_, g)| g.workload == workload.name) {
        let key = replica_key(allocation, group);
        let out = view.service.state(&allocation.data_centre) == ServiceState::Out;
        if out
            || core
                .evidence
                .serving_until_with_relayed(now, &key, group)
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
            *slots.entry(member).or_default() += share;
        }
    }
    slots
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
        let preferred: Option<String> = req.query("data_centre");
        let model: String = req.query("model").unwrap_or_default();
        let team: String = req.query("team").unwrap_or_default();
        let mut usable = self.usable_entries(&model);
        // Sorting by a hash of model, team and entry gives each model and team its own
        // order, which spreads them over the entries.
        let subject = format!("{model}/{team}");
        usable.sort_by_cached_key(|(d, _)| {
            let elsewhere = preferred.as_deref() != Some(d.data_centre.as_str());
            let id = d.id.get().to_be_bytes();
            (
                elsewhere,
                bulrushhoist_core::stable_hash([subject.as_bytes(), &id[..]]),
            )
        });
        let entries: Vec<Entry> = usable
            .into_iter()
            .map(|(d, slots)| Entry {
                address: d.caller_address,
                weight: slots
                    * match preferred.as_deref() == Some(d.data_centre.as_str()) {
                        true => SAME_DATA_CENTRE_WEIGHT,
                        false => OTHER_DATA_CENTRE_WEIGHT,
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

/// `POST /v1/tickets`: issues a block of tickets that this entry owns.
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
        let count = req
            .query("count")
            .unwrap_or(1_usize)
            .clamp(1, MAX_TICKETS_PER_CALL);
        res.render(Json(json!({ "tickets": self.node.tickets.issue(count) })));
    }
}
