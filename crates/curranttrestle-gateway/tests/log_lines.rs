//! Writes log lines to an output that records each write.

use std::io::Write;
use std::sync::{Arc, Mutex};

use curranttrestle_gateway::log::QueueWriter;
use flexi_logger::writers::LogWriter;

/// The most that a pipe takes whole.
const PIPE_BUF_BYTES: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct RecordedWrites(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for RecordedWrites {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn burst_of_log_lines_is_not_cut_by_a_reader_that_takes_a_pipe_buffer_at_a_time() {
    let writes = RecordedWrites::default();
    let queue = QueueWriter::new("edge-1", writes.clone());
    for number in 0..1_000 {
        queue.push(format!("line {number} {}\n", "x".repeat(350)));
    }
    queue.flush().unwrap();
    let writes = writes.0.lock().unwrap();
    for bytes in writes.iter() {
        assert!(bytes.len() <= PIPE_BUF_BYTES, "{} bytes", bytes.len());
        assert_eq!(bytes.last(), Some(&b'\n'));
    }
    let lines = writes.concat().split(|byte| *byte == b'\n').count() - 1;
    assert_eq!(lines, 1_000);
}
