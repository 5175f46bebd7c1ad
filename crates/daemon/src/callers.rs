//! The HTTP interface for callers: a chain of filters, then one handler per route.

mod completions;
mod entries;
mod filters;
mod forward;
mod refusals;
mod resume;
mod run;
mod services;

use std::sync::Arc;

use bulrushhoist_core::{Fingerprint, stable_hash};
use salvo::Router;

use crate::node::Node;

/// Builds the router of the callers' interface, which `docs/openapi.yaml` describes.
pub(crate) fn router(node: &Arc<Node>) -> Router {
    let authenticated = Router::new()
        .hoop(filters::Authenticate::new(node))
        .push(Router::with_path("tickets").post(entries::Tickets::new(node)))
        .push(Router::with_path("streams").get(resume::Resume::new(node)))
        .push(
            Router::with_path("chat/completions")
                .hoop(filters::ReadBody::new(node))
                .post(completions::Completions::new(node)),
        )
        .push(
            Router::with_path("services/{service}/{**path}")
                .hoop(filters::ReadBody::new(node))
                .goal(services::Services::new(node)),
        );
    Router::with_path("v1")
        .push(Router::with_path("entries").get(entries::Entries::new(node)))
        .push(
            Router::new()
                .hoop(filters::Admit::new(node))
                .push(authenticated),
        )
}

/// Computes the fingerprint that is equal for repeats of the same request.
///
/// The quarantine counts crashes of endpoints by it, so it covers the workload,
/// the path and the body but not the caller.
fn fingerprint(workload: &str, path: &str, body: &[u8]) -> Fingerprint {
    Fingerprint::new(stable_hash([workload.as_bytes(), path.as_bytes(), body]))
}
