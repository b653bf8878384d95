//! Asynchronous output of log lines.
//!
//! A dedicated thread writes the lines, so that logging never blocks on the output. Lines beyond
//! a per-event budget are left out and counted.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

/// Capacity of the queue to the writing thread; further lines are left out.
const MAX_QUEUED_LINES: usize = 2_048;
/// Lines of one event that may be written in one [`WINDOW`].
pub(crate) const LINES_PER_WINDOW: u32 = 200;
const WINDOW: Duration = Duration::from_secs(1);
/// Longest wait for queued lines in a flush, which is done when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Stack size of the writing thread, in bytes.
const STACK_BYTES: usize = 64 << 10;

/// A writer that queues complete lines for the writing thread.
#[derive(Debug)]
pub struct LogSink {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    queue: Arc<QueueState>,
}

/// Counts of queued lines, and the signal that one was written.
#[derive(Debug, Default)]
struct QueueState {
    counts: Mutex<Counts>,
    line_written: Condvar,
}

#[derive(Debug, Default)]
struct Counts {
    /// Lines that are queued and not yet written.
    queued: usize,
    /// Lines that were left out since the last one was written.
    left_out: u64,
}

impl LogSink {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let queue = Arc::<QueueState>::default();
        let shared = Arc::clone(&queue);
        let builder = thread::Builder::new().name("log".to_owned());
        builder
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&rx, &shared, out))?;
        Ok(Self {
            line: Vec::new(),
            lines: tx,
            queue,
        })
    }

    fn enqueue(&mut self) {
        let line = std::mem::take(&mut self.line);
        let mut counts = self.queue.counts.lock();
        match self.lines.try_send(line) {
            Ok(()) => counts.queued += 1,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => counts.left_out += 1,
        }
    }
}

impl Write for LogSink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            self.enqueue();
        }
        Ok(buf.len())
    }

    /// Waits for queued lines, with a timeout since the output may be blocked.
    fn flush(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut counts = self.queue.counts.lock();
        while counts.queued > 0 {
            if self
                .queue
                .line_written
                .wait_until(&mut counts, deadline)
                .timed_out()
            {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, queue: &QueueState, mut out: impl Write) {
    while let Ok(line) = lines.recv() {
        // An output error has nowhere to be reported.
        let _written = out.write_all(&line);
        let left_out = std::mem::take(&mut queue.counts.lock().left_out);
        if left_out > 0 {
            let _written = writeln!(out, "level=warn event=log_lines_lost lines={left_out}");
        }
        queue.counts.lock().queued -= 1;
        queue.line_written.notify_all();
    }
}

/// Lines of one event in the current window.
#[derive(Debug)]
struct EventBudget {
    window_start: Instant,
    written: u32,
    left_out: u64,
}

static BUDGETS: LazyLock<Mutex<HashMap<String, EventBudget>>> = LazyLock::new(Mutex::default);

/// Takes one line from the event's budget and returns the number of lines left out before it.
///
/// Returns `None` if the budget is exhausted.
pub(crate) fn consume_budget(name: &str, now: Instant) -> Option<u64> {
    let mut budgets = BUDGETS.lock();
    if !budgets.contains_key(name) {
        let budget = EventBudget {
            window_start: now,
            written: 0,
            left_out: 0,
        };
        budgets.insert(name.to_owned(), budget);
    }
    let budget = budgets.get_mut(name)?;
    if now.duration_since(budget.window_start) >= WINDOW {
        budget.window_start = now;
        budget.written = 0;
    }
    if budget.written >= LINES_PER_WINDOW {
        budget.left_out += 1;
        return None;
    }
    budget.written += 1;
    Some(std::mem::take(&mut budget.left_out))
}
