//! Bodies of answers to callers, and what is left of their requests.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::backlog::BacklogReader;
use crate::connection::Connection;

/// Longest time for which the rest of a refused request is read.
const DISCARD_TIME: Duration = Duration::from_secs(3);
/// Maximum size of the rest of a refused request that is read.
const MAX_DISCARDED_BYTES: usize = 64 * 1_024 * 1_024;

/// Reads the rest of a refused request and discards it, within limits.
///
/// Most callers read the answer once they have sent their body. If the connection were
/// closed before, sending would fail and the answer be lost.
pub(crate) fn discard(mut body: Incoming) {
    let rest = async move {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else {
                return;
            };
            left = rest;
        }
    };
    // The body is dropped either way, which closes the connection if it wasn't complete.
    tokio::task::spawn_local(async move { tokio::time::timeout(DISCARD_TIME, rest).await });
}

/// The error of a body that ends before it is complete. It closes the caller's
/// connection, by which the caller sees that the rest is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the answer was cut short")]
pub(crate) struct Truncated;

impl From<Infallible> for Truncated {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of a peer's answer, with the connection that brings it.
pub(crate) struct Forwarded {
    body: Incoming,
    _connection: Connection,
}

impl Forwarded {
    pub(crate) const fn new(body: Incoming, connection: Connection) -> Self {
        Self {
            body,
            _connection: connection,
        }
    }
}

/// The body of an answer to a caller: known in full, or streamed.
pub(crate) enum AnswerBody {
    /// The complete body, until it has been sent.
    Complete(Option<Bytes>),
    /// Chunks, followed by the end of the body or by [`Truncated`].
    Chunks(BacklogReader),
    /// The body that a peer sends, or [`Truncated`] if it breaks off.
    Forwarded(Forwarded),
}

impl AnswerBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Chunks(chunks) => chunks.poll_next(cx).map(|next| {
                let chunk = next?;
                Some(chunk.map(Frame::data).map_err(|_| Truncated))
            }),
            Self::Forwarded(answer) => {
                let body = Pin::new(&mut answer.body);
                let frame = body.poll_frame(cx);
                frame.map(|next| next.map(|frame| frame.map_err(|_| Truncated)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(bytes) => bytes.is_none(),
            Self::Chunks(_) => false,
            Self::Forwarded(answer) => answer.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Chunks(_) => SizeHint::default(),
            Self::Forwarded(answer) => answer.body.size_hint(),
        }
    }
}
