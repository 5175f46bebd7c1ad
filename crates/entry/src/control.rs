//! Reports of endpoints and orders to them.

use std::time::Duration;

use bulrushhoist_fleet::{Endpoint, Order, OrderAnswer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use slog::info;

use crate::dialect::LoadFigures;
use crate::link::{Link, LinkError};
use crate::links::Links;
use crate::node::Node;

/// Time within which an endpoint reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(160);
/// Time within which an endpoint answers an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// Bytes of an answer at most.
const ANSWER_BYTES: usize = 64 * 1_024;

/// Connections for reports and orders, apart from those of requests.
#[derive(Default)]
pub(crate) struct ControlLinks(Links);

impl ControlLinks {
    async fn fetch(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        method: Method,
        path: &'static str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), LinkError> {
        let taken = self
            .0
            .take(node.now(), endpoint, crate::links::Freshness::Any);
        let taken = tokio::time::timeout(limit, taken).await;
        let mut link: Link = taken.unwrap_or(Err(LinkError::TimedOut))?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = hyper::Uri::from_static(path);
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&endpoint.address.to_string());
        headers.insert(HOST, host.expect("an address is a valid header"));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(id) = HeaderValue::from_str(&endpoint.id) {
            headers.insert(node.dialect.headers().expected_endpoint.clone(), id);
        }
        let answer = link.fetch(request, limit, ANSWER_BYTES).await?;
        self.0.put(node.now(), endpoint, link);
        Ok(answer)
    }

    /// Asks an endpoint for its report, and takes the answer or silence as a sign.
    pub(crate) async fn probe(&self, node: &Node, endpoint: &Endpoint) -> Option<LoadFigures> {
        let path = node.dialect.report_path();
        let fetched = self.fetch(
            node,
            endpoint,
            Method::GET,
            path,
            Bytes::new(),
            REPORT_TIMEOUT,
        );
        let fetched = fetched.await;
        let now = node.now();
        let mut state = node.state.borrow_mut();
        node.metrics.on_probe(fetched.is_ok());
        match fetched {
            Ok((StatusCode::OK, body)) => match node.dialect.report(&body) {
                Ok(figures) if figures.born.is_some_and(|born| born != endpoint.born) => {
                    state.monitor.on_replaced(now, &endpoint.id, endpoint.born);
                    info!(node.log, "endpoint replaced"; "endpoint" => &*endpoint.id, "born" => endpoint.born, "now_born" => figures.born);
                    None
                }
                Ok(figures) => {
                    // An answer shows that the VM lives; whether a stalled head
                    // writes again is seen from its streams.
                    let monitor = &mut state.monitor;
                    monitor.on_probe_answer(&endpoint.id, endpoint.born);
                    monitor.on_slowdown(now, &endpoint.id, endpoint.born, figures.slowness);
                    Some(figures)
                }
                Err(error) => {
                    state.monitor.on_probe_answer(&endpoint.id, endpoint.born);
                    info!(node.log, "report not usable"; "endpoint" => &*endpoint.id, "cause" => %error);
                    None
                }
            },
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => {
                state.monitor.on_replaced(now, &endpoint.id, endpoint.born);
                info!(node.log, "endpoint replaced"; "endpoint" => &*endpoint.id, "born" => endpoint.born);
                None
            }
            Ok((status, _)) => {
                info!(node.log, "no report"; "endpoint" => &*endpoint.id, "status" => status.as_u16());
                None
            }
            Err(error) => {
                if error.is_refused() {
                    state.monitor.on_refused(now, &endpoint.id, endpoint.born);
                } else {
                    state
                        .monitor
                        .on_probe_timeout(now, &endpoint.id, endpoint.born);
                }
                drop(state);
                self.0.drop_endpoint(&endpoint.id);
                info!(node.log, "endpoint not reached"; "endpoint" => &*endpoint.id, "born" => endpoint.born, "cause" => %error);
                None
            }
        }
    }

    /// Gives an order and returns how it was answered.
    pub(crate) async fn give(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        order: &Order,
        fence: Option<u64>,
    ) -> OrderAnswer {
        let (path, body) = node.dialect.order(order, fence);
        let given = self
            .fetch(node, endpoint, Method::POST, path, body, ORDER_TIMEOUT)
            .await;
        let answer = match &given {
            Ok((StatusCode::OK, _)) => OrderAnswer::Done,
            Ok((StatusCode::ACCEPTED, _)) => OrderAnswer::Begun,
            Ok((StatusCode::CONFLICT, _)) => OrderAnswer::Conflict,
            Ok((StatusCode::PRECONDITION_FAILED, _)) => OrderAnswer::Outdated,
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => OrderAnswer::Misdirected,
            Ok(_) => OrderAnswer::Refused,
            Err(error) if error.is_refused() => OrderAnswer::NotListening,
            Err(_) => OrderAnswer::Unknown,
        };
        let cause = match &given {
            Ok((status, _)) => status.to_string(),
            Err(error) => error.to_string(),
        };
        node.metrics
            .on_order(order.kind.label(), &answer.to_string());
        info!(node.log, "order"; "endpoint" => &*order.endpoint, "order" => order.kind.label(), "group" => &*order.group, "epoch" => order.epoch, "answer" => %answer, "cause" => cause);
        answer
    }
}
