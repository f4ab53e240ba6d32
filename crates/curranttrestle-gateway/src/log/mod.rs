//! Writes log lines to standard output, through a bounded queue that never blocks a request.

mod rate_limit;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

pub use rate_limit::EventRateLimiter;

/// Lines that wait to be written. When the queue is full, further lines are dropped.
const MAX_QUEUED_LINES: usize = 2_048;

/// Maximum bytes of one write, except for a longer line. A pipe takes this many whole (`PIPE_BUF`);
/// a longer write can be cut in the middle of a line.
const MAX_WRITE_BYTES: usize = 4_096;

/// How long a flush waits for queued lines.
const FLUSH_TIMEOUT_MS: u64 = 200;

/// Handle of the process log, with the number of dropped lines.
#[derive(Clone)]
pub struct LogLines {
    dropped: Arc<AtomicU64>,
    _handle: LoggerHandle,
}

impl LogLines {
    /// Starts the log of this process on standard output. Each line names `instance`.
    ///
    /// # Errors
    ///
    /// [`FlexiLoggerError`] if a log has already been started.
    pub fn start(instance: &str) -> Result<Self, FlexiLoggerError> {
        Self::start_with(instance, std::io::stdout())
    }

    /// Like [`Self::start`], but writes to `output`.
    ///
    /// # Errors
    ///
    /// [`FlexiLoggerError`] if a log has already been started.
    pub fn start_with(
        instance: &str,
        output: impl Write + Send + 'static,
    ) -> Result<Self, FlexiLoggerError> {
        let writer = QueueWriter::new(instance, output);
        let dropped = Arc::clone(&writer.dropped);
        let specification = LogSpecification::builder()
            .default(LevelFilter::Warn)
            .module("curranttrestle", LevelFilter::Info)
            .module("curranttrestle_gateway", LevelFilter::Info)
            .module("curranttrestle_platform", LevelFilter::Info)
            .build();
        let handle = Logger::with(specification)
            .log_to_writer(Box::new(writer))
            .start()?;
        Ok(Self {
            dropped,
            _handle: handle,
        })
    }

    /// The number of lines that were dropped because the reader of the output was too slow or had
    /// exited.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl std::fmt::Debug for LogLines {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("LogLines")
            .field("dropped", &self.dropped())
            .finish_non_exhaustive()
    }
}

/// Queues lines for a thread that writes them.
pub struct QueueWriter {
    instance: String,
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
    queued: AtomicU64,
}

impl QueueWriter {
    /// Starts the thread that writes to `output`.
    #[must_use]
    pub fn new(instance: &str, output: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        let written = Arc::new(AtomicU64::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let counters = (Arc::clone(&written), Arc::clone(&dropped));
        let name = instance.to_owned();
        std::thread::spawn(move || write_lines(&receiver, output, &counters.0, &counters.1, &name));
        Self {
            instance: instance.to_owned(),
            lines,
            dropped,
            written,
            queued: AtomicU64::new(0),
        }
    }

    /// Queues a line, or drops it if the queue is full.
    pub fn push(&self, line: String) {
        match self.lines.try_send(line) {
            Ok(()) => {
                self.queued.fetch_add(1, Ordering::Relaxed);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        self.push(format!(
            "at={} instance={} level={} {}\n",
            now.format("%Y-%m-%dT%H:%M:%S%.3f"),
            self.instance,
            record.level(),
            record.args()
        ));
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        for _ in 0..FLUSH_TIMEOUT_MS {
            if self.written.load(Ordering::Relaxed) >= self.queued.load(Ordering::Relaxed) {
                break;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

/// Writes lines in batches until the queue is closed.
fn write_lines(
    lines: &Receiver<String>,
    mut output: impl Write,
    written: &AtomicU64,
    dropped: &AtomicU64,
    instance: &str,
) {
    let mut reported = 0;
    let mut next_line = None;
    while let Some(mut batch) = next_line.take().or_else(|| lines.recv().ok()) {
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            if batch.len() + line.len() > MAX_WRITE_BYTES {
                next_line = Some(line);
                break;
            }
            batch.push_str(&line);
            count += 1;
        }
        let total_dropped = dropped.load(Ordering::Relaxed);
        if total_dropped > reported {
            let new_dropped = total_dropped - reported;
            let line = format!(
                "instance={instance} level=WARN kind=log-lines-dropped count={new_dropped}\n"
            );
            batch.push_str(&line);
            reported = total_dropped;
        }
        let result = output
            .write_all(batch.as_bytes())
            .and_then(|()| output.flush());
        written.fetch_add(count, Ordering::Relaxed);
        if result.is_err() {
            // The output cannot be written, so the lines count as dropped.
            dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}
