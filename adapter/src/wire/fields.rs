//! The fields of a line, which are separated by tabs and read in order.

use super::error::WireError;
use wheelpier_decisions::settings::micros_from_seconds;
use wheelpier_decisions::TimeDelta;

/// The fields of a message that have not been read yet.
pub struct Fields<'a> {
    message: &'a str,
    remaining: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into the message's name and its fields.
    pub fn new(line: &'a str) -> Self {
        match line.split_once('\t') {
            Some((message, remaining)) => Self { message, remaining: Some(remaining) },
            None => Self { message: line, remaining: None },
        }
    }

    /// Returns the name of the message in the protocol.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// Returns an error that names a field of this message.
    pub fn invalid(&self, field: &'static str, problem: impl Into<String>) -> WireError {
        WireError::Field { message: self.message.to_owned(), field, problem: problem.into() }
    }

    /// Reads the next field as text.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        let remaining = self.remaining.ok_or_else(|| self.invalid(field, "missing"))?;
        match remaining.split_once('\t') {
            Some((text, remaining)) => {
                self.remaining = Some(remaining);
                Ok(text)
            }
            None => {
                self.remaining = None;
                Ok(remaining)
            }
        }
    }

    /// Reads the next field as text; `None` if it is `-` or empty.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<&'a str>, WireError> {
        self.text(field).map(|text| Some(text).filter(|text| !matches!(*text, "-" | "")))
    }

    /// Reads the rest of the line as one field, including tabs.
    pub fn last(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        self.remaining.take().ok_or_else(|| self.invalid(field, "missing"))
    }

    /// Checks that no field is left.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.remaining {
            Some(_) => Err(WireError::ExcessFields(self.message.to_owned())),
            None => Ok(()),
        }
    }

    /// Reads the next field as an unsigned 64-bit integer.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.invalid(field, format!("`{text}` is not a whole number")))
    }

    /// Reads the next field as an unsigned 32-bit integer.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.invalid(field, format!("`{text}` is not a 32-bit whole number")))
    }

    /// Reads the next field as a finite number.
    pub fn number(&mut self, field: &'static str) -> Result<f64, WireError> {
        self.optional_number(field)?.ok_or_else(|| self.invalid(field, "missing"))
    }

    /// Reads the next field as a finite number; `None` if it is absent.
    pub fn optional_number(&mut self, field: &'static str) -> Result<Option<f64>, WireError> {
        let Some(text) = self.optional_text(field)? else { return Ok(None) };
        let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
        number.map(Some).ok_or_else(|| self.invalid(field, format!("`{text}` is not a number")))
    }

    /// Reads the next field as a count; 0 if it is absent.
    pub fn count(&mut self, field: &'static str) -> Result<u32, WireError> {
        match self.optional_number(field)? {
            None => Ok(0),
            Some(number) if (0.0..=f64::from(u32::MAX)).contains(&number) => Ok(number as u32),
            Some(number) => Err(self.invalid(field, format!("`{number}` is out of range"))),
        }
    }

    /// Reads the next field as a time in seconds.
    pub fn seconds(&mut self, field: &'static str) -> Result<TimeDelta, WireError> {
        self.number(field).map(|seconds| TimeDelta(micros_from_seconds(seconds)))
    }

    /// Reads the next field as a flag, `0` or `1`; false if it is absent.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, WireError> {
        match self.optional_text(field)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(self.invalid(field, format!("`{other}` is neither 0 nor 1"))),
        }
    }
}
