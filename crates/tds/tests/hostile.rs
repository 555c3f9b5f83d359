//! What no honest peer sends: each is turned down with its reason, and costs no memory.

use bytes::{BufMut, BytesMut};
use rstest::rstest;
use wheelpier_tds::*;

#[rstest]
#[case::of_no_type(&[0x51, 0, 0, 8], WireError::Header)]
#[case::shorter_than_its_header(&[1, 1, 0, 7, 0, 0, 0, 0], WireError::Header)]
#[case::longer_than_agreed(&[1, 1, 0x10, 1, 0, 0, 0, 0], WireError::Header)]
#[case::more_than_is_taken(&[1, 1, 0x10, 0, 0, 0, 0, 0], WireError::TooLong)]
#[case::of_another_type_within(&[1, 0, 0, 9, 0, 0, 0, 0, 7, 3, 1, 0, 9, 0, 0, 0, 0, 7], WireError::Header)]
fn packets_are_turned_down(#[case] bytes: &[u8], #[case] expected: WireError) {
    let mut read = BytesMut::from(bytes);
    assert_eq!(Assembler::new(4000).next(&mut read), Err(expected));
}

#[test]
fn a_message_without_end_is_turned_down_at_the_limit() {
    let mut assembler = Assembler::new(10_000);
    let mut packet = vec![1, 0, 0x10, 0, 0, 0, 1, 0];
    packet.resize(PACKET_SIZE, 7);
    let mut read = BytesMut::new();
    let results: Vec<_> = (0..3)
        .map(|_| {
            read.put_slice(&packet);
            assembler.next(&mut read)
        })
        .collect();
    assert_eq!(results, [Ok(None), Ok(None), Err(WireError::TooLong)]);
}

/// A value that claims 3 GB, or a length that does not fit, is no value; nothing is set aside for it.
#[rstest]
#[case::claims_more_than_comes(&[0, 0, 0, 192, 0, 0, 0, 0, 4, 0, 0, 0, 1, 2, 3, 4, 0, 0, 0, 0])]
#[case::claims_less_than_comes(&[1, 0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 1, 2, 3, 4, 0, 0, 0, 0])]
#[case::a_chunk_of_4_gb(&[254, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1])]
#[case::without_its_end(&[254, 255, 255, 255, 255, 255, 255, 255, 4, 0, 0, 0, 1, 2, 3, 4])]
fn long_values_are_turned_down(#[case] value: &[u8]) {
    let mut payload = BytesMut::new();
    put_columns(&mut payload, &[Column { name: "content".to_owned(), kind: DataType::VarBinaryMax }]);
    payload.put_u8(0xd1);
    payload.put_slice(value);
    let tokens: Vec<_> = Tokens::new(&payload).collect();
    assert_eq!(tokens[1..], [Err(WireError::Malformed("a token"))]);
}

#[rstest]
#[case::unknown(&[0x42, 1, 2, 3], WireError::UnknownToken(0x42))]
#[case::cut_off(&[0xfd, 0, 0, 0], WireError::Malformed("a token"))]
#[case::longer_than_the_answer(&[0xaa, 0xff, 0xff, 1], WireError::Malformed("a token"))]
#[case::with_more_than_belongs_to_it(&[0xad, 11, 0, 1, 0x74, 0, 0, 4, 0, 15, 0, 0, 0, 9], WireError::Malformed("a token"))]
#[case::with_60_000_columns(&[0x81, 0x60, 0xea], WireError::Malformed("a token"))]
fn tokens_are_turned_down(#[case] bytes: &[u8], #[case] expected: WireError) {
    assert_eq!(Tokens::new(bytes).collect::<Vec<_>>(), [Err(expected)]);
}

#[test]
fn unpaired_surrogates_are_no_text() {
    let mut payload = BytesMut::new();
    put_all_headers(&mut payload);
    payload.put_u16_le(0xd800);
    payload.put_u16_le(u16::from(b'a'));
    assert_eq!(batch(&payload), Err(WireError::Malformed("a batch")));
    payload.truncate(payload.len() - 1);
    assert_eq!(batch(&payload), Err(WireError::Malformed("a batch")));
}

#[test]
fn headers_that_do_not_add_up_are_turned_down() {
    for lengths in [[0u32, 18], [23, 18], [22, 17], [22, 0], [u32::MAX, 18], [22, u32::MAX]] {
        let mut payload = BytesMut::new();
        put_all_headers(&mut payload);
        payload[..4].copy_from_slice(&lengths[0].to_le_bytes());
        payload[4..8].copy_from_slice(&lengths[1].to_le_bytes());
        assert_eq!(batch(&payload), Err(WireError::Malformed("a batch")), "{lengths:?}");
    }
}

#[test]
fn prelogin_options_outside_are_turned_down() {
    let good = {
        let mut out = BytesMut::new();
        Prelogin::default().put(&mut out);
        out
    };
    for (at, byte) in [(2, 200), (4, 200), (0, 1), (5, 0), (8, 200), (9, 7)] {
        let mut bent = good.clone();
        bent[at] = byte;
        assert!(Prelogin::parse(&bent).is_err(), "byte {at} as {byte}");
    }
    assert!(Prelogin::parse(&good[..3]).is_err());
}

fn login() -> BytesMut {
    let mut out = BytesMut::new();
    let login = Login { host: "till".to_owned(), user: "sa".to_owned(), ..Login::default() };
    login.put(&mut out);
    out
}

#[rstest]
#[case::shorter_than_it_says(0, 255, LoginError::Length)]
#[case::runs_out(38, 200, LoginError::Outside("host name"))]
#[case::in_the_fixed_part(36, 10, LoginError::Outside("host name"))]
#[case::overlaps(40, 96, LoginError::Overlap("user name"))]
fn login_tables_are_checked(#[case] at: usize, #[case] byte: u8, #[case] expected: LoginError) {
    let mut payload = login();
    payload[at] = byte;
    assert_eq!(Login::parse(&payload), Err(expected));
}

#[test]
fn login_texts_are_checked() {
    let mut payload = login();
    payload[95] = 0xd8;
    assert_eq!(Login::parse(&payload), Err(LoginError::Text("host name")));
    assert_eq!(Login::parse(&payload[..80]), Err(LoginError::Length));
}

#[test]
fn a_second_procedure_in_one_call_is_turned_down() {
    let mut payload = BytesMut::new();
    Rpc { procedure: Procedure::Number(SP_EXECUTESQL), options: 0, parameters: Vec::new() }.put(&mut payload);
    assert!(rpc(&payload).is_ok());
    payload.put_slice(&[0xff, 0xff, 0xff, 10, 0, 0, 0]);
    assert_eq!(rpc(&payload), Err(WireError::Malformed("a procedure call")));
}
