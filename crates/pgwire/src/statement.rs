//! The parser of the two statements that clients send, including their comment, which carries the request's
//! class, timeout and so on. A statement of any other form never reaches a ledger host: the host might fail
//! it or close the connection, on which other requests wait.

use std::ops::Range;
use winnow::combinator::{alt, delimited, eof, separated, separated_pair};
use winnow::error::ContextError;
use winnow::stream::{LocatingSlice, Stream};
use winnow::token::{take_till, take_while};
use winnow::Parser;

/// A statement on the table `kv`.
#[derive(Clone, Debug, PartialEq)]
pub struct KvStatement<'a> {
    /// Whether it is the INSERT.
    pub is_write: bool,
    /// The key, without quotes.
    pub key: &'a str,
    /// The bytes of the statement that hold a write's value, as hexadecimal digits; `None` for a read.
    pub value_range: Option<Range<usize>>,
    /// The parsed comment.
    pub comment: Comment,
}

/// The parsed comment of a statement. Its entries are named `id`, `c`, `t`, `d`, `r`, `k`, `cluster` and
/// `after`.
#[derive(Clone, Debug, PartialEq)]
pub struct Comment {
    /// `id`: identifies the request. A client's retry has a new one.
    pub id: String,
    /// `c`: the name of the request class.
    pub class: String,
    /// `t`: the name of the tenant, if any: an installation may have no tenants.
    pub tenant: Option<String>,
    /// `d`: the time that the client waits for the answer, in milliseconds.
    pub timeout_ms: f64,
    /// `r`: whether the client marks the request as a retry.
    pub is_retry: bool,
    /// `k`: the idempotency key, in a class with keys.
    pub key: Option<String>,
    /// `cluster`: the group of hosts that hold the data.
    pub group: u32,
    /// `after`: the time of the session's last write's commit, in Unix milliseconds.
    pub last_write_ms: Option<f64>,
    /// The bytes of the statement that hold the value of `d`, which is replaced in each attempt.
    pub timeout_range: Range<usize>,
}

/// Reports a statement that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// The statement has none of the supported forms.
    #[error("the statement is neither of the two that are served, with a comment of names and values")]
    Form,
    /// A required entry of the comment is missing or empty.
    #[error("the comment lacks `{0}`")]
    Missing(&'static str),
    /// An entry of the comment occurs more than once, so that its value is ambiguous.
    #[error("the comment holds `{0}` twice")]
    Duplicate(String),
    /// The value of an entry is invalid.
    #[error("the comment's `{0}` is not a sensible value")]
    Value(&'static str),
}

type Text<'a> = LocatingSlice<&'a str>;
/// The name and value of an entry, and the bytes of the statement that hold the value.
type Pair<'a> = (&'a str, &'a str, Range<usize>);
type ParseResult<T> = Result<T, ContextError>;

impl<'a> KvStatement<'a> {
    /// Parses a complete statement.
    ///
    /// # Errors
    /// Returns an error if the statement has another form, or an entry of its comment is missing, duplicated
    /// or invalid.
    pub fn parse(text: &'a str) -> Result<Self, StatementError> {
        let statement = (alt((read, write)), pairs, eof);
        let mut statement = statement.map(|(start, pairs, _)| (start, pairs));
        let ((key, value_range), pairs) =
            statement.parse(LocatingSlice::new(text)).map_err(|_| StatementError::Form)?;
        Ok(Self { is_write: value_range.is_some(), key, value_range, comment: Comment::from_pairs(&pairs)? })
    }
}

impl Comment {
    fn from_pairs(pairs: &[Pair<'_>]) -> Result<Self, StatementError> {
        for (index, (name, ..)) in pairs.iter().enumerate() {
            if pairs[..index].iter().any(|(other, ..)| other == name) {
                return Err(StatementError::Duplicate((*name).to_owned()));
            }
        }
        let find = |name: &str| pairs.iter().find(|(entry, ..)| *entry == name);
        let value = |name: &'static str| find(name).map(|(_, value, _)| *value);
        let required = |name| value(name).ok_or(StatementError::Missing(name));
        let identifier = |name| match required(name)? {
            "" => Err(StatementError::Missing(name)),
            text if text.len() <= MAX_IDENTIFIER_BYTES && text.chars().all(is_identifier_char) => {
                Ok(text.to_owned())
            }
            _ => Err(StatementError::Value(name)),
        };
        let number = |name, text| decimal(text).ok_or(StatementError::Value(name));
        let group = required("cluster")?;
        let group = group.parse().ok().filter(|_| group.bytes().all(|b| b.is_ascii_digit()));
        Ok(Self {
            id: identifier("id")?,
            class: identifier("c")?,
            tenant: value("t").filter(|name| !name.is_empty()).map(|_| identifier("t")).transpose()?,
            timeout_ms: number("d", required("d")?)?,
            is_retry: value("r") == Some("1"),
            key: find("k").map(|_| identifier("k")).transpose()?,
            group: group.ok_or(StatementError::Value("cluster"))?,
            last_write_ms: value("after").map(|text| number("after", text)).transpose()?,
            timeout_range: find("d")
                .map(|(_, _, range)| range.clone())
                .ok_or(StatementError::Missing("d"))?,
        })
    }
}

/// The maximum number of entries in a comment: each is compared with all others.
const MAX_COMMENT_ENTRIES: usize = 64;
/// The maximum length of ids, names and keys.
const MAX_IDENTIFIER_BYTES: usize = 128;
/// The maximum length of a number; any time in milliseconds is shorter.
const MAX_NUMBER_BYTES: usize = 20;

fn is_identifier_char(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}

/// Parses a plain decimal number. Signs, exponents and words such as `inf`, which Rust's parser accepts, are
/// invalid.
fn decimal(text: &str) -> Option<f64> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    (text.len() <= MAX_NUMBER_BYTES && digits(integer) && digits(fraction))
        .then(|| text.parse().ok())
        .flatten()
}

fn read<'a>(input: &mut Text<'a>) -> ParseResult<(&'a str, Option<Range<usize>>)> {
    delimited("SELECT content FROM kv WHERE name = ", quoted, ' ').map(|key| (key, None)).parse_next(input)
}

fn write<'a>(input: &mut Text<'a>) -> ParseResult<(&'a str, Option<Range<usize>>)> {
    let key = delimited("INSERT INTO kv (name, content) VALUES (", quoted, ", ");
    let value = delimited("'\\x", hex_digits.span(), "') RETURNING content ");
    (key, value.map(Some)).parse_next(input)
}

/// Parses pairs of hexadecimal digits up to the next quote. Works on bytes, and looks at each without a branch,
/// since values are long.
fn hex_digits<'a>(input: &mut Text<'a>) -> ParseResult<&'a str> {
    let text: &'a str = input.as_ref();
    let length = text.find('\'').ok_or_else(ContextError::new)?;
    let are_digits = text.as_bytes()[..length].iter().fold(true, |all, byte| all & byte.is_ascii_hexdigit());
    if !are_digits || !length.is_multiple_of(2) {
        return Err(ContextError::new());
    }
    Ok(input.next_slice(length))
}

fn quoted<'a>(input: &mut Text<'a>) -> ParseResult<&'a str> {
    delimited('\'', take_while(1.., |c: char| c != '\'' && !c.is_control()), '\'').parse_next(input)
}

fn pairs<'a>(input: &mut Text<'a>) -> ParseResult<Vec<Pair<'a>>> {
    let blank = || take_while(0.., ' ');
    delimited(("/*", blank()), separated(1..=MAX_COMMENT_ENTRIES, pair, ','), (blank(), "*/"))
        .parse_next(input)
}

fn pair<'a>(input: &mut Text<'a>) -> ParseResult<Pair<'a>> {
    let name = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    let value = take_till(0.., |c: char| c == ',' || c == '*' || c.is_whitespace()).with_span();
    let (name, (value, range)) = separated_pair(name, '=', value).parse_next(input)?;
    Ok((name, value, range))
}
