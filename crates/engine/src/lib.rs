//! Client for endpoints: model engines and plain services.
//!
//! [`EndpointApi`] is the interface, with one implementation per protocol. The client
//! never repeats a request by itself. [`EndpointError`] tells what is known of a failed
//! request's execution, by which the caller of the client decides on a retry.

mod api;
mod http;
mod stream;

pub use api::{
    AnswerStream, CallRequest, CallState, CompletionRequest, EndpointApi, EndpointError,
    OrderReply, StreamEvent,
};
pub use http::{HttpEndpointClient, HttpEndpointSettings};
pub use stream::EventParser;
