//! Client for endpoints: model engines and plain services.
//!
//! [`EndpointApi`] is the edge: one implementation per dialect. The client
//! never sends a request twice of its own accord; whether a failed call may be
//! repeated is told by [`EndpointError`] and decided elsewhere.

mod api;
mod http;
mod stream;

pub use api::{
    AnswerStream, CallRequest, CallState, CompletionRequest, EndpointApi, EndpointError,
    OrderReply, StreamEvent,
};
pub use http::{HttpEndpointClient, HttpEndpointSettings};
pub use stream::EventParser;
