//! HTTP interface of one endpoint stand-in.

use std::io;
use std::sync::Arc;

use bulrushhoist_core::{Order, RequestId};
use bulrushhoist_engine::OrderReply;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response, Router};
use serde_json::json;

use super::model::{expected_part, expected_parts};
use super::vm::{CallOutcome, CallState, Progress, Stream, Vm};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Byte stream of server-sent events.
type EventBytes = BoxStream<'static, io::Result<Bytes>>;

#[derive(Clone, Copy)]
enum Route {
    Status,
    Order,
    Complete,
    Resume,
    Cancel,
    Service,
    RequestState,
}

struct Api {
    vm: Arc<Vm>,
    route: Route,
}

pub(super) fn router(vm: &Arc<Vm>) -> Router {
    let api = |route| Api {
        vm: Arc::clone(vm),
        route,
    };
    Router::with_path("v1")
        .push(Router::with_path("status").get(api(Route::Status)))
        .push(Router::with_path("orders").post(api(Route::Order)))
        .push(Router::with_path("chat/completions").post(api(Route::Complete)))
        .push(
            Router::with_path("streams/{id}")
                .get(api(Route::Resume))
                .delete(api(Route::Cancel)),
        )
        .push(Router::with_path("requests/{id}").get(api(Route::RequestState)))
        .push(Router::with_path("call/{**path}").goal(api(Route::Service)))
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
        match self.route {
            Route::Status => res.render(Json(self.vm.status())),
            Route::Order => self.order(req, res).await,
            Route::Complete => self.complete(req, res).await,
            Route::Resume => self.resume(req, res),
            Route::Cancel => {
                if let Some(id) = path_id(req) {
                    self.vm.cancel_stream(id);
                }
            }
            Route::Service => self.service(req, res).await,
            Route::RequestState => self.request_state(req, res),
        }
    }
}

fn path_id(req: &mut Request) -> Option<RequestId> {
    req.param::<String>("id")?.parse().ok()
}

fn header_id(req: &Request) -> Option<RequestId> {
    req.header::<String>("x-request-id")?.parse().ok()
}

async fn read_body(req: &mut Request) -> Option<Bytes> {
    req.payload_with_max_size(MAX_BODY_BYTES)
        .await
        .ok()
        .cloned()
}

impl Api {
    async fn order(&self, req: &mut Request, res: &mut Response) {
        let order = read_body(req)
            .await
            .and_then(|b| serde_json::from_slice::<Order>(&b).ok());
        let Some(order) = order else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let reply = self.vm.handle_order(&order);
        if matches!(reply, OrderReply::Fenced { .. }) {
            res.status_code(StatusCode::CONFLICT);
        }
        res.render(Json(reply));
    }

    async fn complete(&self, req: &mut Request, res: &mut Response) {
        let first_offset = req.header("x-skip-events").unwrap_or(0);
        let (Some(id), Some(body)) = (header_id(req), read_body(req).await) else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let parts = expected_parts(&body);
        match self.vm.start_stream(id, &body, parts) {
            Some(stream) => self.send_stream(res, id, stream, first_offset),
            None => {
                res.status_code(StatusCode::TOO_MANY_REQUESTS);
            }
        }
    }

    fn resume(&self, req: &mut Request, res: &mut Response) {
        let first_offset = req.query("from").unwrap_or(0);
        let found = path_id(req).and_then(|id| Some((id, self.vm.stream(id)?)));
        let Some((id, stream)) = found else {
            res.status_code(StatusCode::NOT_FOUND);
            return;
        };
        self.send_stream(res, id, stream, first_offset);
    }

    fn send_stream(&self, res: &mut Response, id: RequestId, stream: Stream, first_offset: u64) {
        let mut epoch_changes = self.vm.epoch_changes();
        let events: EventBytes = Box::pin(async_stream::try_stream! {
            let Stream { body, parts, mut progress } = stream;
            let mut next = first_offset;
            while next < parts {
                let state = *progress.borrow_and_update();
                let ready = match state {
                    Progress::Parts(ready) => ready,
                    Progress::Crashed => Err(io::Error::other("crashed"))?,
                };
                while next < ready {
                    let text = expected_part(&body, next);
                    let data = json!({
                        "id": format!("chatcmpl-{id}"),
                        "object": "chat.completion.chunk",
                        "choices": [{ "index": 0, "delta": { "content": text } }],
                    });
                    yield Bytes::from(format!("id: {id}:{next}\ndata: {data}\n\n"));
                    next += 1;
                }
                if next < parts {
                    let running = tokio::select! {
                        changed = progress.changed() => changed.is_ok(),
                        _ = epoch_changes.changed() => false,
                    };
                    if !running {
                        Err(io::Error::other("crashed"))?;
                    }
                }
            }
            yield Bytes::from(format!("id: {id}:{parts}\ndata: [DONE]\n\n"));
        });
        let headers_set = res.add_header("x-request-id", id.to_string(), true).is_ok()
            && res
                .add_header("content-type", "text/event-stream", true)
                .is_ok();
        debug_assert!(headers_set, "both headers are plain text");
        res.stream(events);
    }

    async fn service(&self, req: &mut Request, res: &mut Response) {
        let (Some(id), Some(body)) = (header_id(req), read_body(req).await) else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let answer = match self.vm.call(id, &body).await {
            CallOutcome::Answered(answer) => answer,
            CallOutcome::Refused => {
                res.status_code(StatusCode::TOO_MANY_REQUESTS);
                return;
            }
            CallOutcome::Crashed => {
                res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
                return;
            }
        };
        let headers_set = res.add_header("x-request-id", id.to_string(), true).is_ok()
            && res
                .add_header("content-type", "application/json", true)
                .is_ok();
        debug_assert!(headers_set, "both headers are plain text");
        res.body(answer.body);
    }

    fn request_state(&self, req: &mut Request, res: &mut Response) {
        let state = path_id(req).and_then(|id| self.vm.call_state(id));
        res.render(Json(match state {
            Some(CallState::Done(answer)) => json!({
                "state": "done",
                "status": answer.status,
                "content_type": answer.content_type,
                "body": String::from_utf8_lossy(&answer.body),
            }),
            Some(CallState::Running) => json!({ "state": "running" }),
            None => json!({ "state": "unseen" }),
        }));
    }
}
