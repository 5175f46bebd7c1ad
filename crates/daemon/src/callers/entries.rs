//! Which entry to use, and tickets for it.

use std::sync::Arc;

use bulrushhoist_core::{DaemonPhase, MemberState, RegisteredDaemon, ServiceState};
use salvo::http::header::{CACHE_CONTROL, HeaderValue};
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response};
use serde::Serialize;
use serde_json::json;

use crate::node::Node;
use crate::tickets::BLOCK_MAX;

/// Weight of an entry in the caller's own data centre.
const NEAR_WEIGHT: u32 = 4;
/// Weight of an entry in another data centre.
const FAR_WEIGHT: u32 = 1;

/// One entry that a caller may use.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Entry {
    address: std::net::SocketAddr,
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

    fn usable(&self) -> Vec<RegisteredDaemon> {
        let view = self.node.view();
        let core = self.node.core();
        let usable = |d: &&RegisteredDaemon| {
            let leaving =
                d.phase != DaemonPhase::Active || (d.id == self.node.id && self.node.is_stopping());
            let in_service = view.service.state(&d.data_centre) == ServiceState::In;
            let alive = matches!(core.membership.state(d.id), MemberState::Alive);
            !leaving && in_service && alive
        };
        view.register
            .daemons
            .iter()
            .filter(usable)
            .cloned()
            .collect()
    }
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
        let mut usable = self.usable();
        // Different teams and models start at different entries.
        let subject = format!("{model}/{team}");
        usable.sort_by_cached_key(|d| {
            let far = near.as_deref() != Some(d.data_centre.as_str());
            let id = d.id.get().to_be_bytes();
            (
                far,
                bulrushhoist_core::stable_hash([subject.as_bytes(), &id[..]]),
            )
        });
        let entries: Vec<Entry> = usable
            .into_iter()
            .map(|d| Entry {
                address: d.caller,
                weight: match near.as_deref() == Some(d.data_centre.as_str()) {
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
