//! The parsers on whole, cut-off and garbled bytes.

use bytes::BytesMut;
use rstest::rstest;
use wheelpier::pgwire::{
    self, BackendMessage, FrontendMessage, KvStatement, Startup, StatementError, WireError,
};

/// Bytes arrive in any portions: cut off anywhere a message is none yet, and never an error.
#[test]
fn a_message_cut_off_anywhere_is_awaited() {
    let mut query = BytesMut::new();
    pgwire::query(&mut query, b"SELECT 1");
    let mut startup = BytesMut::new();
    pgwire::startup(&mut startup, "backend", "store");
    let mut error = BytesMut::new();
    pgwire::error(&mut error, "ERROR", "53300", "full", Some("250"));
    for n in 0..query.len() {
        assert_eq!(FrontendMessage::parse(&query[..n]), Ok(None), "{n}");
    }
    for n in 0..startup.len() {
        assert_eq!(Startup::parse(&startup[..n]), Ok(None), "{n}");
    }
    for n in 0..error.len() {
        assert_eq!(BackendMessage::parse(&error[..n]), Ok(None), "{n}");
    }
    let whole = Ok(Some((FrontendMessage::Query(b"SELECT 1"), query.len())));
    assert_eq!(FrontendMessage::parse(&query), whole);
    assert_eq!(Startup::parse(&startup), Ok(Some((Startup::Session { minor: 0 }, startup.len()))));
    let Ok(Some((BackendMessage::Error(fields), _))) = BackendMessage::parse(&error) else { panic!() };
    assert_eq!((fields.code, fields.message, fields.fatal), ("53300", "full", false));
}

/// Lengths that lie, texts without an end and columns beyond the row: an error, and no panic.
#[rstest]
#[case(b"D\0\0\0\x0a\0\x01\0\0\0\x09", WireError::Malformed)]
#[case(b"S\0\0\0\x06ab", WireError::Malformed)]
#[case(b"E\0\0\0\x05C", WireError::Malformed)]
#[case(b"Z\0\0\0\x03", WireError::Malformed)]
#[case(b"Z\0\0\0\x06II", WireError::Malformed)]
#[case(b"Z\0\0\0\x05x", WireError::Malformed)]
#[case(b"T\0\0\0\x06\0\x01", WireError::Malformed)]
#[case(b"C\0\0\0\x06SE", WireError::Malformed)]
#[case(b"D\0\0\0\x0c\0\x01\0\0\0\x01ab", WireError::Malformed)]
#[case(b"D\x7f\xff\xff\xff", WireError::TooLong)]
fn garbled_answers_are_errors(#[case] bytes: &[u8], #[case] problem: WireError) {
    assert_eq!(BackendMessage::parse(bytes), Err(problem));
}

#[rstest]
#[case(
    "SELECT content FROM kv WHERE name = 'x' /* id=1f,c=basket,t=acme,d=480.5,cluster=2,after=17,r=1 */",
    false
)]
#[case(
    "INSERT INTO kv (name, content) VALUES ('x', '\\x9f03') RETURNING content \
     /* id=1f,c=basket,t=acme,d=480.5,cluster=2,after=17,r=1 */",
    true
)]
fn a_statement_tells_the_request_and_where_its_wait_stands(#[case] text: &str, #[case] write: bool) {
    let statement = KvStatement::parse(text).unwrap();
    let comment = statement.comment;
    assert_eq!((statement.key, statement.is_write), ("x", write));
    assert_eq!((comment.id.as_str(), comment.class.as_str()), ("1f", "basket"));
    assert_eq!((comment.tenant.as_deref(), comment.group), (Some("acme"), 2));
    assert_eq!((comment.is_retry, comment.key.clone(), comment.last_write_ms), (true, None, Some(17.0)));
    assert_eq!((&text[comment.timeout_range], comment.timeout_ms), ("480.5", 480.5));
}

/// An installation may have no tenants at all.
#[rstest]
#[case("id=1,c=a,d=5,cluster=0")]
#[case("id=1,c=a,t=,d=5,cluster=0")]
fn a_statement_may_name_no_tenant(#[case] comment: &str) {
    let text = format!("SELECT content FROM kv WHERE name = 'x' /* {comment} */");
    assert_eq!(KvStatement::parse(&text).unwrap().comment.tenant, None);
}

/// Whatever differs from the two forms would be turned away by a ledger host, or end its connection.
#[rstest]
#[case("SELECT 1")]
#[case("SELECT 1 /* id=1,c=a,t=t,d=5,cluster=0 */")]
#[case("SELECT content FROM kv WHERE name = 'x' /* id=1,c=a,t=t,d=5,cluster=0")]
#[case("SELECT content FROM kv WHERE name = 'x' /* id=1,c=a,t=t,d=5,cluster=0 */ ; DROP TABLE kv")]
#[case("SELECT content FROM kv WHERE name = 'x' OR 'a'='a' /* id=1,c=a,t=t,d=5,cluster=0 */")]
#[case("SELECT content FROM kv WHERE name = 'x' /* hello */")]
#[case("SELECT content FROM kv WHERE name = '' /* id=1,c=a,t=t,d=5,cluster=0 */")]
#[case("SELECT content FROM kv WHERE name = 'x\n' /* id=1,c=a,t=t,d=5,cluster=0 */")]
#[case(
    "INSERT INTO kv (name, content) VALUES ('x', '\\x9') RETURNING content /* id=1,c=a,t=t,d=5,cluster=0 */"
)]
#[case(
    "INSERT INTO kv (name, content) VALUES ('x', 'zz') RETURNING content /* id=1,c=a,t=t,d=5,cluster=0 */"
)]
#[case("INSERT INTO kv (name, content) VALUES ('x', '\\x00') /* id=1,c=a,t=t,d=5,cluster=0 */")]
fn a_statement_of_another_form_is_none(#[case] text: &str) {
    assert_eq!(KvStatement::parse(text), Err(StatementError::Form));
}

#[rstest]
#[case("id=1,c=a,t=t,cluster=0", StatementError::Lacks("d"))]
#[case("id=,c=a,t=t,d=5,cluster=0", StatementError::Lacks("id"))]
#[case("id=1,t=t,d=5,cluster=0", StatementError::Lacks("c"))]
#[case("id=1,c=a,t=t,d=5", StatementError::Lacks("cluster"))]
#[case("id=1,c=a,t=t,d=5,k=,cluster=0", StatementError::Lacks("k"))]
#[case("id=1,c=a,t=t,d=nan,cluster=0", StatementError::Value("d"))]
#[case("id=1,c=a,t=t,d=1e9,cluster=0", StatementError::Value("d"))]
#[case("id=1,c=a,t=t,d=-5,cluster=0", StatementError::Value("d"))]
#[case("id=1,c=a,t=t,d=+5,cluster=0", StatementError::Value("d"))]
#[case("id=1,c=a,t=t,d=5.,cluster=0", StatementError::Value("d"))]
#[case("id=1,c=a,t=t,d=5,cluster=-1", StatementError::Value("cluster"))]
#[case("id=1,c=a,t=t,d=5,cluster=+1", StatementError::Value("cluster"))]
#[case("id=1;2,c=a,t=t,d=5,cluster=0", StatementError::Value("id"))]
#[case("id=1,c=a,t=t,d=5,cluster=0,after=x", StatementError::Value("after"))]
#[case("id=1,c=a,t=t,d=5,cluster=0,d=900", StatementError::Twice("d".to_owned()))]
fn a_comment_that_is_not_enough_says_what_is_wrong(#[case] comment: &str, #[case] problem: StatementError) {
    let text = format!("SELECT content FROM kv WHERE name = 'x' /* {comment} */");
    assert_eq!(KvStatement::parse(&text), Err(problem));
}

/// A text with a second zero, or none, would be read differently by whoever gets it next.
#[rstest]
#[case(b"Q\0\0\0\x08a\0b\0")]
#[case(b"Q\0\0\0\x06ab")]
#[case(b"Q\0\0\0\x04")]
fn a_query_ends_with_its_only_zero(#[case] bytes: &[u8]) {
    assert_eq!(FrontendMessage::parse(bytes), Err(WireError::Malformed));
}

/// The beginning of a message that says to be a row of one column, with these lengths.
fn row_of(kind: u8, length: u32, columns: u16, value: u32) -> Vec<u8> {
    [&[kind][..], &length.to_be_bytes(), &columns.to_be_bytes(), &value.to_be_bytes(), b"value"].concat()
}

/// Only what can be a row of one column, within the bounds, is passed on part by part: all else is read whole or not at all.
#[rstest]
#[case::the_longest_that_is_read_whole(row_of(b'D', 73_728, 1, 73_718), None)]
#[case::just_longer(row_of(b'D', 73_729, 1, 73_719), Some(73_730))]
#[case::four_mebibytes(row_of(b'D', 4_194_314, 1, 4_194_304), Some(4_194_315))]
#[case::longer_than_any(row_of(b'D', 3_000_000_000, 1, 2_999_999_990), None)]
#[case::no_row(row_of(b'E', 100_000, 1, 99_990), None)]
#[case::two_columns(row_of(b'D', 100_000, 2, 99_990), None)]
#[case::lengths_that_do_not_fit(row_of(b'D', 100_000, 1, 99_991), None)]
#[case::null(row_of(b'D', 100_000, 1, u32::MAX), None)]
#[case::a_head_cut_off(row_of(b'D', 100_000, 1, 99_990)[..10].to_vec(), None)]
fn a_long_row_is_known_by_its_head(#[case] bytes: Vec<u8>, #[case] length: Option<usize>) {
    assert_eq!(BackendMessage::large_row(&bytes), length);
    assert_eq!(BackendMessage::may_be_large_row(&bytes), bytes.len() < 11);
}
