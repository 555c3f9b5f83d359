use super::*;
use rstest::rstest;

fn complete_items(json: &mut JsonStream) -> Vec<StreamItem> {
    std::iter::from_fn(|| json.next().unwrap()).collect()
}

fn object(text: &str) -> StreamItem {
    StreamItem::Object(text.as_bytes().to_vec())
}

const INDENTED: &str = "{\n  \"index\": 4,\n  \"endpoints\": [\n    {\"name\": \"}\\\"{\\\\\"}\n  ]\n}";

#[rstest]
#[case::a_line("{\"index\":4}\n", vec![object("{\"index\":4}"), StreamItem::LineEnd])]
#[case::two_on_one_line("{\"a\":1}{\"b\":[{}]}", vec![object("{\"a\":1}"), object("{\"b\":[{}]}")])]
#[case::indented(INDENTED, vec![object(INDENTED)])]
#[case::blank_lines(
    "\n \r\n{}\n",
    vec![StreamItem::LineEnd, StreamItem::LineEnd, object("{}"), StreamItem::LineEnd]
)]
fn objects_are_complete_whatever_the_size_of_reads(#[case] stream: &str, #[case] expected: Vec<StreamItem>) {
    for size in 1..=stream.len() {
        let mut json = JsonStream::default();
        let mut items = Vec::new();
        for chunk in stream.as_bytes().chunks(size) {
            json.push(chunk);
            items.extend(complete_items(&mut json));
        }
        assert_eq!(items, expected, "in reads of {size} bytes");
    }
}

#[rstest]
#[case::a_word("null\n", JsonStreamError::NotAnObject)]
#[case::an_array("[{}]", JsonStreamError::NotAnObject)]
#[case::an_end_without_a_beginning("}", JsonStreamError::NotAnObject)]
fn data_outside_of_objects_is_an_error(#[case] stream: &str, #[case] expected: JsonStreamError) {
    let mut json = JsonStream::default();
    json.push(stream.as_bytes());
    assert_eq!(json.next(), Err(expected));
}

#[test]
fn an_object_that_never_ends_is_rejected_at_the_length_limit() {
    let mut json = JsonStream::default();
    json.push(b"{\"name\":\"");
    let mut reads = 0;
    let error = loop {
        reads += 1;
        json.push(&[b'x'; 4096]);
        match json.next() {
            Ok(none) => assert_eq!(none, None),
            Err(error) => break error,
        }
    };
    assert_eq!((error, reads), (JsonStreamError::TooLong, 1024));
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
