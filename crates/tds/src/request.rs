//! Requests of clients: batches and procedure calls (2.2.6.6, 2.2.6.7).

use crate::text::{self, parse_whole, ParseResult};
use crate::value::{DataType, Value};
use crate::WireError;
use bytes::{BufMut, BytesMut};
use winnow::binary::{le_u16, le_u32, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;
use winnow::Parser;

/// The procedure number of `sp_executesql` (2.2.6.6).
pub const SP_EXECUTESQL: u16 = 10;
/// The name of the first parameter of `sp_executesql`, which drivers may leave out.
pub const STATEMENT_PARAMETER: &str = "@stmt";

/// The value of the length of a procedure's name if a procedure number follows instead of a name.
const BY_NUMBER: u16 = 0xffff;
/// The header type of the transaction descriptor.
const TRANSACTION_DESCRIPTOR: u16 = 2;
/// The length of an ALL_HEADERS that holds only a transaction descriptor, in bytes.
const ALL_HEADERS_BYTES: u32 = 22;
/// The parameter status flag `fByRefValue`.
const BY_REFERENCE: u8 = 0x01;
/// The byte after the parameters of a call if another call follows in the same message (TDS 7.2 and later).
const NEXT: u8 = 0xff;
/// Like [`NEXT`], but the server does not execute the call that follows.
const NEXT_NO_EXEC: u8 = 0xfe;
/// The maximum number of parameters of a call, as in SQL Server.
const MAX_PARAMETERS: usize = 2_100;

/// The procedure that a call names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Procedure {
    /// A system procedure, by number.
    Number(u16),
    /// A procedure, by name.
    Name(String),
}

/// A parameter of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The name including the `@`; empty if the parameter is positional.
    pub name: String,
    /// Whether it is an output parameter.
    pub output: bool,
    /// The type.
    pub kind: DataType,
    /// The value.
    pub value: Value,
}

/// A procedure call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rpc {
    /// The procedure.
    pub procedure: Procedure,
    /// The option flags.
    pub options: u16,
    /// The parameters in order.
    pub parameters: Vec<Parameter>,
}

/// Skips ALL_HEADERS (2.2.5.3), checking that the lengths of the headers add up to the total length.
fn skip_all_headers(input: &mut &[u8]) -> ParseResult<()> {
    let total = le_u32.verify(|total| *total >= 4).parse_next(input)?;
    let mut headers = take(total - 4).parse_next(input)?;
    while !headers.is_empty() {
        let length = le_u32.verify(|length| *length >= 6).parse_next(&mut headers)?;
        take(length - 4).void().parse_next(&mut headers)?;
    }
    Ok(())
}

/// Writes ALL_HEADERS with a transaction descriptor that names no transaction and one outstanding request.
pub fn put_all_headers(output: &mut BytesMut) {
    output.put_u32_le(ALL_HEADERS_BYTES);
    output.put_u32_le(ALL_HEADERS_BYTES - 4);
    output.put_u16_le(TRANSACTION_DESCRIPTOR);
    output.put_u64_le(0);
    output.put_u32_le(1);
}

/// Parses the payload of a batch and returns its SQL text.
///
/// # Errors
/// Returns an error if the lengths of the headers do not add up to the total length, or the text is not valid
/// UTF-16.
pub fn parse_batch(payload: &[u8]) -> Result<String, WireError> {
    let text = |input: &mut &[u8]| {
        skip_all_headers(input)?;
        let units = input.len() / 2;
        text::parse_units(units).parse_next(input)
    };
    parse_whole(payload, text, "a batch")
}

impl Rpc {
    /// Writes the payload of the call.
    pub fn put(&self, output: &mut BytesMut) {
        put_all_headers(output);
        match &self.procedure {
            Procedure::Number(number) => {
                output.put_u16_le(BY_NUMBER);
                output.put_u16_le(*number);
            }
            Procedure::Name(name) => text::put_long(output, name),
        }
        output.put_u16_le(self.options);
        for parameter in &self.parameters {
            text::put_short(output, &parameter.name);
            output.put_u8(u8::from(parameter.output) * BY_REFERENCE);
            parameter.kind.put(output);
            parameter.kind.put_value(output, &parameter.value);
        }
    }

    /// Whether the procedure is `sp_executesql`, by number or by name.
    pub fn executes_sql(&self) -> bool {
        match &self.procedure {
            Procedure::Number(number) => *number == SP_EXECUTESQL,
            Procedure::Name(name) => name
                .rsplit('.')
                .next()
                .is_some_and(|last| last.trim_matches(['[', ']']).eq_ignore_ascii_case("sp_executesql")),
        }
    }
}

/// Parses the payload of a procedure call.
///
/// # Errors
/// Returns an error if the payload is malformed, has a parameter of an unsupported type, or calls more than
/// one procedure.
pub fn parse_rpc(payload: &[u8]) -> Result<Rpc, WireError> {
    parse_whole(payload, parse_call, "a procedure call")
}

fn parse_call(input: &mut &[u8]) -> ParseResult<Rpc> {
    skip_all_headers(input)?;
    let procedure = match le_u16.parse_next(input)? {
        BY_NUMBER => Procedure::Number(le_u16.parse_next(input)?),
        units => Procedure::Name(text::parse_units(usize::from(units)).parse_next(input)?),
    };
    let options = le_u16.parse_next(input)?;
    let mut parameters = Vec::new();
    while let Some(first) = input.first() {
        if matches!(*first, NEXT | NEXT_NO_EXEC) || parameters.len() == MAX_PARAMETERS {
            return Err(ContextError::new());
        }
        let name = text::parse_short(input)?;
        let status = byte.parse_next(input)?;
        let kind = DataType::parse(input)?;
        let value = kind.parse_value(input)?;
        parameters.push(Parameter { name, output: status & BY_REFERENCE != 0, kind, value });
    }
    Ok(Rpc { procedure, options, parameters })
}
