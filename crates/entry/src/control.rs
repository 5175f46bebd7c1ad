//! Fetches reports from endpoints, as probes, and sends orders to them.

use std::time::Duration;

use bulrushhoist_fleet::{ContactFailure, Endpoint, Order, OrderAnswer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use slog::info;

use crate::connection::{Connection, ConnectionError};
use crate::dialect::LoadReport;
use crate::node::Node;
use crate::pool::ConnectionPool;

/// Timeout for fetching a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(160);
/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// A connection pool for reports and orders, separate from that of requests.
#[derive(Default)]
pub(crate) struct ControlConnections(ConnectionPool);

impl ControlConnections {
    async fn fetch(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        method: Method,
        path: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let taken = self.0.take(node.now(), endpoint, crate::pool::Reuse::Any);
        let taken = tokio::time::timeout(timeout, taken).await;
        let mut connection: Connection = taken.unwrap_or(Err(ConnectionError::TimedOut))?;
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
        let answer = connection.fetch(request, timeout, MAX_ANSWER_BYTES).await?;
        self.0.put(node.now(), endpoint, connection);
        Ok(answer)
    }

    /// Fetches an endpoint's report, and records its answer or its failure to answer in
    /// the health monitor.
    pub(crate) async fn probe(&self, node: &Node, endpoint: &Endpoint) -> Option<LoadReport> {
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
        if fetched.is_ok() {
            state.endpoint_contact.on_answer();
        }
        match fetched {
            Ok((StatusCode::OK, body)) => match node.dialect.decode_report(&body) {
                Ok(report)
                    if report
                        .incarnation
                        .is_some_and(|incarnation| incarnation != endpoint.incarnation) =>
                {
                    state
                        .monitor
                        .on_replaced(now, &endpoint.id, endpoint.incarnation);
                    info!(node.log, "endpoint replaced"; "endpoint" => &*endpoint.id, "born" => endpoint.incarnation, "now_born" => report.incarnation);
                    None
                }
                Ok(report) => {
                    // An answer shows only that the VM is up. Whether a stalled leader
                    // has recovered is seen from its streams.
                    let monitor = &mut state.monitor;
                    monitor.on_probe_answer(&endpoint.id, endpoint.incarnation);
                    monitor.on_slowdown(now, &endpoint.id, endpoint.incarnation, report.slowdown);
                    Some(report)
                }
                Err(error) => {
                    state
                        .monitor
                        .on_probe_answer(&endpoint.id, endpoint.incarnation);
                    info!(node.log, "report not usable"; "endpoint" => &*endpoint.id, "cause" => %error);
                    None
                }
            },
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => {
                state
                    .monitor
                    .on_replaced(now, &endpoint.id, endpoint.incarnation);
                info!(node.log, "endpoint replaced"; "endpoint" => &*endpoint.id, "born" => endpoint.incarnation);
                None
            }
            Ok((status, _)) => {
                info!(node.log, "no report"; "endpoint" => &*endpoint.id, "status" => status.as_u16());
                None
            }
            Err(error) => {
                if error.is_refused() {
                    state
                        .monitor
                        .on_refused(now, &endpoint.id, endpoint.incarnation);
                } else {
                    state
                        .monitor
                        .on_probe_timeout(now, &endpoint.id, endpoint.incarnation);
                }
                drop(state);
                let failure = match &error {
                    ConnectionError::Connect(_) => ContactFailure::Unconnected,
                    _ => ContactFailure::Unanswered,
                };
                node.on_contact_failure(&endpoint.id, failure);
                node.record_if_dead(endpoint);
                self.0.drop_endpoint(&endpoint.id);
                info!(node.log, "endpoint not reached"; "endpoint" => &*endpoint.id, "born" => endpoint.incarnation, "cause" => %error);
                None
            }
        }
    }

    /// Sends an order and returns how the endpoint answered it.
    pub(crate) async fn send_order(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        order: &Order,
        fencing_token: Option<u64>,
    ) -> OrderAnswer {
        let (path, body) = node.dialect.encode_order(order, fencing_token);
        let sent = self
            .fetch(node, endpoint, Method::POST, path, body, ORDER_TIMEOUT)
            .await;
        let answer = match &sent {
            Ok((StatusCode::OK, _)) => OrderAnswer::Done,
            Ok((StatusCode::ACCEPTED, _)) => OrderAnswer::Begun,
            Ok((StatusCode::CONFLICT, _)) => OrderAnswer::Conflict,
            Ok((StatusCode::PRECONDITION_FAILED, _)) => OrderAnswer::Outdated,
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => OrderAnswer::Misdirected,
            Ok(_) => OrderAnswer::Refused,
            Err(error) if error.is_refused() => OrderAnswer::NotListening,
            Err(_) => OrderAnswer::Unknown,
        };
        let cause = match &sent {
            Ok((status, _)) => status.to_string(),
            Err(error) => error.to_string(),
        };
        node.metrics
            .on_order(order.kind.label(), &answer.to_string());
        info!(node.log, "order"; "endpoint" => &*order.endpoint, "order" => order.kind.label(), "group" => &*order.group, "epoch" => order.epoch, "answer" => %answer, "cause" => cause);
        answer
    }
}
