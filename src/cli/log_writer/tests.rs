//! The buffer of log lines with outputs that accept writes, stall and fail.

use super::*;
use std::sync::mpsc::{channel, Receiver, Sender};

/// Output that blocks each write until it is released, and sends what was written to a channel.
struct BlockingOutput {
    release: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Does not block any more once the sender is dropped.
        let _ = self.release.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts writing a buffer of `max_bytes` to a blocking output. Returns the buffer, the sender that releases
/// writes, and the receiver of what is written.
fn buffer_with_blocking_output(max_bytes: usize) -> (Arc<LineBuffer>, Sender<()>, Receiver<Vec<u8>>) {
    let lines = Arc::new(LineBuffer::new(max_bytes));
    let (releaser, release) = channel();
    let (written, received) = channel();
    let source = Arc::clone(&lines);
    thread::spawn(move || source.write_all_to(BlockingOutput { release, written }));
    (lines, releaser, received)
}

/// Guards against lines that are lost or reordered while the output is slow.
#[test]
fn lines_are_written_in_order_and_pushing_does_not_wait_for_the_output() {
    let (lines, releaser, received) = buffer_with_blocking_output(1_000);
    (0..50).for_each(|n| lines.push(format!("line {n}\n").as_bytes()));
    assert!(!lines.wait_until_written(Duration::from_millis(20)), "nothing is written yet");
    drop(releaser);
    assert!(lines.wait_until_written(Duration::from_secs(5)));
    let expected: String = (0..50).map(|n| format!("line {n}\n")).collect();
    assert_eq!(String::from_utf8(received.try_iter().flatten().collect()).unwrap(), expected);
}

/// Guards against a buffer that grows without bound while the output stalls, and against partial lines.
#[test]
fn a_full_buffer_drops_complete_lines_and_counts_them() {
    let lines = LineBuffer::new(25);
    (0..4).for_each(|_| lines.push(b"ten bytes\n"));
    let mut taken = Vec::new();
    assert_eq!(lines.take_lines(&mut taken), 2);
    assert_eq!(taken, b"ten bytes\nten bytes\n");
    lines.push(b"again\n");
    let mut taken = Vec::new();
    assert_eq!((lines.take_lines(&mut taken), &taken[..]), (0, &b"again\n"[..]));
}

/// Guards against a thread that ends at the first failed write: later lines would never be written.
#[test]
fn a_failed_write_does_not_end_the_thread() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let lines = Arc::new(LineBuffer::new(1_000));
    let source = Arc::clone(&lines);
    thread::spawn(move || source.write_all_to(Closed));
    for _ in 0..3 {
        lines.push(b"line\n");
        assert!(lines.wait_until_written(Duration::from_secs(5)));
    }
}

/// Guards against buffered lines that are lost when a process that logs to a file is killed.
#[test]
fn only_a_regular_file_is_written_directly() {
    let file = std::fs::File::open(std::env::current_exe().unwrap()).unwrap();
    assert!(is_regular_file(&file));
    let (reader, _writer) = io::pipe().unwrap();
    assert!(!is_regular_file(&reader));
}
