//! Renders refusals as `application/problem+json` (RFC 9457).

use bulrushhoist_core::{Refusal, RequestId};
use salvo::http::StatusCode;
use salvo::http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use salvo::prelude::{Request, Response};
use serde_json::json;

use crate::node::Node;

/// Header with the request's id in answers.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header with a ticket.
pub(super) const TICKET_HEADER: &str = "ticket";
/// Request header with an idempotency key.
pub(super) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Counts a refusal in the metrics and writes it to the response.
pub(super) fn refuse(node: &Node, res: &mut Response, id: Option<RequestId>, refusal: Refusal) {
    node.metrics.on_refusal(refusal);
    if let Some(id) = id {
        node.trace(id, format!("refused: {refusal}"));
        set_request_id(res, id);
    }
    let status = StatusCode::from_u16(refusal.reason.http_status());
    res.status_code(status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE));
    if let Some(after) = refusal.reason.retry_after_s() {
        res.headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(after));
    }
    res.headers_mut().insert(
        salvo::http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    res.body(problem_json(id, refusal));
}

/// Returns the problem document of a refusal.
pub(super) fn problem_json(id: Option<RequestId>, refusal: Refusal) -> String {
    json!({
        "type": format!("urn:bulrushhoist:reason:{}", refusal.reason),
        "title": refusal.reason.to_string().replace('_', " "),
        "status": refusal.reason.http_status(),
        "reason": refusal.reason,
        "execution": refusal.execution,
        "request_id": id,
    })
    .to_string()
}

/// Names the request in a response's header.
pub(super) fn set_request_id(res: &mut Response, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        res.headers_mut()
            .insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
}

/// Returns whether a request may be a repeat of one that has run.
///
/// A refusal of such a request before the ticket table is consulted must not
/// claim that the request has not run.
pub(super) fn may_be_repeat(req: &Request) -> bool {
    req.headers().contains_key(TICKET_HEADER) || req.headers().contains_key(IDEMPOTENCY_KEY_HEADER)
}

/// Builds a refusal for use before the ticket table is consulted: its execution is
/// unknown if the request may be a repeat.
pub(super) fn early_refusal(req: &Request, reason: bulrushhoist_core::Reason) -> Refusal {
    if may_be_repeat(req) {
        Refusal::unknown(reason)
    } else {
        Refusal::not_run(reason)
    }
}
