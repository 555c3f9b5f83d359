//! What clients ask: batches and procedure calls (2.2.6.6, 2.2.6.7).

use crate::text::{self, whole, Read};
use crate::value::{DataType, Value};
use crate::WireError;
use bytes::{BufMut, BytesMut};
use winnow::binary::{le_u16, le_u32, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;
use winnow::Parser;

/// The number of `sp_executesql` (2.2.6.6).
pub const SP_EXECUTESQL: u16 = 10;
/// What drivers call the first parameter of `sp_executesql`, if they name it.
pub const STATEMENT_PARAMETER: &str = "@stmt";

const BY_NUMBER: u16 = 0xffff;
const TRANSACTION: u16 = 2;
/// The transaction header: its own length, its type, no transaction, one request outstanding.
const HEADERS: u32 = 22;
const BY_REFERENCE: u8 = 0x01;
/// A call of more than one procedure is told by this byte behind a parameter (7.2 and later).
const NEXT: u8 = 0xff;
const NEXT_NO_EXEC: u8 = 0xfe;
/// SQL Server takes as many.
const MOST_PARAMETERS: usize = 2_100;

/// Which procedure is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Procedure {
    /// One of those with a number.
    Number(u16),
    /// One by name.
    Name(String),
}

/// A parameter of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// Its name with the `@`; empty where it goes by its place.
    pub name: String,
    /// Whether the procedure gives it back.
    pub output: bool,
    /// Its type.
    pub kind: DataType,
    /// Its value.
    pub value: Value,
}

/// A procedure call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rpc {
    /// The procedure.
    pub procedure: Procedure,
    /// Its option flags.
    pub options: u16,
    /// Its parameters in their order.
    pub parameters: Vec<Parameter>,
}

/// ALL_HEADERS (2.2.5.3): their lengths must add up; what they say is not needed here.
fn all_headers(input: &mut &[u8]) -> Read<()> {
    let total = le_u32.verify(|total| *total >= 4).parse_next(input)?;
    let mut headers = take(total - 4).parse_next(input)?;
    while !headers.is_empty() {
        let length = le_u32.verify(|length| *length >= 6).parse_next(&mut headers)?;
        take(length - 4).void().parse_next(&mut headers)?;
    }
    Ok(())
}

/// Writes ALL_HEADERS with a transaction descriptor of none.
pub fn put_all_headers(out: &mut BytesMut) {
    out.put_u32_le(HEADERS);
    out.put_u32_le(HEADERS - 4);
    out.put_u16_le(TRANSACTION);
    out.put_u64_le(0);
    out.put_u32_le(1);
}

/// Reads a batch's payload: its text.
///
/// # Errors
/// When the headers do not add up or the text is no UTF-16.
pub fn batch(payload: &[u8]) -> Result<String, WireError> {
    let text = |input: &mut &[u8]| {
        all_headers(input)?;
        let units = input.len() / 2;
        text::sized(units).parse_next(input)
    };
    whole(payload, text, "a batch")
}

impl Rpc {
    /// Writes a payload.
    pub fn put(&self, out: &mut BytesMut) {
        put_all_headers(out);
        match &self.procedure {
            Procedure::Number(number) => {
                out.put_u16_le(BY_NUMBER);
                out.put_u16_le(*number);
            }
            Procedure::Name(name) => text::put_long(out, name),
        }
        out.put_u16_le(self.options);
        for parameter in &self.parameters {
            text::put_short(out, &parameter.name);
            out.put_u8(u8::from(parameter.output) * BY_REFERENCE);
            parameter.kind.put(out);
            parameter.kind.put_value(out, &parameter.value);
        }
    }

    /// Whether it calls `sp_executesql`, by number or by name.
    pub fn executes_sql(&self) -> bool {
        match &self.procedure {
            Procedure::Number(number) => *number == SP_EXECUTESQL,
            Procedure::Name(name) => name
                .rsplit('.')
                .next()
                .is_some_and(|n| n.trim_matches(['[', ']']).eq_ignore_ascii_case("sp_executesql")),
        }
    }
}

/// Reads a call's payload.
///
/// # Errors
/// When it makes no sense, has a parameter of a type that is not taken, or calls more than one procedure.
pub fn rpc(payload: &[u8]) -> Result<Rpc, WireError> {
    whole(payload, call, "a procedure call")
}

fn call(input: &mut &[u8]) -> Read<Rpc> {
    all_headers(input)?;
    let procedure = match le_u16.parse_next(input)? {
        BY_NUMBER => Procedure::Number(le_u16.parse_next(input)?),
        units => Procedure::Name(text::sized(usize::from(units)).parse_next(input)?),
    };
    let options = le_u16.parse_next(input)?;
    let mut parameters = Vec::new();
    while let Some(first) = input.first() {
        if matches!(*first, NEXT | NEXT_NO_EXEC) || parameters.len() == MOST_PARAMETERS {
            return Err(ContextError::new());
        }
        let name = text::short(input)?;
        let status = byte.parse_next(input)?;
        let kind = DataType::parse(input)?;
        let value = kind.value(input)?;
        parameters.push(Parameter { name, output: status & BY_REFERENCE != 0, kind, value });
    }
    Ok(Rpc { procedure, options, parameters })
}
