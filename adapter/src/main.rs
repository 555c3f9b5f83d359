//! Connects routers to the simulator through its line protocol: reads lines from standard input, passes each
//! event to the router that it is for and writes the router's actions to standard output.
//!
//! The adapter only translates: names to ids, seconds to microseconds, and back.
#![warn(clippy::unwrap_used)]

mod wire;

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;
use thiserror::Error;
use wire::{LineProtocol, Progress, WireError};

/// Size of the input and output buffers, in bytes.
const BUFFER_BYTES: usize = 1 << 16;

/// Error that ends the adapter before the end of its input.
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
    let mut protocol = LineProtocol::default();
    let mut bytes = Vec::new();
    let mut line = 0u64;
    loop {
        bytes.clear();
        let length = input.read_until(b'\n', &mut bytes).map_err(AdapterError::Input)?;
        if length == 0 {
            return protocol.finish().map_err(|error| AdapterError::Protocol { line, error });
        }
        line += 1;
        let text = std::str::from_utf8(&bytes).map_err(|_| AdapterError::Encoding { line })?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        let progress = protocol.handle_line(text).map_err(|error| AdapterError::Protocol { line, error })?;
        if progress == Progress::BatchComplete {
            output.write_all(protocol.reply().as_bytes()).map_err(AdapterError::Output)?;
            output.flush().map_err(AdapterError::Output)?;
            protocol.clear_reply();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wheelpier-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
