//! The comment at the end of a statement, which tells what is asked and how long the client waits.

use std::ops::Range;
use winnow::combinator::{delimited, separated, separated_pair};
use winnow::error::ContextError;
use winnow::stream::LocatingSlice;
use winnow::token::{take_till, take_while};
use winnow::Parser;

/// What a statement's comment says, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Comment {
    /// Identifies the request; new for every try.
    pub id: String,
    /// The class by name.
    pub class: String,
    /// The tenant by name.
    pub tenant: Option<String>,
    /// How long the client waits, in milliseconds.
    pub wait_ms: f64,
    /// Whether the client marks this as a retry.
    pub again: bool,
    /// The group of hosts that hold the data.
    pub group: Option<u32>,
    /// When the session's last write was committed, in Unix milliseconds.
    pub after_ms: Option<f64>,
    /// Where the wait stands in the statement, to be replaced for each attempt.
    pub wait_at: Range<usize>,
}

/// What is wrong with a statement's comment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommentError {
    /// The statement has none, or it is no list of names and values.
    #[error("the statement does not end in a comment of names and values")]
    Missing,
    /// A name that every request needs is not there.
    #[error("the comment lacks `{0}`")]
    Lacks(&'static str),
    /// The value of a name cannot be read.
    #[error("the comment's `{0}` is not a sensible value")]
    Value(&'static str),
}

impl Comment {
    /// Reads the comment of a statement.
    ///
    /// # Errors
    /// When there is none, or what it says is not enough.
    pub fn parse(statement: &str) -> Result<Self, CommentError> {
        // From behind: a quoted value may itself hold the opening of a comment.
        let start = statement.rfind("/*").ok_or(CommentError::Missing)?;
        let text = statement[start..].trim_end().trim_end_matches(';').trim_end();
        let pairs = pairs.parse(LocatingSlice::new(text)).map_err(|_| CommentError::Missing)?;
        let find = |name: &str| pairs.iter().find(|(n, _, _)| *n == name).map(|(_, value, _)| *value);
        let text = |name: &str| find(name).filter(|value| !value.is_empty()).map(str::to_owned);
        let number = |name: &'static str| match find(name) {
            None => Ok(None),
            Some(value) => match value.parse::<f64>() {
                Ok(number) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
                _ => Err(CommentError::Value(name)),
            },
        };
        let wait_ms = number("d")?.ok_or(CommentError::Lacks("d"))?;
        let place = pairs.iter().find(|(n, _, _)| *n == "d").map(|(_, _, place)| place.clone());
        let place = place.ok_or(CommentError::Lacks("d"))?;
        let group = match find("cluster") {
            None => None,
            Some(value) => Some(value.parse().map_err(|_| CommentError::Value("cluster"))?),
        };
        Ok(Self {
            id: text("id").ok_or(CommentError::Lacks("id"))?,
            class: text("c").ok_or(CommentError::Lacks("c"))?,
            tenant: text("t"),
            wait_ms,
            again: find("r") == Some("1"),
            group,
            after_ms: number("after")?,
            wait_at: start + place.start..start + place.end,
        })
    }

    /// The first quoted value of a statement: its key.
    pub fn quoted_key(statement: &str) -> Option<&str> {
        let (_, rest) = statement.split_once('\'')?;
        rest.split_once('\'').map(|(key, _)| key)
    }
}

type Text<'a> = LocatingSlice<&'a str>;
type Pair<'a> = (&'a str, &'a str, Range<usize>);

fn pairs<'a>(input: &mut Text<'a>) -> Result<Vec<Pair<'a>>, ContextError> {
    let blank = || take_while(0.., char::is_whitespace);
    delimited(("/*", blank()), separated(1.., pair, ','), (blank(), "*/")).parse_next(input)
}

fn pair<'a>(input: &mut Text<'a>) -> Result<Pair<'a>, ContextError> {
    let name = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    let value = take_till(0.., |c: char| c == ',' || c == '*' || c.is_whitespace()).with_span();
    let (name, (value, place)) = separated_pair(name, '=', value).parse_next(input)?;
    Ok((name, value, place))
}
