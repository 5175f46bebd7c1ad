//! Structured logs on standard output, one JSON object per line.
//!
//! A separate thread writes the lines from a bounded queue. Lines that do not fit are
//! dropped and counted, so that logging never blocks a request. So are lines that nobody
//! reads.

use std::time::SystemTime;

use slog::{Drain as _, FnValue, Logger, PushFnValue, o};
use slog_async::OverflowStrategy;

use crate::log_output::LogOutput;

/// Maximum number of lines in the queue.
const MAX_QUEUED_LINES: usize = 1_024;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Builds the logger of the process on the VM `node`.
pub(crate) fn logger(node: &str) -> Logger {
    let json = slog_json::Json::new(LogOutput::default())
        .add_key_value(o!(
            "unix_ms" => FnValue(|_: &slog::Record<'_>| unix_ms()),
            "level" => FnValue(|record: &slog::Record<'_>| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &slog::Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build()
        .fuse();
    let queue = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(queue, o!("node" => node.to_owned()))
}
