//! Statements in procedure calls: `sp_executesql` with its parameters.

use crate::net::frontend::fault::Fault;
use crate::net::messages::InvalidRequest;
use std::fmt::Write;
use wheelpier_tds::{Parameter, Procedure, Rpc, Value as Datum};

/// Returns the statement that a call executes, with parameters replaced by their values; `None` if the call
/// only resets the session.
///
/// # Errors
/// Returns an error if the procedure is not supported, or the call lacks its statement or a parameter.
pub(super) fn statement_of(call: Rpc) -> Result<Option<String>, Fault> {
    if !call.executes_sql() {
        return match &call.procedure {
            Procedure::Name(name) if name.eq_ignore_ascii_case("sp_reset_connection") => Ok(None),
            _ => Err(Fault::Unsupported("only sp_executesql is served".to_owned())),
        };
    }
    let mut parameters = call.parameters.into_iter();
    let Some(Parameter { value: Datum::Text(text), .. }) = parameters.next() else {
        return Err(Fault::Syntax("sp_executesql lacks its statement".to_owned()));
    };
    let declarations = match parameters.next() {
        Some(Parameter { value: Datum::Text(declarations), .. }) => declarations,
        _ => String::new(),
    };
    let mut declared_names =
        declarations.split(',').filter_map(|declaration| declaration.split_whitespace().next());
    let values: Vec<(String, Datum)> = parameters
        .map(|parameter| {
            // Parameters without a name are in the order of their declarations.
            let declared = declared_names.next().unwrap_or_default();
            let name = if parameter.name.is_empty() { declared.to_owned() } else { parameter.name };
            (name, parameter.value)
        })
        .collect();
    substitute(&text, &values).map(Some)
}

/// Replaces parameters by their values, except in quoted text and in the comment at the end.
fn substitute(text: &str, values: &[(String, Datum)]) -> Result<String, Fault> {
    let end = text.find("/*").unwrap_or(text.len());
    let (statement, comment) = text.split_at(end);
    let mut output = String::with_capacity(text.len());
    let mut is_quoted = false;
    let mut remaining = statement;
    while let Some(at) = remaining.find(['\'', '@']) {
        output.push_str(&remaining[..at]);
        if remaining.as_bytes()[at] == b'\'' {
            is_quoted = !is_quoted;
            output.push('\'');
            remaining = &remaining[at + 1..];
        } else if is_quoted {
            output.push('@');
            remaining = &remaining[at + 1..];
        } else {
            let name_length = remaining[at + 1..].find(|c: char| !c.is_alphanumeric() && c != '_');
            let (name, after) =
                remaining[at..].split_at(name_length.map_or(remaining.len() - at, |length| length + 1));
            let value = values.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
            let (_, value) = value.ok_or_else(|| Fault::Syntax(format!("{name} has no value")))?;
            put_literal(&mut output, name, value)?;
            remaining = after;
        }
    }
    output.push_str(remaining);
    output.push_str(comment);
    Ok(output)
}

/// Appends a value as a literal.
fn put_literal(output: &mut String, name: &str, value: &Datum) -> Result<(), Fault> {
    let written = match value {
        Datum::Null => return Err(Fault::Invalid(InvalidRequest::Parameter(format!("{name} is null")))),
        Datum::Int(number) => write!(output, "'{number}'"),
        Datum::Text(text) if text.contains('\'') || text.contains("/*") => {
            return Err(Fault::Invalid(InvalidRequest::Parameter(format!(
                "{name} holds a quote or a comment"
            ))));
        }
        Datum::Text(text) => write!(output, "'{text}'"),
        Datum::Binary(bytes) => {
            output.reserve(bytes.len() * 2 + 4);
            output.push_str("'\\x");
            let digits = bytes.iter().try_for_each(|byte| write!(output, "{byte:02x}"));
            output.push('\'');
            digits
        }
    };
    written.map_err(|_| Fault::Invalid(InvalidRequest::Parameter(format!("{name} cannot be written"))))
}
