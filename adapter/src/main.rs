//! Reads the simulator's lines, hands each event to the router of its instance and writes the actions.
//!
//! Nothing is decided here: names become numbers, seconds become microseconds, and back.

mod wire;

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut wire = wire::Wire::default();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return wire.end().map_err(|e| format!("line {number}: {e}"));
        }
        number += 1;
        let text = std::str::from_utf8(&line).map_err(|_| format!("line {number}: not UTF-8"))?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        if wire.line(text).map_err(|e| format!("line {number}: {e}"))? {
            let write = |e: io::Error| format!("standard output: {e}");
            output.write_all(wire.reply().as_bytes()).map_err(write)?;
            output.flush().map_err(write)?;
            wire.sent();
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
