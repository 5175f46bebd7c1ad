//! How streams to callers end, also after their leaders have written all of them.

use hyper::header::HeaderValue;
use slog::info;

use crate::backlog::{BacklogSender, Closed};
use crate::node::Node;
use crate::outcome::CutCause;

/// How a stream that had begun ended, as its log line says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum StreamEnd {
    #[display("whole")]
    Whole,
    #[display("caller left")]
    CallerLeft,
    #[display("cut")]
    Cut(CutCause),
    /// With how many bytes that the caller hadn't read.
    #[display("cut")]
    TooSlow(usize),
}

impl From<Closed> for StreamEnd {
    fn from(closed: Closed) -> Self {
        match closed {
            Closed::CallerLeft => Self::CallerLeft,
            Closed::TooSlow(bytes) => Self::TooSlow(bytes),
            Closed::TimedOut => Self::Cut(CutCause::Deadline),
        }
    }
}

impl StreamEnd {
    /// Returns why the answer is incomplete, if it is.
    pub(crate) const fn cut_cause(self) -> Option<CutCause> {
        match self {
            Self::Cut(cause) => Some(cause),
            Self::TooSlow(_) => Some(CutCause::SlowCaller),
            Self::Whole | Self::CallerLeft => None,
        }
    }
}

/// Waits until the caller has the rest of its answer, which has ended at its leader. Lack of
/// memory may still end it.
pub(crate) async fn watch_delivery(
    node: &Node,
    id: &HeaderValue,
    cut: Option<CutCause>,
    chunks: &BacklogSender,
) {
    if let Closed::TooSlow(bytes) = chunks.closed().await
        && cut.is_none()
    {
        log_slow_caller(node, id, bytes);
        node.metrics.on_cut_stream(CutCause::SlowCaller);
    }
}

/// Logs that the stream of a caller ended because it read too slowly.
pub(crate) fn log_slow_caller(node: &Node, id: &HeaderValue, bytes: usize) {
    info!(node.log, "caller too slow"; "request" => id.to_str().unwrap_or("?"), "bytes" => bytes);
}
