//! Standard output as the logs use it: a reader that stops, leaves or comes back neither
//! blocks the process nor ends its logs.

use std::io;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::stdio::stdout;

/// Longest wait for a reader that has stopped reading.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that a pipe takes without blocking once it says that it takes any (`PIPE_BUF`).
const MAX_WRITE_BYTES: usize = 4_096;

/// Writes complete lines to standard output, and counts those that were lost.
#[derive(Debug, Default)]
pub(crate) struct LogOutput {
    line: Vec<u8>,
    /// Lines lost since the last one that was written.
    lost: u64,
    /// Whether a part of a line was written without its end.
    torn: bool,
}

impl LogOutput {
    /// Writes the collected line, or counts it as lost.
    fn write_line(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        if self.lost > 0 {
            let notice = format!("{{\"msg\":\"log lines lost\",\"count\":{}}}\n", self.lost);
            line.splice(0..0, notice.into_bytes());
        }
        if self.torn {
            line.insert(0, b'\n');
        }
        // Once a reader has stopped, the next lines don't wait for it as well.
        let timeout = match self.lost {
            0 => WRITE_TIMEOUT,
            _ => Duration::ZERO,
        };
        match write_all(&line, timeout) {
            Ok(()) => {
                self.lost = 0;
                self.torn = false;
            }
            Err(written) => {
                self.lost += 1;
                self.torn |= written > 0;
            }
        }
        line.clear();
        self.line = line;
    }
}

/// Writes bytes to standard output. Returns how many were written if not all were.
fn write_all(bytes: &[u8], timeout: Duration) -> Result<(), usize> {
    let mut written = 0;
    while written < bytes.len() {
        let rest = &bytes[written..];
        let part = &rest[..rest.len().min(MAX_WRITE_BYTES)];
        if !is_writable(timeout) {
            return Err(written);
        }
        match rustix::io::write(stdout(), part) {
            Ok(count) => written += count,
            Err(Errno::INTR | Errno::AGAIN) => {}
            Err(_) => return Err(written),
        }
    }
    Ok(())
}

fn is_writable(timeout: Duration) -> bool {
    let stdout = stdout();
    let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
    let timeout = Timespec::try_from(timeout).ok();
    loop {
        match poll(&mut fds, timeout.as_ref()) {
            Ok(ready) => return ready > 0,
            Err(Errno::INTR) => {}
            Err(_) => return false,
        }
    }
}

impl io::Write for LogOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.write_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
