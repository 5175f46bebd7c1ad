//! Client of the endpoints' HTTP protocol.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/status` | the endpoint's report of itself |
//! | `POST /v1/orders` | an order, 409 if its fencing token is old |
//! | `POST /v1/chat/completions` with `x-request-id` | a streamed completion, 429 if refused |
//! | `GET /v1/streams/ID?from=OFFSET` | attaches to a stream |
//! | `DELETE /v1/streams/ID` | stops a stream |
//! | any method on `/v1/call/PATH` with `x-request-id` | a call to a plain service |
//! | `GET /v1/requests/ID` | the state of a call |
//!
//! Connections are HTTP/2 with pings, so that a stalled one is detected within seconds
//! and replaced. The HTTP client's own retries are off, because a repeated request
//! could run twice.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{Answer, Order, RequestId, VmStatus};
use futures_util::future::BoxFuture;
use futures_util::{FutureExt as _, StreamExt as _};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;

use crate::api::{
    AnswerStream, CallRequest, CallState, CompletionRequest, EndpointApi, EndpointError, OrderReply,
};
use crate::stream::EventParser;

/// Header with the request's id, in requests and answers.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of events to leave out of a stream.
const SKIP_HEADER: &str = "x-skip-events";
/// Maximum size of an answer of a plain service, in bytes, by its `Content-Length`.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Timeouts and intervals of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpEndpointSettings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout for a status query, an order, a cancellation or a query of a call's state.
    pub control_timeout: Duration,
    /// Interval between pings on a connection.
    pub ping_interval: Duration,
    /// Time without a reply to a ping after which a connection is closed.
    pub ping_timeout: Duration,
    /// Time without a response or without further data after which a stream counts as
    /// stalled.
    pub stall_timeout: Duration,
}

impl Default for HttpEndpointSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            control_timeout: Duration::from_millis(1_000),
            ping_interval: Duration::from_millis(1_000),
            ping_timeout: Duration::from_millis(1_000),
            stall_timeout: Duration::from_millis(2_000),
        }
    }
}

/// HTTP implementation of [`EndpointApi`].
///
/// Control calls use connections of their own, apart from callers' requests.
#[derive(Clone, Debug)]
pub struct HttpEndpointClient {
    requests: Client,
    control: Client,
    settings: HttpEndpointSettings,
}

impl HttpEndpointClient {
    /// Creates a client; connections are opened when needed.
    pub fn new(settings: HttpEndpointSettings) -> Result<Self, EndpointError> {
        let client = || {
            Client::builder()
                .no_proxy()
                .retry(reqwest::retry::never())
                .http2_prior_knowledge()
                .http2_keep_alive_interval(settings.ping_interval)
                .http2_keep_alive_timeout(settings.ping_timeout)
                .connect_timeout(settings.connect_timeout)
                .tcp_nodelay(true)
                .build()
                .map_err(|e| EndpointError::Connect {
                    cause: e.to_string(),
                })
        };
        Ok(Self {
            requests: client()?,
            control: client()?,
            settings,
        })
    }

    /// Sends a request and returns its events, checked against `id` and `offset`.
    async fn stream(
        &self,
        request: RequestBuilder,
        id: RequestId,
        offset: u64,
    ) -> Result<AnswerStream, EndpointError> {
        let response = tokio::time::timeout(self.settings.stall_timeout, request.send())
            .await
            .map_err(|_| lost("no answer in time"))?
            .map_err(|e| classify(&e))?;
        let response = check_response(response, id)?;
        let stall_timeout = self.settings.stall_timeout;
        let mut parser = EventParser::new(id, offset);
        let mut chunks = response.bytes_stream();
        let events = async_stream::try_stream! {
            loop {
                if let Some(event) = parser.next_event()? {
                    yield event;
                    continue;
                }
                let chunk = tokio::time::timeout(stall_timeout, chunks.next()).await;
                let chunk = chunk.map_err(|_| lost("the stream stalled"))?;
                let chunk = chunk.ok_or_else(|| lost("the stream ended early"))?;
                let chunk = chunk.map_err(|e| lost(&e.to_string()))?;
                parser.push(&chunk);
            }
        };
        Ok(events.boxed())
    }
}

fn lost(cause: &str) -> EndpointError {
    EndpointError::Lost {
        cause: cause.to_owned(),
    }
}

/// Classifies an error by whether the request may have been sent; only a failed
/// connect is known to have sent nothing.
fn classify(error: &reqwest::Error) -> EndpointError {
    let cause = error.to_string();
    if error.is_connect() {
        EndpointError::Connect { cause }
    } else {
        EndpointError::Lost { cause }
    }
}

/// Checks the status of a response and that it names the request it answers.
fn check_response(response: Response, id: RequestId) -> Result<Response, EndpointError> {
    match response.status() {
        StatusCode::TOO_MANY_REQUESTS => return Err(EndpointError::Refused),
        StatusCode::NOT_FOUND => return Err(EndpointError::NotFound),
        s if s.is_server_error() => return Err(lost(&format!("the endpoint returned {s}"))),
        _ => {}
    }
    let echoed = response
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|v| v.to_str().ok());
    if echoed != Some(id.to_string().as_str()) {
        return Err(EndpointError::BadAnswer {
            cause: "the response names another request".into(),
        });
    }
    Ok(response)
}

/// Reads the answer of a plain service.
async fn read_answer(response: Response) -> Result<Answer, EndpointError> {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    if response
        .content_length()
        .is_some_and(|n| n > MAX_ANSWER_BYTES as u64)
    {
        return Err(EndpointError::BadAnswer {
            cause: "the answer is too large".into(),
        });
    }
    let body = response.bytes().await.map_err(|e| lost(&e.to_string()))?;
    Ok(Answer {
        status,
        content_type,
        body: body.to_vec(),
    })
}

/// JSON form of [`CallState`].
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
enum CallStateReply {
    Done {
        status: u16,
        content_type: Option<String>,
        body: String,
    },
    Running,
    Unseen,
}

impl EndpointApi for HttpEndpointClient {
    fn status(&self, endpoint: SocketAddr) -> BoxFuture<'_, Result<VmStatus, EndpointError>> {
        async move {
            let url = format!("http://{endpoint}/v1/status");
            let request = self.control.get(url).timeout(self.settings.control_timeout);
            let response = request.send().await.map_err(|e| classify(&e))?;
            if !response.status().is_success() {
                return Err(lost("the status query failed"));
            }
            response.json().await.map_err(|e| EndpointError::BadAnswer {
                cause: e.to_string(),
            })
        }
        .boxed()
    }

    fn order<'a>(
        &'a self,
        endpoint: SocketAddr,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderReply, EndpointError>> {
        async move {
            let url = format!("http://{endpoint}/v1/orders");
            let request = self
                .control
                .post(url)
                .timeout(self.settings.control_timeout)
                .json(order);
            let response = request.send().await.map_err(|e| classify(&e))?;
            response.json().await.map_err(|e| EndpointError::BadAnswer {
                cause: e.to_string(),
            })
        }
        .boxed()
    }

    fn complete(
        &self,
        endpoint: SocketAddr,
        request: CompletionRequest,
    ) -> BoxFuture<'_, Result<AnswerStream, EndpointError>> {
        async move {
            let CompletionRequest {
                id,
                body,
                skip_events,
            } = request;
            let url = format!("http://{endpoint}/v1/chat/completions");
            let call = self
                .requests
                .post(url)
                .header(REQUEST_ID_HEADER, id.to_string())
                .header(SKIP_HEADER, skip_events)
                .header("content-type", "application/json")
                .body(body);
            self.stream(call, id, skip_events).await
        }
        .boxed()
    }

    fn resume(
        &self,
        endpoint: SocketAddr,
        id: RequestId,
        offset: u64,
    ) -> BoxFuture<'_, Result<AnswerStream, EndpointError>> {
        async move {
            let url = format!("http://{endpoint}/v1/streams/{id}?from={offset}");
            self.stream(self.requests.get(url), id, offset).await
        }
        .boxed()
    }

    fn cancel(&self, endpoint: SocketAddr, id: RequestId) -> BoxFuture<'_, ()> {
        async move {
            let url = format!("http://{endpoint}/v1/streams/{id}");
            let request = self
                .control
                .delete(url)
                .timeout(self.settings.control_timeout);
            // If the endpoint cannot be reached, its stream is lost anyway.
            let _ = request.send().await;
        }
        .boxed()
    }

    fn call(
        &self,
        endpoint: SocketAddr,
        request: CallRequest,
    ) -> BoxFuture<'_, Result<Answer, EndpointError>> {
        async move {
            let CallRequest {
                id,
                method,
                path,
                content_type,
                body,
                timeout,
            } = request;
            let method =
                Method::from_bytes(method.as_bytes()).map_err(|e| EndpointError::BadAnswer {
                    cause: e.to_string(),
                })?;
            let mut call = self
                .requests
                .request(method, format!("http://{endpoint}/v1/call{path}"))
                .header(REQUEST_ID_HEADER, id.to_string())
                .timeout(timeout)
                .body(body);
            if let Some(content_type) = content_type {
                call = call.header("content-type", content_type);
            }
            let response = call.send().await.map_err(|e| classify(&e))?;
            read_answer(check_response(response, id)?).await
        }
        .boxed()
    }

    fn call_state(
        &self,
        endpoint: SocketAddr,
        id: RequestId,
    ) -> BoxFuture<'_, Result<CallState, EndpointError>> {
        async move {
            let url = format!("http://{endpoint}/v1/requests/{id}");
            let request = self.control.get(url).timeout(self.settings.control_timeout);
            let response = request.send().await.map_err(|e| classify(&e))?;
            let state = response
                .json()
                .await
                .map_err(|e| EndpointError::BadAnswer {
                    cause: e.to_string(),
                })?;
            Ok(match state {
                CallStateReply::Done {
                    status,
                    content_type,
                    body,
                } => CallState::Done(Answer {
                    status,
                    content_type,
                    body: body.into_bytes(),
                }),
                CallStateReply::Running => CallState::Running,
                CallStateReply::Unseen => CallState::Unseen,
            })
        }
        .boxed()
    }
}
