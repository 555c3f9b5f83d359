//! The parsers return what the encoders wrote, however the byte stream is split, and reject other input
//! without a panic.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use wheelpier_tds::*;

fn value_of_type(kind: DataType) -> BoxedStrategy<Value> {
    let non_null = match kind {
        DataType::Int { size, .. } => {
            let bits = u32::from(size) * 8;
            any::<i64>()
                .prop_map(move |n| Value::Int(if bits == 8 { n & 0xff } else { n >> (64 - bits) }))
                .boxed()
        }
        DataType::NVarChar | DataType::NVarCharMax | DataType::NText => {
            "\\PC{0,40}".prop_map(Value::Text).boxed()
        }
        DataType::VarChar | DataType::VarCharMax => "[ -~]{0,40}".prop_map(Value::Text).boxed(),
        DataType::VarBinary => {
            prop::collection::vec(any::<u8>(), 0..60).prop_map(|b| Value::Binary(b.into())).boxed()
        }
        // Up to three chunks.
        DataType::VarBinaryMax => prop::collection::vec(any::<u8>(), 0..3 * MAX_CHUNK_BYTES)
            .prop_map(|b| Value::Binary(b.into()))
            .boxed(),
    };
    match kind {
        DataType::Int { nullable: false, .. } => non_null,
        _ => prop_oneof![1 => Just(Value::Null), 4 => non_null].boxed(),
    }
}

fn data_type() -> impl Strategy<Value = DataType> {
    prop_oneof![
        (prop::sample::select(vec![1u8, 2, 4, 8]), any::<bool>())
            .prop_map(|(size, nullable)| DataType::Int { size, nullable }),
        prop::sample::select(vec![
            DataType::NVarChar,
            DataType::NVarCharMax,
            DataType::VarChar,
            DataType::VarCharMax,
            DataType::NText,
            DataType::VarBinary,
            DataType::VarBinaryMax,
        ]),
    ]
}

fn parameter() -> impl Strategy<Value = Parameter> {
    (data_type(), "@[a-zA-Z0-9]{1,10}", any::<bool>()).prop_flat_map(|(kind, name, output)| {
        value_of_type(kind).prop_map(move |value| Parameter { name: name.clone(), output, kind, value })
    })
}

fn row() -> impl Strategy<Value = (Vec<Column>, Vec<Value>)> {
    prop::collection::vec(("[a-z]{1,12}", data_type()), 1..12).prop_flat_map(|columns| {
        let values: Vec<_> = columns.iter().map(|(_, kind)| value_of_type(*kind)).collect();
        let columns: Vec<_> = columns.into_iter().map(|(name, kind)| Column { name, kind }).collect();
        (Just(columns), values)
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn messages_are_reassembled_from_any_pieces(
        payload in prop::collection::vec(any::<u8>(), 0..9000),
        size in 512usize..9000,
        piece_bytes in 1usize..700,
        reset: bool,
    ) {
        let mut wire = BytesMut::new();
        let status = Status { reset, ignore: false };
        put_message(&mut wire, PacketType::Rpc, status, &payload, size);
        put_message(&mut wire, PacketType::Attention, Status::default(), &[], size);
        let mut assembler = Assembler::new(9000);
        assembler.set_packet_size(size);
        let (mut received, mut messages) = (BytesMut::new(), Vec::new());
        for piece in wire.chunks(piece_bytes) {
            received.extend_from_slice(piece);
            while let Some(message) = assembler.next(&mut received).unwrap() {
                messages.push(message);
            }
        }
        let payload = Bytes::from(payload);
        prop_assert_eq!(&messages[0], &Message { kind: PacketType::Rpc, status, payload });
        prop_assert_eq!(messages[1].kind, PacketType::Attention);
        prop_assert!(messages.len() == 2 && received.is_empty() && !assembler.has_partial_message());
    }

    #[test]
    fn calls_round_trip(
        parameters in prop::collection::vec(parameter(), 0..6),
        name in "[a-z_]{1,20}",
        by_number: bool,
        options: u16,
    ) {
        let procedure = if by_number { Procedure::Number(SP_EXECUTESQL) } else { Procedure::Name(name) };
        let call = Rpc { procedure, options, parameters };
        let mut payload = BytesMut::new();
        call.put(&mut payload);
        prop_assert_eq!(parse_rpc(&payload).unwrap(), call);
    }

    #[test]
    fn batches_round_trip(text in "\\PC{0,200}") {
        let mut payload = BytesMut::new();
        put_all_headers(&mut payload);
        text.encode_utf16().for_each(|unit| payload.extend_from_slice(&unit.to_le_bytes()));
        prop_assert_eq!(parse_batch(&payload).unwrap(), text);
    }

    #[test]
    fn rows_round_trip((columns, values) in row()) {
        let mut payload = BytesMut::new();
        put_columns(&mut payload, &columns);
        put_row(&mut payload, &columns, &values);
        put_row_with_nulls(&mut payload, &columns, &values);
        let done = Done { has_row_count: true, rows: 2, ..Done::default() };
        put_done(&mut payload, DoneKind::InProc, done);
        put_order(&mut payload, &[1, 2]);
        put_return_status(&mut payload, -6);
        let tokens: Vec<Token> = Tokens::new(&payload).collect::<Result<_, _>>().unwrap();
        let row = Token::Row(values);
        let expected = vec![
            Token::Columns(columns), row.clone(), row, Token::Done(DoneKind::InProc, done),
            Token::Order(vec![1, 2]), Token::ReturnStatus(-6),
        ];
        prop_assert_eq!(tokens, expected);
    }

    #[test]
    fn logins_round_trip(
        texts in prop::array::uniform5("\\PC{0,60}"),
        packet_size in 512u32..32_767,
        integrated: bool,
    ) {
        let [host, user, app, library, database] = texts;
        let login =
            Login { version: version::V7_4, packet_size, host, user, app, library, database, integrated };
        let mut payload = BytesMut::new();
        login.put(&mut payload);
        prop_assert_eq!(Login::parse(&payload).unwrap(), login);
    }

    #[test]
    fn any_bytes_are_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = (Prelogin::parse(&bytes), Login::parse(&bytes), parse_batch(&bytes), parse_rpc(&bytes));
        let _ = Tokens::new(&bytes).count();
        let mut received = BytesMut::from(&bytes[..]);
        let mut assembler = Assembler::new(300);
        while let Ok(Some(message)) = assembler.next(&mut received) {
            prop_assert!(message.payload.len() <= 300);
        }
    }

    /// Nearly valid input gets further into the parsers than random bytes.
    #[test]
    fn a_corrupted_call_or_response_is_parsed_or_rejected(
        parameters in prop::collection::vec(parameter(), 1..4),
        (columns, values) in row(),
        position: prop::sample::Index,
        byte: u8,
    ) {
        let mut call = BytesMut::new();
        Rpc { procedure: Procedure::Number(10), options: 0, parameters }.put(&mut call);
        let mut response = BytesMut::new();
        put_columns(&mut response, &columns);
        put_row(&mut response, &columns, &values);
        for payload in [&mut call, &mut response] {
            let at = position.index(payload.len());
            payload[at] = byte;
            let _ = parse_rpc(payload);
            let _ = Tokens::new(payload).count();
            let _ = Tokens::new(&payload[..at]).count();
        }
    }
}

#[test]
fn notices_changes_and_the_handshake_round_trip() {
    let notice = Notice { number: 40501, state: 1, class: 16, message: "later, \u{65e5}".to_owned() };
    let ack = LoginAck { version: version::V7_4, program: "wheelpier".to_owned() };
    let changes =
        [Environment::Database("store".to_owned()), Environment::PacketSize(8192), Environment::Reset];
    let mut payload = BytesMut::new();
    put_error(&mut payload, &notice);
    put_info(&mut payload, &notice);
    put_login_ack(&mut payload, &ack);
    changes.iter().for_each(|change| put_environment(&mut payload, change));
    put_collation(&mut payload);
    let tokens: Vec<Token> = Tokens::new(&payload).collect::<Result<_, _>>().unwrap();
    let mut expected = vec![Token::Error(notice.clone()), Token::Info(notice), Token::LoginAck(ack)];
    expected.extend(changes.map(Token::Environment));
    expected.push(Token::Environment(Environment::Other(7)));
    assert_eq!(tokens, expected);

    let prelogin = Prelogin { version: (15, 0, 2000), encryption: Encryption::Required, mars: true };
    let mut payload = BytesMut::new();
    prelogin.put(&mut payload);
    assert_eq!(Prelogin::parse(&payload), Ok(prelogin));
}
