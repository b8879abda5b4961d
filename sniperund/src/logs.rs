//! The log: one line of key=value pairs an event, on standard output.
//!
//! Lines go into a bounded queue that a thread of its own empties, so that a
//! reader that stalls delays nothing; what does not fit is counted and told.
//! Routine lines of requests are sampled by request id once there are many.

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

/// Lines that wait for the writer at most; about a megabyte.
const QUEUE: usize = 4_096;
/// Time in which lines are gathered for one write.
const GATHER: Duration = Duration::from_millis(100);
/// Lines of requests a second above which fewer requests are logged.
const LINES_PER_S: u64 = 400;
/// Halvings of the share of requests that are logged, at most.
const MAX_HALVINGS: u32 = 12;
const SECOND_US: u64 = 1_000_000;

/// Time that the end of the process waits for the last lines.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

/// Lines that were dropped, as the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// The way to the writer.
static QUEUE_OF_LINES: OnceLock<mpsc::SyncSender<Queued>> = OnceLock::new();

/// What the writer is sent.
enum Queued {
    /// A whole line.
    Line(Vec<u8>),
    /// Asks to be told once all lines before are written.
    Finish(mpsc::SyncSender<()>),
}

/// Starts the log.
///
/// # Errors
///
/// Returns an error if a log was started before.
pub fn start(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let (lines, waiting) = mpsc::sync_channel(QUEUE);
    let _ = QUEUE_OF_LINES.set(lines.clone());
    let writer = QueueWriter {
        lines,
        line: Vec::new(),
    };
    std::thread::spawn(move || write_lines(&waiting));
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("time={time} level={level} {message}"));
        })
        .level(level)
        .level_for("tarpc", LevelFilter::Off)
        .chain(fern::Output::writer(Box::new(writer), "\n"))
        .apply()
}

/// Waits until the lines so far are written, for a bounded time.
pub fn finish() {
    let (written, waiting) = mpsc::sync_channel(1);
    if let Some(lines) = QUEUE_OF_LINES.get()
        && lines.try_send(Queued::Finish(written)).is_ok()
    {
        // Without an answer the reader of the log has stalled; the process ends all the same.
        let _ = waiting.recv_timeout(FINISH_LIMIT);
    }
}

/// Lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Puts whole lines into the queue; never blocks.
struct QueueWriter {
    lines: mpsc::SyncSender<Queued>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if self.lines.try_send(Queued::Line(line)).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Adds a line to a text, or gives whom to tell once it is written.
fn take(queued: Queued, text: &mut Vec<u8>) -> Option<mpsc::SyncSender<()>> {
    match queued {
        Queued::Line(line) => {
            text.extend_from_slice(&line);
            None
        }
        Queued::Finish(written) => Some(written),
    }
}

fn write_lines(waiting: &mpsc::Receiver<Queued>) {
    let mut told = 0;
    while let Ok(first) = waiting.recv() {
        let mut text = Vec::new();
        let mut finishing = take(first, &mut text);
        if finishing.is_none() {
            std::thread::sleep(GATHER);
        }
        while let Ok(queued) = waiting.try_recv() {
            finishing = take(queued, &mut text).or(finishing);
        }
        let dropped = dropped();
        if dropped > told {
            let lines = dropped - told;
            text.extend_from_slice(format!("event=log-lines-dropped lines={lines}\n").as_bytes());
            told = dropped;
        }
        // Without a reader there is nobody to tell of a failed write.
        let _ = io::stdout().write_all(&text);
        if let Some(written) = finishing {
            let _ = written.send(());
        }
    }
}

/// Decides which requests are logged.
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
    pub fn keeps(&self, now_us: u64, id: &str) -> bool {
        let second = now_us / SECOND_US;
        if self.state.second.swap(second, Ordering::Relaxed) != second {
            self.adapt(self.state.lines.swap(0, Ordering::Relaxed));
        }
        let halvings = self.state.halvings.load(Ordering::Relaxed);
        let kept = xxh3_64(id.as_bytes()) & ((1 << halvings) - 1) == 0;
        if kept {
            self.state.lines.fetch_add(2, Ordering::Relaxed);
        }
        kept
    }

    fn adapt(&self, lines: u64) {
        let halvings = self.state.halvings.load(Ordering::Relaxed);
        let next = if lines > LINES_PER_S {
            (halvings + 1).min(MAX_HALVINGS)
        } else if lines < LINES_PER_S / 4 {
            halvings.saturating_sub(1)
        } else {
            halvings
        };
        self.state.halvings.store(next, Ordering::Relaxed);
    }
}
