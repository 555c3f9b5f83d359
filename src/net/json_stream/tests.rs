use super::*;
use rstest::rstest;

fn all(json: &mut JsonStream) -> Vec<StreamItem> {
    std::iter::from_fn(|| json.next().unwrap()).collect()
}

fn object(text: &str) -> StreamItem {
    StreamItem::Object(text.as_bytes().to_vec())
}

const INDENTED: &str = "{\n  \"index\": 4,\n  \"endpoints\": [\n    {\"name\": \"}\\\"{\\\\\"}\n  ]\n}";

#[rstest]
#[case::a_line("{\"index\":4}\n", vec![object("{\"index\":4}"), StreamItem::LineEnd])]
#[case::two_in_one("{\"a\":1}{\"b\":[{}]}", vec![object("{\"a\":1}"), object("{\"b\":[{}]}")])]
#[case::indented(INDENTED, vec![object(INDENTED)])]
#[case::blank_lines("\n \r\n{}\n", vec![StreamItem::LineEnd, StreamItem::LineEnd, object("{}"), StreamItem::LineEnd])]
fn objects_are_complete_however_they_are_cut(#[case] stream: &str, #[case] expected: Vec<StreamItem>) {
    for size in 1..=stream.len() {
        let mut json = JsonStream::default();
        let mut read = Vec::new();
        for chunk in stream.as_bytes().chunks(size) {
            json.push(chunk);
            read.extend(all(&mut json));
        }
        assert_eq!(read, expected, "in pieces of {size}");
    }
}

#[rstest]
#[case::a_word("null\n", JsonStreamError::NotAnObject)]
#[case::an_array("[{}]", JsonStreamError::NotAnObject)]
#[case::an_end_without_a_beginning("}", JsonStreamError::NotAnObject)]
fn anything_but_an_object_is_an_error(#[case] stream: &str, #[case] expected: JsonStreamError) {
    let mut json = JsonStream::default();
    json.push(stream.as_bytes());
    assert_eq!(json.next(), Err(expected));
}

#[test]
fn an_object_without_an_end_is_an_error_after_one_pass() {
    let mut json = JsonStream::default();
    json.push(b"{\"name\":\"");
    let mut pieces = 0;
    let error = loop {
        pieces += 1;
        json.push(&[b'x'; 4096]);
        match json.next() {
            Ok(none) => assert_eq!(none, None),
            Err(error) => break error,
        }
    };
    assert_eq!((error, pieces), (JsonStreamError::TooLong, 1024));
}

#[test]
fn white_space_is_not_buffered() {
    let mut json = JsonStream::default();
    for _ in 0..10 {
        json.push(&[b' '; 4096]);
        assert_eq!(json.next(), Ok(None));
        assert!(json.buffer.is_empty());
    }
}
