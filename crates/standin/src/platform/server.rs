//! HTTP interface of the platform stand-in.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::VmRecord;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response, Router};
use serde_json::json;

use super::state::{PlatformFaults, PutError, State};

/// Largest request body that is read, in bytes.
const BODY_MAX_BYTES: usize = 8 << 20;

#[derive(Clone, Copy)]
enum Call {
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
    call: Call,
}

pub(super) fn router(state: &Arc<State>) -> Router {
    let api = |call| Api {
        state: Arc::clone(state),
        call,
    };
    Router::with_path("v1")
        .push(Router::with_path("objects").get(api(Call::List)))
        .push(
            Router::with_path("objects/{**key}")
                .get(api(Call::Get))
                .put(api(Call::Put)),
        )
        .push(Router::with_path("watch").get(api(Call::Watch)))
        .push(
            Router::with_path("vms")
                .get(api(Call::Vms))
                .put(api(Call::SetVms)),
        )
        .push(Router::with_path("faults").put(api(Call::SetFaults)))
        .push(Router::with_path("counters").get(api(Call::Counters)))
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
        let control = matches!(self.call, Call::SetVms | Call::SetFaults | Call::Counters);
        if !control {
            self.state.count_call();
            let faults = self.state.faults();
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
            if faults.down {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                return;
            }
        }
        match self.call {
            Call::Get => self.get(req, res),
            Call::Put => self.put(req, res).await,
            Call::List => self.list(req, res),
            Call::Watch => self.watch(req, res).await,
            Call::Vms => res.render(Json(self.state.vms())),
            Call::SetVms => {
                if let Some(vms) = body::<Vec<VmRecord>>(req, res).await {
                    self.state.set_vms(vms);
                }
            }
            Call::SetFaults => {
                if let Some(faults) = body::<PlatformFaults>(req, res).await {
                    self.state.set_faults(faults);
                }
            }
            Call::Counters => {
                let (calls, writes) = (self.state.calls(), self.state.writes());
                res.render(Json(json!({ "calls": calls, "writes": writes })));
            }
        }
    }
}

async fn body<T: serde::de::DeserializeOwned>(req: &mut Request, res: &mut Response) -> Option<T> {
    let payload = req.payload_with_max_size(BODY_MAX_BYTES).await.ok();
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
        let Ok(value) = req.payload_with_max_size(BODY_MAX_BYTES).await else {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let put = self.state.put(&key, expected.as_deref(), value);
        if put.is_ok() && self.state.loses_answer() {
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
