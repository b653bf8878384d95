//! Logging never blocks on the output.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use plantainquay_net::LogSink;

/// An output that blocks until it is released.
struct StuckOutput {
    release: Receiver<()>,
    is_released: bool,
    written: Arc<Mutex<String>>,
}

impl Write for StuckOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.release.recv().map_err(io::Error::other)?;
            self.is_released = true;
        }
        self.written.lock().push_str(&String::from_utf8_lossy(buf));
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stuck_output_blocks_nobody_and_lost_lines_are_counted() {
    const LINES: u32 = 10_000;
    let (tx, rx) = channel();
    let written = Arc::<Mutex<String>>::default();
    let output = StuckOutput {
        release: rx,
        is_released: false,
        written: Arc::clone(&written),
    };
    let mut sink = LogSink::start(output).expect("a thread starts");
    let start = Instant::now();
    for i in 0..LINES {
        writeln!(sink, "event=test line={i}").expect("the sink takes every line");
    }
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "lines are handed over at once"
    );
    tx.send(()).expect("the output waits");
    let deadline = Instant::now() + Duration::from_secs(10);
    while !written.lock().contains("log_lines_lost") && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
    }
    let written = written.lock().clone();
    assert!(written.starts_with("event=test line=0\n"), "{written}");
    assert!(written.contains("event=log_lines_lost lines="), "{written}");
}
