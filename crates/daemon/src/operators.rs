//! The HTTP interface for operators: health, metrics, status and request traces.

use std::sync::Arc;

use bulrushhoist_core::{RequestId, ServiceState};
use salvo::Router;
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response};
use serde_json::{Value, json};
use subtle::ConstantTimeEq as _;

use crate::node::{Node, replica_key};

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// A route of the operators' interface.
#[derive(Clone, Copy)]
enum Operation {
    Health,
    Ready,
    Metrics,
    Status,
    Explain,
}

/// Handles one route.
struct OperatorApi {
    node: Arc<Node>,
    operation: Operation,
}

/// Rejects requests without the operators' token, if one is set.
struct CheckToken {
    node: Arc<Node>,
}

/// Builds the router of the operators' interface.
///
/// The routes `healthz` and `readyz` need no token.
pub(crate) fn router(node: &Arc<Node>) -> Router {
    let api = |operation| OperatorApi {
        node: Arc::clone(node),
        operation,
    };
    let guarded = Router::new()
        .hoop(CheckToken {
            node: Arc::clone(node),
        })
        .push(Router::with_path("metrics").get(api(Operation::Metrics)))
        .push(Router::with_path("v1/status").get(api(Operation::Status)))
        .push(Router::with_path("v1/requests/{id}").get(api(Operation::Explain)));
    Router::new()
        .push(Router::with_path("healthz").get(api(Operation::Health)))
        .push(Router::with_path("readyz").get(api(Operation::Ready)))
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
        let presented = header
            .and_then(|h| h.strip_prefix("Bearer "))
            .unwrap_or_default();
        if !bool::from(presented.as_bytes().ct_eq(token.as_bytes())) {
            res.status_code(StatusCode::UNAUTHORIZED);
            ctrl.skip_rest();
        }
    }
}

#[salvo::async_trait]
impl Handler for OperatorApi {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.operation {
            Operation::Health => res.render("ok\n"),
            Operation::Ready => {
                if !self.node.is_ready() {
                    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
            Operation::Metrics => match self.node.metrics.export() {
                Ok(text) => {
                    res.headers_mut()
                        .insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
                    res.body(text);
                }
                Err(_) => {
                    res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
                }
            },
            Operation::Status => res.render(Json(status_report(&self.node))),
            Operation::Explain => {
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

/// Builds the status of this daemon and of every group in its view.
fn status_report(node: &Node) -> Value {
    let view = node.view();
    let core = node.core();
    let now = node.now();
    let groups: Vec<Value> = view
        .groups()
        .map(|(allocation, group)| {
            let out = view.service.state(&allocation.data_centre) == ServiceState::Out;
            let key = replica_key(allocation, group);
            let why_not = match core.evidence.serving_until_with_relayed(now, &key, group) {
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
                "serving": why_not.is_none(),
                "why_not": why_not,
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
        "busy": core.dispatcher.active(),
        "out_of_service": view.service.out,
        "members": members,
        "groups": groups,
    })
}
