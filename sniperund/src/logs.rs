//! Logging: one line of key=value pairs per event, on standard output.
//!
//! Lines go through a bounded queue to a separate writer thread, so that a stalled reader of
//! standard output does not block the instance. Lines that do not fit are dropped, and their
//! number is logged. Above a rate limit, routine lines of requests are sampled by request id.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;
use std::time::SystemTime;

use log::LevelFilter;
use xxhash_rust::xxh3::xxh3_64;

use crate::single_line::SingleLine;

/// Maximum number of lines waiting for the writer: about a megabyte.
const QUEUE_CAPACITY: usize = 4_096;
/// Time during which lines are collected for one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Request lines per second above which the share of logged requests is halved.
const MAX_REQUEST_LINES_PER_S: u64 = 400;
/// Maximum number of halvings of the share of logged requests.
const MAX_HALVINGS: u32 = 12;
const SECOND_US: u64 = 1_000_000;

/// Maximum time that the exit of the process is delayed for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of lines dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Queue to the writer thread.
static LINE_QUEUE: OnceLock<mpsc::SyncSender<WriterMessage>> = OnceLock::new();

/// Message to the writer thread.
enum WriterMessage {
    /// A complete line.
    Line(Vec<u8>),
    /// Requests a reply once all earlier lines are written.
    Flush(mpsc::SyncSender<()>),
}

/// Installs the logger and starts its writer thread.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn start(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let (lines, receiver) = mpsc::sync_channel(QUEUE_CAPACITY);
    let _ = LINE_QUEUE.set(lines.clone());
    let writer = QueueWriter {
        lines,
        line: Vec::new(),
    };
    std::thread::spawn(move || write_lines(&receiver));
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level().as_str().to_ascii_lowercase();
            let message = SingleLine(message);
            out.finish(format_args!("time={time} level={level} {message}"));
        })
        .level(level)
        .level_for("tarpc", LevelFilter::Off)
        .chain(fern::Output::writer(Box::new(writer), "\n"))
        .apply()
}

/// Waits until all queued lines are written, for a bounded time.
pub fn flush_queue() {
    let (reply, receiver) = mpsc::sync_channel(1);
    if let Some(lines) = LINE_QUEUE.get()
        && lines.try_send(WriterMessage::Flush(reply)).is_ok()
    {
        // No reply means that the reader of standard output has stalled; the process exits anyway.
        let _ = receiver.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Returns the number of lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Puts complete lines into the queue without blocking.
struct QueueWriter {
    lines: mpsc::SyncSender<WriterMessage>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if self.lines.try_send(WriterMessage::Line(line)).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Appends a line to `text`, or returns the channel for the reply to a flush request.
fn append_line(message: WriterMessage, text: &mut Vec<u8>) -> Option<mpsc::SyncSender<()>> {
    match message {
        WriterMessage::Line(line) => {
            text.extend_from_slice(&line);
            None
        }
        WriterMessage::Flush(reply) => Some(reply),
    }
}

fn write_lines(receiver: &mpsc::Receiver<WriterMessage>) {
    let mut reported = 0;
    while let Ok(first) = receiver.recv() {
        let mut text = Vec::new();
        let mut flush_request = append_line(first, &mut text);
        if flush_request.is_none() {
            std::thread::sleep(BATCH_INTERVAL);
        }
        while let Ok(message) = receiver.try_recv() {
            flush_request = append_line(message, &mut text).or(flush_request);
        }
        let dropped = dropped();
        if dropped > reported {
            let lines = dropped - reported;
            text.extend_from_slice(format!("event=log-lines-dropped lines={lines}\n").as_bytes());
            reported = dropped;
        }
        // A failed write cannot be reported anywhere else.
        let _ = io::stdout().write_all(&text);
        if let Some(reply) = flush_request {
            let _ = reply.send(());
        }
    }
}

/// Selects the requests whose routine lines are logged, so that their rate stays bounded.
///
/// The choice is a hash of the request id, so instances that halve equally often choose the same
/// requests.
#[derive(Clone, Debug, Default)]
pub struct Sampler {
    state: Arc<SamplerState>,
}

#[derive(Debug, Default)]
struct SamplerState {
    second: AtomicU64,
    lines: AtomicU64,
    halvings: AtomicU32,
}

impl Sampler {
    /// Whether the routine lines of the request with this id are logged.
    pub fn is_sampled(&self, now_us: u64, id: &str) -> bool {
        let second = now_us / SECOND_US;
        if self.state.second.swap(second, Ordering::Relaxed) != second {
            self.adjust_halvings(self.state.lines.swap(0, Ordering::Relaxed));
        }
        let halvings = self.state.halvings.load(Ordering::Relaxed);
        let is_logged = xxh3_64(id.as_bytes()) & ((1 << halvings) - 1) == 0;
        if is_logged {
            self.state.lines.fetch_add(2, Ordering::Relaxed);
        }
        is_logged
    }

    fn adjust_halvings(&self, lines: u64) {
        let halvings = self.state.halvings.load(Ordering::Relaxed);
        let next = if lines > MAX_REQUEST_LINES_PER_S {
            (halvings + 1).min(MAX_HALVINGS)
        } else if lines < MAX_REQUEST_LINES_PER_S / 4 {
            halvings.saturating_sub(1)
        } else {
            halvings
        };
        self.state.halvings.store(next, Ordering::Relaxed);
    }
}
