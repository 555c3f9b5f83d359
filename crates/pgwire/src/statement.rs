//! The two statements that clients send, read whole: the form, the key and the comment, which tells what is
//! asked and how long the client waits. What is not exactly so never reaches a ledger host, which would answer
//! or close on it whatever else waits there.

use std::ops::Range;
use winnow::combinator::{alt, delimited, eof, separated, separated_pair};
use winnow::error::ContextError;
use winnow::stream::LocatingSlice;
use winnow::token::{take_till, take_while};
use winnow::Parser;

/// A statement on the table.
#[derive(Clone, Debug, PartialEq)]
pub struct KvStatement<'a> {
    /// Whether it writes.
    pub is_write: bool,
    /// The quoted key.
    pub key: &'a str,
    /// Where a write's value stands, in hexadecimal digits.
    pub value_range: Option<Range<usize>>,
    /// What its comment says.
    pub comment: Comment,
}

/// What a statement's comment says, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Comment {
    /// Identifies the request; new for every try.
    pub id: String,
    /// The class by name.
    pub class: String,
    /// The tenant by name, where the statement names one: an installation may have none.
    pub tenant: Option<String>,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: f64,
    /// Whether the client marks this as a retry.
    pub is_retry: bool,
    /// The idempotency key, in a keyed class.
    pub key: Option<String>,
    /// The group of hosts that hold the data.
    pub group: u32,
    /// When the session's last write was committed, in Unix milliseconds.
    pub last_write_ms: Option<f64>,
    /// Where the wait stands in the statement, to be replaced for each attempt.
    pub timeout_range: Range<usize>,
}

/// What is wrong with a statement.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// It is neither of the two that are served.
    #[error("the statement is neither of the two that are served, with a comment of names and values")]
    Form,
    /// A name that every request needs is not there.
    #[error("the comment lacks `{0}`")]
    Lacks(&'static str),
    /// A name stands there more than once: which one counts?
    #[error("the comment holds `{0}` twice")]
    Twice(String),
    /// The value of a name cannot be read.
    #[error("the comment's `{0}` is not a sensible value")]
    Value(&'static str),
}

type Text<'a> = LocatingSlice<&'a str>;
type Pair<'a> = (&'a str, &'a str, Range<usize>);
type Read<T> = Result<T, ContextError>;

impl<'a> KvStatement<'a> {
    /// Reads a statement to its last byte.
    ///
    /// # Errors
    /// When it has another form, or its comment says too little, too much or what makes no sense.
    pub fn parse(text: &'a str) -> Result<Self, StatementError> {
        let statement = (alt((read, write)), pairs, eof);
        let mut statement = statement.map(|(start, pairs, _)| (start, pairs));
        let ((key, value_range), pairs) =
            statement.parse(LocatingSlice::new(text)).map_err(|_| StatementError::Form)?;
        Ok(Self { is_write: value_range.is_some(), key, value_range, comment: Comment::of(&pairs)? })
    }
}

impl Comment {
    fn of(pairs: &[Pair<'_>]) -> Result<Self, StatementError> {
        for (n, (name, ..)) in pairs.iter().enumerate() {
            if pairs[..n].iter().any(|(other, ..)| other == name) {
                return Err(StatementError::Twice((*name).to_owned()));
            }
        }
        let find = |name: &str| pairs.iter().find(|(n, ..)| *n == name);
        let value = |name: &'static str| find(name).map(|(_, value, _)| *value);
        let needed = |name| value(name).ok_or(StatementError::Lacks(name));
        let word = |name| match needed(name)? {
            "" => Err(StatementError::Lacks(name)),
            text if text.len() <= MOST_WORD && text.chars().all(wordly) => Ok(text.to_owned()),
            _ => Err(StatementError::Value(name)),
        };
        let number = |name, text| decimal(text).ok_or(StatementError::Value(name));
        let group = needed("cluster")?;
        let group = group.parse().ok().filter(|_| group.bytes().all(|b| b.is_ascii_digit()));
        Ok(Self {
            id: word("id")?,
            class: word("c")?,
            tenant: value("t").filter(|name| !name.is_empty()).map(|_| word("t")).transpose()?,
            timeout_ms: number("d", needed("d")?)?,
            is_retry: value("r") == Some("1"),
            key: find("k").map(|_| word("k")).transpose()?,
            group: group.ok_or(StatementError::Value("cluster"))?,
            last_write_ms: value("after").map(|text| number("after", text)).transpose()?,
            timeout_range: find("d").map(|(_, _, place)| place.clone()).ok_or(StatementError::Lacks("d"))?,
        })
    }
}

/// Ids, names and keys are short.
const MOST_WORD: usize = 128;
/// So many digits are a time in milliseconds, with room; more are none.
const MOST_DIGITS: usize = 20;

fn wordly(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}

/// A plain decimal number: neither a sign nor an exponent nor the words that floats have.
fn decimal(text: &str) -> Option<f64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |t: &str| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit());
    (text.len() <= MOST_DIGITS && digits(whole) && digits(part)).then(|| text.parse().ok()).flatten()
}

fn read<'a>(input: &mut Text<'a>) -> Read<(&'a str, Option<Range<usize>>)> {
    delimited("SELECT content FROM kv WHERE name = ", quoted, ' ').map(|key| (key, None)).parse_next(input)
}

fn write<'a>(input: &mut Text<'a>) -> Read<(&'a str, Option<Range<usize>>)> {
    let key = delimited("INSERT INTO kv (name, content) VALUES (", quoted, ", ");
    let hex =
        take_while(0.., |c: char| c.is_ascii_hexdigit()).verify(|hex: &str| hex.len().is_multiple_of(2));
    let value = delimited("'\\x", hex.span(), "') RETURNING content ");
    (key, value.map(Some)).parse_next(input)
}

fn quoted<'a>(input: &mut Text<'a>) -> Read<&'a str> {
    delimited('\'', take_while(1.., |c: char| c != '\'' && !c.is_control()), '\'').parse_next(input)
}

fn pairs<'a>(input: &mut Text<'a>) -> Read<Vec<Pair<'a>>> {
    let blank = || take_while(0.., ' ');
    delimited(("/*", blank()), separated(1.., pair, ','), (blank(), "*/")).parse_next(input)
}

fn pair<'a>(input: &mut Text<'a>) -> Read<Pair<'a>> {
    let name = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    let value = take_till(0.., |c: char| c == ',' || c == '*' || c.is_whitespace()).with_span();
    let (name, (value, place)) = separated_pair(name, '=', value).parse_next(input)?;
    Ok((name, value, place))
}
