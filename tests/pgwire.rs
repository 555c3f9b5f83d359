//! The parsers on whole, cut-off and garbled bytes.

use bytes::BytesMut;
use rstest::rstest;
use wheelpier::pgwire::{self, BackendMessage, Comment, CommentError, FrontendMessage, Startup, WireError};

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
#[case(b"D\x7f\xff\xff\xff", WireError::TooLong)]
fn garbled_answers_are_errors(#[case] bytes: &[u8], #[case] problem: WireError) {
    assert_eq!(BackendMessage::parse(bytes), Err(problem));
}

#[test]
fn a_comment_tells_the_request_and_where_its_wait_stands() {
    let text = "SELECT a FROM kv WHERE name = 'x' /* id=1f,c=basket,t=acme,d=480.5,cluster=2,after=17,r=1 */";
    let comment = Comment::parse(text).unwrap();
    assert_eq!((comment.id.as_str(), comment.class.as_str()), ("1f", "basket"));
    assert_eq!((comment.group, comment.again, comment.after_ms), (Some(2), true, Some(17.0)));
    assert_eq!((&text[comment.wait_at], comment.wait_ms), ("480.5", 480.5));
    assert_eq!(Comment::quoted_key(text), Some("x"));
}

#[rstest]
#[case("SELECT 1", CommentError::Missing)]
#[case("SELECT 1 /* id=1,c=a,d=5", CommentError::Missing)]
#[case("SELECT 1 /* hello */", CommentError::Missing)]
#[case("SELECT 1 /* id=1,c=a */", CommentError::Lacks("d"))]
#[case("SELECT 1 /* id=,c=a,d=5 */", CommentError::Lacks("id"))]
#[case("SELECT 1 /* id=1,d=5 */", CommentError::Lacks("c"))]
#[case("SELECT 1 /* id=1,c=a,d=nan */", CommentError::Value("d"))]
#[case("SELECT 1 /* id=1,c=a,d=5,cluster=-1 */", CommentError::Value("cluster"))]
fn a_comment_that_is_not_enough_says_what_it_lacks(#[case] text: &str, #[case] problem: CommentError) {
    assert_eq!(Comment::parse(text), Err(problem));
}
