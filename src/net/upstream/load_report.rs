//! Parses a host's load report: the text of a row, with `name=number` pairs separated by commas.

use crate::interface::{LoadReport, LogPosition, Role};

/// Name of the applied position, in Unix seconds.
const APPLIED_POSITION: &str = "x0";
/// Name of the role, which is [`PRIMARY`] or [`REPLICA`].
const ROLE: &str = "x1";
const PRIMARY: f64 = 1.0;
const REPLICA: f64 = 0.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Parses a load report, ignoring pairs with other names. Returns `None` if any pair is malformed or the role
/// is unknown: the rest of such a report cannot be trusted either.
pub(super) fn parse(text: &str) -> Option<LoadReport> {
    let pairs: Vec<(&str, f64)> = text.split(',').map(parse_pair).collect::<Option<_>>()?;
    let number = |wanted: &str| pairs.iter().find(|(name, _)| *name == wanted).map(|(_, number)| *number);
    let position = number(APPLIED_POSITION)
        .map(|seconds| LogPosition((seconds * MICROSECONDS_PER_SECOND).floor() as i64));
    let role = match number(ROLE) {
        None => None,
        Some(PRIMARY) => Some(Role::Primary),
        Some(REPLICA) => Some(Role::Replica),
        Some(_) => return None,
    };
    Some(LoadReport { position, role })
}

fn parse_pair(pair: &str) -> Option<(&str, f64)> {
    let (name, number) = pair.split_once('=')?;
    let number = number.trim().parse::<f64>().ok().filter(|number| number.is_finite())?;
    Some((name.trim(), number))
}
