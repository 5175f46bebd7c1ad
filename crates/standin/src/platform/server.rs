//! HTTP interface of the platform stand-in.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::VmRecord;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response, Router};
use serde_json::json;

use super::state::{PlatformFaults, PutError, State};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

#[derive(Clone, Copy)]
enum Route {
    Get,
    Put,
    List,
    Watch,
    Vms,
    SetVms,
    SetFaults,
    Counters,
}

struct Api {
    state: Arc<State>,
    route: Route,
}

pub(super) fn router(state: &Arc<State>) -> Router {
    let api = |route| Api {
        state: Arc::clone(state),
        route,
    };
    Router::with_path("v1")
        .push(Router::with_path("objects").get(api(Route::List)))
        .push(
            Router::with_path("objects/{**key}")
                .get(api(Route::Get))
                .put(api(Route::Put)),
        )
        .push(Router::with_path("watch").get(api(Route::Watch)))
        .push(
            Router::with_path("vms")
                .get(api(Route::Vms))
                .put(api(Route::SetVms)),
        )
        .push(Router::with_path("faults").put(api(Route::SetFaults)))
        .push(Router::with_path("counters").get(api(Route::Counters)))
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
        let is_control = matches!(
            self.route,
            Route::SetVms | Route::SetFaults | Route::Counters
        );
        if !is_control {
            self.state.count_call();
            let faults = self.state.faults();
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
            if faults.down {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                return;
            }
        }
        match self.route {
            Route::Get => self.get(req, res),
            Route::Put => self.put(req, res).await,
            Route::List => self.list(req, res),
            Route::Watch => self.watch(req, res).await,
            Route::Vms => res.render(Json(self.state.vms())),
            Route::SetVms => {
                if let Some(vms) = read_json::<Vec<VmRecord>>(req, res).await {
                    self.state.set_vms(vms);
                }
            }
            Route::SetFaults => {
                if let Some(faults) = read_json::<PlatformFaults>(req, res).await {
                    self.state.set_faults(faults);
                }
            }
            Route::Counters => {
                let (calls, writes) = (self.state.calls(), self.state.writes());
                res.render(Json(json!({ "calls": calls, "writes": writes })));
            }
        }
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(
    req: &mut Request,
    res: &mut Response,
) -> Option<T> {
    let payload = req.payload_with_max_size(MAX_BODY_BYTES).await.ok();
    let parsed = payload.and_then(|bytes| serde_json::from_slice(bytes).ok());
    if parsed.is_none() {
        res.status_code(StatusCode::BAD_REQUEST);
    }
    parsed
}

impl Api {
    fn get(&self, req: &mut Request, res: &mut Response) {
        let key: String = req.param("key").unwrap_or_default();
        match self.state.get(&key) {
            Some(object) => res.render(Json(object)),
            None => {
                res.status_code(StatusCode::NOT_FOUND);
            }
        }
    }

    async fn put(&self, req: &mut Request, res: &mut Response) {
        let key: String = req.param("key").unwrap_or_default();
        let expected: Option<String> = req.header("if-match");
        let Ok(value) = req.payload_with_max_size(MAX_BODY_BYTES).await else {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let put = self.state.put(&key, expected.as_deref(), value);
        if put.is_ok() && self.state.take_lost_answer() {
            res.status_code(StatusCode::GATEWAY_TIMEOUT);
            return;
        }
        match put {
            Ok(version) => res.render(Json(json!({ "version": version }))),
            Err(PutError::Conflict) => {
                res.status_code(StatusCode::PRECONDITION_FAILED);
            }
            Err(PutError::Malformed) => {
                res.status_code(StatusCode::BAD_REQUEST);
            }
            Err(PutError::TooLarge) => {
                res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            }
        }
    }

    fn list(&self, req: &mut Request, res: &mut Response) {
        let kinds: String = req.query("kinds").unwrap_or_default();
        let kinds: Vec<&str> = kinds.split(',').collect();
        res.render(Json(self.state.list(&kinds)));
    }

    async fn watch(&self, req: &mut Request, res: &mut Response) {
        let kinds: String = req.query("kinds").unwrap_or_default();
        let kinds: Vec<&str> = kinds.split(',').collect();
        let after: u64 = req.query("after").unwrap_or_default();
        let wait = Duration::from_millis(req.query("wait_ms").unwrap_or_default());
        let listing = self.state.watch(&kinds, after, wait).await;
        if self.state.faults().down {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        match listing {
            Some(listing) => res.render(Json(listing)),
            None => {
                res.status_code(StatusCode::GONE);
            }
        }
    }
}
