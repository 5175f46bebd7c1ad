//! Bodies of answers to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer ended before it was whole. It makes the connection close, so that
/// the caller sees that the rest is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the answer was cut short")]
pub(crate) struct CutShort;

impl From<Infallible> for CutShort {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A body that is there, or one that arrives piece by piece.
pub(crate) enum AnswerBody {
    /// The whole body.
    Whole(Option<Bytes>),
    /// Pieces, then an end or a cut.
    Pieces(mpsc::Receiver<Result<Bytes, CutShort>>),
}

impl AnswerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Pieces(pieces) => pieces
                .poll_recv(cx)
                .map(|next| next.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
