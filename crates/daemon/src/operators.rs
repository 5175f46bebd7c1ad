//! The operators' interface: health, metrics, status and explanations.

use std::sync::Arc;

use bulrushhoist_core::{RequestId, ServiceState};
use salvo::Router;
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response};
use serde_json::{Value, json};
use subtle::ConstantTimeEq as _;

use crate::node::{Node, replica_key};

/// Content type of Prometheus' text form.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

#[derive(Clone, Copy)]
enum Call {
    Health,
    Ready,
    Metrics,
    Status,
    Explain,
}

struct Api {
    node: Arc<Node>,
    call: Call,
}

/// Accepts only operators that know the token.
struct CheckToken {
    node: Arc<Node>,
}

/// Builds the operators' interface.
pub(crate) fn router(node: &Arc<Node>) -> Router {
    let api = |call| Api {
        node: Arc::clone(node),
        call,
    };
    let guarded = Router::new()
        .hoop(CheckToken {
            node: Arc::clone(node),
        })
        .push(Router::with_path("metrics").get(api(Call::Metrics)))
        .push(Router::with_path("v1/status").get(api(Call::Status)))
        .push(Router::with_path("v1/requests/{id}").get(api(Call::Explain)));
    Router::new()
        .push(Router::with_path("healthz").get(api(Call::Health)))
        .push(Router::with_path("readyz").get(api(Call::Ready)))
        .push(guarded)
}

#[salvo::async_trait]
impl Handler for CheckToken {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let Some(token) = &self.node.settings.security.operator_token else {
            return;
        };
        let header = req
            .headers()
            .get("authorization")
            .and_then(|v| v.to_str().ok());
        let shown = header
            .and_then(|h| h.strip_prefix("Bearer "))
            .unwrap_or_default();
        if !bool::from(shown.as_bytes().ct_eq(token.as_bytes())) {
            res.status_code(StatusCode::UNAUTHORIZED);
            ctrl.skip_rest();
        }
    }
}

#[salvo::async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.call {
            Call::Health => res.render("ok\n"),
            Call::Ready => {
                if !self.node.is_ready() {
                    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
            Call::Metrics => match self.node.metrics.export() {
                Ok(text) => {
                    res.headers_mut()
                        .insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
                    res.body(text);
                }
                Err(_) => {
                    res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
                }
            },
            Call::Status => res.render(Json(status(&self.node))),
            Call::Explain => {
                let id = req
                    .param::<String>("id")
                    .and_then(|t| t.parse::<RequestId>().ok());
                match id.and_then(|id| self.node.traces.steps(id)) {
                    Some(steps) => res.render(Json(json!({ "steps": steps }))),
                    None => {
                        res.status_code(StatusCode::NOT_FOUND);
                    }
                }
            }
        }
    }
}

/// Describes this daemon and every group as it sees them.
fn status(node: &Node) -> Value {
    let view = node.view();
    let core = node.core();
    let now = node.now();
    let groups: Vec<Value> = view
        .groups()
        .map(|(allocation, group)| {
            let out = view.service.state(&allocation.data_centre) == ServiceState::Out;
            let key = replica_key(allocation, group);
            let why = match core.evidence.serving_until_shared(now, &key, group) {
                Ok(_) if out => Some("the data centre is out of service".to_owned()),
                Ok(_) => None,
                Err(reason) => Some(reason.to_string()),
            };
            json!({
                "group": key.to_string(),
                "workload": group.workload,
                "version": group.version,
                "domain": group.domain,
                "members": group.members.iter().map(|m| &m.vm).collect::<Vec<_>>(),
                "phase": group.phase,
                "serving": why.is_none(),
                "why_not": why,
            })
        })
        .collect();
    let members: Vec<Value> = view
        .register
        .daemons
        .iter()
        .map(|d| json!({ "id": d.id, "state": core.membership.state(d.id) }))
        .collect();
    json!({
        "id": node.id,
        "data_centre": node.settings.data_centre,
        "generation": view.generation,
        "service_revision": core.cache.revision(&bulrushhoist_core::ObjectKey::service()),
        "fresh": core.freshness.is_fresh(now),
        "stopping": node.is_stopping(),
        "busy": core.dispatcher.busy(),
        "out_of_service": view.service.out,
        "members": members,
        "groups": groups,
    })
}
