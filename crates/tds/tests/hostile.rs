//! Input that no conforming peer sends is rejected with a specific error, and allocates no memory by the
//! lengths that it claims.

use bytes::{BufMut, BytesMut};
use rstest::rstest;
use wheelpier_tds::*;

#[rstest]
#[case::of_unknown_type(&[0x51, 0, 0, 8], WireError::Header)]
#[case::shorter_than_its_header(&[1, 1, 0, 7, 0, 0, 0, 0], WireError::Header)]
#[case::longer_than_negotiated(&[1, 1, 0x10, 1, 0, 0, 0, 0], WireError::Header)]
#[case::longer_than_the_limit(&[1, 1, 0x10, 0, 0, 0, 0, 0], WireError::TooLong)]
#[case::type_changes_within(&[1, 0, 0, 9, 0, 0, 0, 0, 7, 3, 1, 0, 9, 0, 0, 0, 0, 7], WireError::Header)]
fn invalid_packets_are_rejected(#[case] bytes: &[u8], #[case] expected: WireError) {
    let mut received = BytesMut::from(bytes);
    assert_eq!(Assembler::new(4000).next(&mut received), Err(expected));
}

#[test]
fn an_endless_message_is_rejected_at_the_limit() {
    let mut assembler = Assembler::new(10_000);
    let mut packet = vec![1, 0, 0x10, 0, 0, 0, 1, 0];
    packet.resize(INITIAL_PACKET_BYTES, 7);
    let mut received = BytesMut::new();
    let results: Vec<_> = (0..3)
        .map(|_| {
            received.put_slice(&packet);
            assembler.next(&mut received)
        })
        .collect();
    assert_eq!(results, [Ok(None), Ok(None), Err(WireError::TooLong)]);
}

/// A value whose total length (here up to 3 GB) or chunk length does not match the bytes that follow is
/// rejected, without an allocation of that length.
#[rstest]
#[case::total_above_the_chunks(&[0, 0, 0, 192, 0, 0, 0, 0, 4, 0, 0, 0, 1, 2, 3, 4, 0, 0, 0, 0])]
#[case::total_below_the_chunks(&[1, 0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 1, 2, 3, 4, 0, 0, 0, 0])]
#[case::a_chunk_of_4_gb(&[254, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1])]
#[case::without_terminator(&[254, 255, 255, 255, 255, 255, 255, 255, 4, 0, 0, 0, 1, 2, 3, 4])]
fn invalid_plp_values_are_rejected(#[case] value: &[u8]) {
    let mut payload = BytesMut::new();
    put_columns(&mut payload, &[Column { name: "content".to_owned(), kind: DataType::VarBinaryMax }]);
    payload.put_u8(0xd1);
    payload.put_slice(value);
    let tokens: Vec<_> = Tokens::new(&payload).collect();
    assert_eq!(tokens[1..], [Err(WireError::Malformed("a token"))]);
}

#[rstest]
#[case::of_unknown_type(&[0x42, 1, 2, 3], WireError::UnknownToken(0x42))]
#[case::truncated(&[0xfd, 0, 0, 0], WireError::Malformed("a token"))]
#[case::longer_than_the_response(&[0xaa, 0xff, 0xff, 1], WireError::Malformed("a token"))]
#[case::trailing_bytes(&[0xad, 11, 0, 1, 0x74, 0, 0, 4, 0, 15, 0, 0, 0, 9], WireError::Malformed("a token"))]
#[case::with_60_000_columns(&[0x81, 0x60, 0xea], WireError::Malformed("a token"))]
fn invalid_tokens_are_rejected(#[case] bytes: &[u8], #[case] expected: WireError) {
    assert_eq!(Tokens::new(bytes).collect::<Vec<_>>(), [Err(expected)]);
}

#[test]
fn invalid_utf_16_is_rejected() {
    let mut payload = BytesMut::new();
    put_all_headers(&mut payload);
    payload.put_u16_le(0xd800);
    payload.put_u16_le(u16::from(b'a'));
    assert_eq!(parse_batch(&payload), Err(WireError::Malformed("a batch")));
    payload.truncate(payload.len() - 1);
    assert_eq!(parse_batch(&payload), Err(WireError::Malformed("a batch")));
}

#[test]
fn header_lengths_that_do_not_add_up_are_rejected() {
    for lengths in [[0u32, 18], [23, 18], [22, 17], [22, 0], [u32::MAX, 18], [22, u32::MAX]] {
        let mut payload = BytesMut::new();
        put_all_headers(&mut payload);
        payload[..4].copy_from_slice(&lengths[0].to_le_bytes());
        payload[4..8].copy_from_slice(&lengths[1].to_le_bytes());
        assert_eq!(parse_batch(&payload), Err(WireError::Malformed("a batch")), "{lengths:?}");
    }
}

#[test]
fn invalid_prelogin_options_are_rejected() {
    let valid = {
        let mut output = BytesMut::new();
        Prelogin::default().put(&mut output);
        output
    };
    for (at, byte) in [(2, 200), (4, 200), (0, 1), (5, 0), (8, 200), (9, 7)] {
        let mut invalid = valid.clone();
        invalid[at] = byte;
        assert!(Prelogin::parse(&invalid).is_err(), "byte {at} as {byte}");
    }
    assert!(Prelogin::parse(&valid[..3]).is_err());
}

fn login() -> BytesMut {
    let mut output = BytesMut::new();
    let login = Login { host: "till".to_owned(), user: "sa".to_owned(), ..Login::default() };
    login.put(&mut output);
    output
}

#[rstest]
#[case::wrong_length(0, 255, LoginError::Length)]
#[case::beyond_the_end(38, 200, LoginError::Outside("host name"))]
#[case::within_the_fixed_part(36, 10, LoginError::Outside("host name"))]
#[case::overlaps(40, 96, LoginError::Overlap("user name"))]
fn invalid_login_tables_are_rejected(#[case] at: usize, #[case] byte: u8, #[case] expected: LoginError) {
    let mut payload = login();
    payload[at] = byte;
    assert_eq!(Login::parse(&payload), Err(expected));
}

#[test]
fn invalid_login_texts_are_rejected() {
    let mut payload = login();
    payload[95] = 0xd8;
    assert_eq!(Login::parse(&payload), Err(LoginError::Text("host name")));
    assert_eq!(Login::parse(&payload[..80]), Err(LoginError::Length));
}

#[test]
fn a_second_call_in_one_message_is_rejected() {
    let mut payload = BytesMut::new();
    Rpc { procedure: Procedure::Number(SP_EXECUTESQL), options: 0, parameters: Vec::new() }.put(&mut payload);
    assert!(parse_rpc(&payload).is_ok());
    payload.put_slice(&[0xff, 0xff, 0xff, 10, 0, 0, 0]);
    assert_eq!(parse_rpc(&payload), Err(WireError::Malformed("a procedure call")));
}
