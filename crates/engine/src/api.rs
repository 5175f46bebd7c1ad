//! The interface to endpoints: [`EndpointApi`] with its requests, answers and errors.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{Answer, FencingToken, Order, RequestId, VmStatus};
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};

/// Why a call to an endpoint failed.
///
/// The variants differ in what is known of the request's execution, which decides
/// whether it may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EndpointError {
    /// No connection was established, so no byte of the request was sent.
    #[display("no connection: {cause}")]
    Connect {
        /// Description of the error.
        #[error(not(source))]
        cause: String,
    },
    /// The endpoint refused the request without running it.
    #[display("the endpoint refused without running the request")]
    Refused,
    /// The connection failed or stalled after the request may have been sent.
    #[display("the connection was lost: {cause}")]
    Lost {
        /// Description of the error.
        #[error(not(source))]
        cause: String,
    },
    /// The answer is malformed, or belongs to another request.
    #[display("not an answer to this request: {cause}")]
    BadAnswer {
        /// Description of the error.
        #[error(not(source))]
        cause: String,
    },
    /// The endpoint does not know the stream or request.
    #[display("the endpoint does not know the request")]
    NotFound,
}

/// A request for a streamed completion.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Id of the request, by which the stream can be resumed.
    pub id: RequestId,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Number of events that the caller already has from an endpoint that was lost.
    /// The engine generates the same events again from the request's id and leaves
    /// these out.
    pub skip_events: u64,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Id of the request, by which its state can be queried.
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Time within which the complete answer must arrive.
    pub timeout: Duration,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A part of the answer.
    Part {
        /// Index of the part in the answer, from 0.
        offset: u64,
        /// The part, as JSON.
        data: Bytes,
    },
    /// The regular end of the answer. A stream that ends without it is incomplete.
    End {
        /// Number of parts in the complete answer.
        offset: u64,
    },
}

/// The events of one streamed answer.
pub type AnswerStream = BoxStream<'static, Result<StreamEvent, EndpointError>>;

/// An endpoint's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum OrderReply {
    /// The endpoint carries out the order.
    Accepted,
    /// The order carries an older fencing token than the endpoint has seen.
    Fenced {
        /// Highest fencing token that the endpoint has seen.
        highest: FencingToken,
    },
}

/// State of a call, as its endpoint reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The call has ended with this answer.
    Done(Answer),
    /// The call is running.
    Running,
    /// The endpoint has not received the call since its process started. The call may
    /// still arrive.
    Unseen,
}

/// Client interface to endpoints, implemented once per protocol.
pub trait EndpointApi: Send + Sync + 'static {
    /// Reads an endpoint's report of itself.
    fn status(&self, endpoint: SocketAddr) -> BoxFuture<'_, Result<VmStatus, EndpointError>>;

    /// Sends an order to an endpoint.
    fn order<'a>(
        &'a self,
        endpoint: SocketAddr,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderReply, EndpointError>>;

    /// Starts a streamed completion.
    fn complete(
        &self,
        endpoint: SocketAddr,
        request: CompletionRequest,
    ) -> BoxFuture<'_, Result<AnswerStream, EndpointError>>;

    /// Attaches to a running or finished stream from an offset; it never starts one.
    fn resume(
        &self,
        endpoint: SocketAddr,
        id: RequestId,
        offset: u64,
    ) -> BoxFuture<'_, Result<AnswerStream, EndpointError>>;

    /// Stops a stream whose caller has disconnected.
    fn cancel(&self, endpoint: SocketAddr, id: RequestId) -> BoxFuture<'_, ()>;

    /// Calls a plain service.
    fn call(
        &self,
        endpoint: SocketAddr,
        request: CallRequest,
    ) -> BoxFuture<'_, Result<Answer, EndpointError>>;

    /// Queries the state of a call, separately from the connection that it was sent on.
    fn call_state(
        &self,
        endpoint: SocketAddr,
        id: RequestId,
    ) -> BoxFuture<'_, Result<CallState, EndpointError>>;
}
