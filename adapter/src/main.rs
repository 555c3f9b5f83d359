//! Puts the decisions on the simulator's line protocol: reads lines from standard input, hands each event to the router of
//! its instance and writes the actions to standard output.
//!
//! Nothing is decided here: names become numbers, seconds become microseconds, and back.
#![warn(clippy::unwrap_used)]

mod wire;

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;
use thiserror::Error;
use wire::{Progress, Wire, WireError};

/// Bytes that are read or written at once.
const BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("standard input: {0}")]
    Input(io::Error),
    #[error("standard output: {0}")]
    Output(io::Error),
    #[error("line {line}: not UTF-8")]
    Encoding { line: u64 },
    #[error("line {line}: {error}")]
    Protocol { line: u64, error: WireError },
}

fn run() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut wire = Wire::default();
    let mut bytes = Vec::new();
    let mut line = 0u64;
    loop {
        bytes.clear();
        let read = input.read_until(b'\n', &mut bytes).map_err(AdapterError::Input)?;
        if read == 0 {
            return wire.finish().map_err(|error| AdapterError::Protocol { line, error });
        }
        line += 1;
        let text = std::str::from_utf8(&bytes).map_err(|_| AdapterError::Encoding { line })?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        let progress = wire.line(text).map_err(|error| AdapterError::Protocol { line, error })?;
        if progress == Progress::BatchComplete {
            output.write_all(wire.reply().as_bytes()).map_err(AdapterError::Output)?;
            output.flush().map_err(AdapterError::Output)?;
            wire.reply_sent();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("wheelpier-simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
