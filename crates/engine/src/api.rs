//! The edge towards endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{Answer, FencingToken, Order, RequestId, VmStatus};
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};

/// Why a call to an endpoint failed, by what is known of its execution.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EndpointError {
    /// No connection came about: no byte of the request was sent.
    #[display("no connection: {cause}")]
    Connect {
        /// What went wrong.
        #[error(not(source))]
        cause: String,
    },
    /// The endpoint refused the request without running it.
    #[display("the endpoint refused without running the request")]
    Refused,
    /// The connection broke or went silent after the request may have left.
    #[display("the connection was lost: {cause}")]
    Lost {
        /// What went wrong.
        #[error(not(source))]
        cause: String,
    },
    /// The answer is malformed, or belongs to another request.
    #[display("not an answer to this request: {cause}")]
    BadAnswer {
        /// What is wrong with it.
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
    /// Identity of the request, under which the stream can be resumed.
    pub id: RequestId,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Events that the caller already has from an endpoint that was lost. The
    /// engine regenerates them from the request's identity and leaves them out.
    pub skip_events: u64,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Identity of the request, under which its fate can be asked.
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Time within which the answer must be whole.
    pub timeout: Duration,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A part of the answer with its place, counted from 0.
    Part {
        /// Place of the part.
        offset: u64,
        /// The part, as JSON.
        data: Bytes,
    },
    /// The proper end of the answer; `offset` parts came before it.
    End {
        /// Number of parts of the whole answer.
        offset: u64,
    },
}

/// The events of one answer.
pub type AnswerStream = BoxStream<'static, Result<StreamEvent, EndpointError>>;

/// What an endpoint says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum OrderReply {
    /// The order is being carried out.
    Accepted,
    /// The order carries an old fencing number.
    Fenced {
        /// Highest fencing number that the endpoint has seen.
        highest: FencingToken,
    },
}

/// What an endpoint knows of a request by its identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The request has ended with this answer.
    Done(Answer),
    /// The request is running.
    Running,
    /// The endpoint, in this run of its process, has not seen the request. It
    /// may still arrive.
    Unseen,
}

/// One dialect of the endpoints.
pub trait EndpointApi: Send + Sync + 'static {
    /// Asks an endpoint for its report.
    fn status(&self, endpoint: SocketAddr) -> BoxFuture<'_, Result<VmStatus, EndpointError>>;

    /// Gives an order.
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

    /// Attaches to a running or finished stream from an offset; never starts one.
    fn resume(
        &self,
        endpoint: SocketAddr,
        id: RequestId,
        offset: u64,
    ) -> BoxFuture<'_, Result<AnswerStream, EndpointError>>;

    /// Stops a stream that nobody waits for.
    fn cancel(&self, endpoint: SocketAddr, id: RequestId) -> BoxFuture<'_, ()>;

    /// Calls a plain service.
    fn call(
        &self,
        endpoint: SocketAddr,
        request: CallRequest,
    ) -> BoxFuture<'_, Result<Answer, EndpointError>>;

    /// Asks what became of a call, on a new connection.
    fn call_state(
        &self,
        endpoint: SocketAddr,
        id: RequestId,
    ) -> BoxFuture<'_, Result<CallState, EndpointError>>;
}
