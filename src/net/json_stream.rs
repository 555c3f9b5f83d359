//! JSON values one after the other in a stream, however they are cut, joined, indented or parted by blank lines. It
//! finds where each ends, in one pass over the bytes, and leaves what they mean to others. Guards against a value that
//! never ends and against bytes that are none.

use bytes::{Buf, BytesMut};

/// A longer value is no list of hosts.
const MOST: usize = 4 << 20;

/// What stands in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Value {
    /// A line that ends outside of any value: a sign of life.
    Blank,
    /// An object, whole.
    Object(Vec<u8>),
}

/// Why the stream cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ValueError {
    #[error("a value is too long")]
    TooLong,
    #[error("what comes is no object")]
    NoObject,
}

/// Cuts a stream into values.
#[derive(Debug, Default)]
pub(super) struct Values {
    held: BytesMut,
    /// So many bytes of it are looked at already.
    seen: usize,
    /// Objects and arrays that are open.
    depth: usize,
    text: bool,
    escaped: bool,
}

impl Values {
    /// Takes what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next that is whole; none while it is cut off.
    ///
    /// # Errors
    /// When what comes is no object, or has no end.
    pub fn next(&mut self) -> Result<Option<Value>, ValueError> {
        while let Some(byte) = self.held.get(self.seen).copied() {
            self.seen += 1;
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        self.held.advance(self.seen - 1);
                        (self.seen, self.depth) = (1, 1);
                    }
                    b'\n' => {
                        self.taken();
                        return Ok(Some(Value::Blank));
                    }
                    byte if byte.is_ascii_whitespace() => {}
                    _ => return Err(ValueError::NoObject),
                }
            } else if self.within(byte) {
                return Ok(Some(Value::Object(self.taken().to_vec())));
            }
        }
        if self.depth == 0 {
            self.taken();
        }
        if self.held.len() > MOST {
            return Err(ValueError::TooLong);
        }
        Ok(None)
    }

    /// Takes a byte of a value; whether it is the last.
    fn within(&mut self, byte: u8) -> bool {
        match (self.text, byte) {
            (true, _) if self.escaped => self.escaped = false,
            (true, b'\\') => self.escaped = true,
            (_, b'"') => self.text = !self.text,
            (false, b'{' | b'[') => self.depth += 1,
            (false, b'}' | b']') => self.depth -= 1,
            _ => {}
        }
        self.depth == 0
    }

    fn taken(&mut self) -> BytesMut {
        self.held.split_to(std::mem::take(&mut self.seen))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn all(values: &mut Values) -> Vec<Value> {
        std::iter::from_fn(|| values.next().unwrap()).collect()
    }

    fn object(text: &str) -> Value {
        Value::Object(text.as_bytes().to_vec())
    }

    const INDENTED: &str = "{\n  \"index\": 4,\n  \"endpoints\": [\n    {\"name\": \"}\\\"{\\\\\"}\n  ]\n}";

    #[rstest]
    #[case::a_line("{\"index\":4}\n", vec![object("{\"index\":4}"), Value::Blank])]
    #[case::two_in_one("{\"a\":1}{\"b\":[{}]}", vec![object("{\"a\":1}"), object("{\"b\":[{}]}")])]
    #[case::indented(INDENTED, vec![object(INDENTED)])]
    #[case::blank_lines("\n \r\n{}\n", vec![Value::Blank, Value::Blank, object("{}"), Value::Blank])]
    fn values_come_whole_however_they_are_cut(#[case] stream: &str, #[case] expected: Vec<Value>) {
        for size in 1..=stream.len() {
            let mut values = Values::default();
            let mut heard = Vec::new();
            for chunk in stream.as_bytes().chunks(size) {
                values.push(chunk);
                heard.extend(all(&mut values));
            }
            assert_eq!(heard, expected, "in pieces of {size}");
        }
    }

    #[rstest]
    #[case::a_word("null\n", ValueError::NoObject)]
    #[case::an_array("[{}]", ValueError::NoObject)]
    #[case::an_end_without_a_beginning("}", ValueError::NoObject)]
    fn what_is_no_object_ends_it(#[case] stream: &str, #[case] expected: ValueError) {
        let mut values = Values::default();
        values.push(stream.as_bytes());
        assert_eq!(values.next(), Err(expected));
    }

    #[test]
    fn a_value_without_an_end_is_given_up_and_costs_one_pass() {
        let mut values = Values::default();
        values.push(b"{\"name\":\"");
        let mut pieces = 0;
        let problem = loop {
            pieces += 1;
            values.push(&[b'x'; 4096]);
            match values.next() {
                Ok(none) => assert_eq!(none, None),
                Err(problem) => break problem,
            }
        };
        assert_eq!((problem, pieces), (ValueError::TooLong, 1024));
    }

    #[test]
    fn white_space_is_not_kept() {
        let mut values = Values::default();
        for _ in 0..10 {
            values.push(&[b' '; 4096]);
            assert_eq!(values.next(), Ok(None));
            assert!(values.held.is_empty());
        }
    }
}
