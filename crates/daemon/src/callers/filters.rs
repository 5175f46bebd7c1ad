//! Filters that run before a handler: admission, authentication and the body.

use std::sync::Arc;

use bulrushhoist_core::{Reason, TeamName};
use bytes::Bytes;
use salvo::http::ParseError;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};

use super::refusals::{early_refusal, may_be_repeat, refuse};
use crate::node::{Node, OpenRequest};

/// The authenticated sender of a request.
#[derive(Clone)]
pub(super) struct Caller {
    pub(super) team: TeamName,
}

/// The complete body of a request.
#[derive(Clone)]
pub(super) struct Body(pub(super) Bytes);

/// Counts a request as in progress until it is dropped, with the depot or by the
/// handler that took the count.
pub(super) struct CountedRequest(pub(super) Option<OpenRequest>);

/// Refuses requests while the daemon has too many in progress or is stopping.
pub(super) struct Admit {
    node: Arc<Node>,
}

impl Admit {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

#[salvo::async_trait]
impl Handler for Admit {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let Some(open) = self.node.open_request() else {
            refuse(
                &self.node,
                res,
                None,
                early_refusal(req, Reason::TooManyRequests),
            );
            ctrl.skip_rest();
            return;
        };
        // A repeat may still be answered from the ticket table.
        if self.node.is_refusing() && !may_be_repeat(req) {
            refuse(&self.node, res, None, early_refusal(req, Reason::Draining));
            ctrl.skip_rest();
            return;
        }
        depot.insert_typed(CountedRequest(Some(open)));
    }
}

/// Authenticates a request: finds the team that its bearer token belongs to.
pub(super) struct Authenticate {
    node: Arc<Node>,
}

impl Authenticate {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

#[salvo::async_trait]
impl Handler for Authenticate {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let view = self.node.view();
        let header = req
            .headers()
            .get("authorization")
            .and_then(|v| v.to_str().ok());
        let token = header.and_then(|h| h.strip_prefix("Bearer "));
        let team = token.and_then(|t| view.deployment.team_of_token(t));
        let Some(team) = team else {
            // Before the first configuration no token is known to be wrong.
            let unconfigured = view.generation.get() == 0;
            let reason = if unconfigured {
                Reason::Stale
            } else {
                Reason::Unauthorized
            };
            refuse(&self.node, res, None, early_refusal(req, reason));
            ctrl.skip_rest();
            return;
        };
        depot.insert_typed(Caller {
            team: team.name.clone(),
        });
    }
}

/// Reads the body within the limits on its size and on pauses between pieces.
pub(super) struct ReadBody {
    node: Arc<Node>,
}

impl ReadBody {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

#[salvo::async_trait]
impl Handler for ReadBody {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let read = req
            .payload_with_max_size(self.node.settings.limits.max_body_bytes)
            .await;
        let reason = match read {
            Ok(body) => {
                depot.insert_typed(Body(body.clone()));
                return;
            }
            Err(ParseError::PayloadTooLarge) => Reason::BodyTooLarge,
            Err(_) => Reason::BodyTooSlow,
        };
        refuse(&self.node, res, None, early_refusal(req, reason));
        ctrl.skip_rest();
    }
}

/// Returns the caller that [`Authenticate`] identified.
pub(super) fn caller(depot: &Depot) -> Option<Caller> {
    depot.get_typed::<Caller>().ok().cloned()
}

/// Returns the body that [`ReadBody`] read, or an empty one.
pub(super) fn body(depot: &Depot) -> Bytes {
    depot
        .get_typed::<Body>()
        .map(|b| b.0.clone())
        .unwrap_or_default()
}

/// Takes the request's count out of the depot, for an answer that is still being
/// streamed after its handler has returned.
pub(super) fn take_open_request(depot: &mut Depot) -> Option<OpenRequest> {
    depot
        .get_typed_mut::<CountedRequest>()
        .ok()
        .and_then(|c| c.0.take())
}
