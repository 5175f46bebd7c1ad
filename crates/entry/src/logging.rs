//! Structured logs on the standard output, one JSON object a line.
//!
//! Lines wait in a bounded queue and are written by a thread of their own; what
//! doesn't fit is dropped and counted, so that logging never blocks a request.

use std::time::SystemTime;

use slog::{Drain as _, FnValue, Logger, PushFnValue, o};
use slog_async::OverflowStrategy;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 1_024;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Builds the logger of a process.
pub fn logger(node: &str) -> Logger {
    let json = slog_json::Json::new(std::io::stdout())
        .add_key_value(o!(
            "unix_ms" => FnValue(|_: &slog::Record<'_>| unix_ms()),
            "level" => FnValue(|record: &slog::Record<'_>| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &slog::Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build()
        .fuse();
    let queue = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(queue, o!("node" => node.to_owned()))
}
