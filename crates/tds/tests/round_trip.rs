//! What one side writes the other reads, however the bytes are cut.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use wheelpier_tds::*;

fn value_of(kind: DataType) -> BoxedStrategy<Value> {
    let some = match kind {
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
        // Over one chunk.
        DataType::VarBinaryMax => {
            prop::collection::vec(any::<u8>(), 0..3 * CHUNK).prop_map(|b| Value::Binary(b.into())).boxed()
        }
    };
    match kind {
        DataType::Int { nullable: false, .. } => some,
        _ => prop_oneof![1 => Just(Value::Null), 4 => some].boxed(),
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
        value_of(kind).prop_map(move |value| Parameter { name: name.clone(), output, kind, value })
    })
}

fn row() -> impl Strategy<Value = (Vec<Column>, Vec<Value>)> {
    prop::collection::vec(("[a-z]{1,12}", data_type()), 1..12).prop_flat_map(|columns| {
        let values: Vec<_> = columns.iter().map(|(_, kind)| value_of(*kind)).collect();
        let columns: Vec<_> = columns.into_iter().map(|(name, kind)| Column { name, kind }).collect();
        (Just(columns), values)
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn messages_survive_any_cut(
        payload in prop::collection::vec(any::<u8>(), 0..9000),
        size in 512usize..9000,
        cut in 1usize..700,
        reset: bool,
    ) {
        let mut wire = BytesMut::new();
        let status = Status { reset, ignore: false };
        put_message(&mut wire, PacketType::Rpc, status, &payload, size);
        put_message(&mut wire, PacketType::Attention, Status::default(), &[], size);
        let mut assembler = Assembler::new(9000);
        assembler.set_packet_size(size);
        let (mut read, mut messages) = (BytesMut::new(), Vec::new());
        for piece in wire.chunks(cut) {
            read.extend_from_slice(piece);
            while let Some(message) = assembler.next(&mut read).unwrap() {
                messages.push(message);
            }
        }
        let payload = Bytes::from(payload);
        prop_assert_eq!(&messages[0], &Message { kind: PacketType::Rpc, status, payload });
        prop_assert_eq!(messages[1].kind, PacketType::Attention);
        prop_assert!(messages.len() == 2 && read.is_empty() && !assembler.has_partial_message());
    }

    #[test]
    fn calls_come_back_as_they_went(
        parameters in prop::collection::vec(parameter(), 0..6),
        named in "[a-z_]{1,20}",
        numbered: bool,
        options: u16,
    ) {
        let procedure = if numbered { Procedure::Number(SP_EXECUTESQL) } else { Procedure::Name(named) };
        let call = Rpc { procedure, options, parameters };
        let mut payload = BytesMut::new();
        call.put(&mut payload);
        prop_assert_eq!(rpc(&payload).unwrap(), call);
    }

    #[test]
    fn batches_come_back_as_they_went(text in "\\PC{0,200}") {
        let mut payload = BytesMut::new();
        put_all_headers(&mut payload);
        text.encode_utf16().for_each(|unit| payload.extend_from_slice(&unit.to_le_bytes()));
        prop_assert_eq!(batch(&payload).unwrap(), text);
    }

    #[test]
    fn rows_come_back_as_they_went((columns, values) in row()) {
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
    fn logins_come_back_as_they_went(
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
    fn whatever_comes_is_read_or_turned_down(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = (Prelogin::parse(&bytes), Login::parse(&bytes), batch(&bytes), rpc(&bytes));
        let _ = Tokens::new(&bytes).count();
        let mut read = BytesMut::from(&bytes[..]);
        let mut assembler = Assembler::new(300);
        while let Ok(Some(message)) = assembler.next(&mut read) {
            prop_assert!(message.payload.len() <= 300);
        }
    }

    /// What is nearly right goes further into the parsers than noise does.
    #[test]
    fn a_bent_call_or_answer_is_read_or_turned_down(
        parameters in prop::collection::vec(parameter(), 1..4),
        (columns, values) in row(),
        place: prop::sample::Index,
        byte: u8,
    ) {
        let mut call = BytesMut::new();
        Rpc { procedure: Procedure::Number(10), options: 0, parameters }.put(&mut call);
        let mut answer = BytesMut::new();
        put_columns(&mut answer, &columns);
        put_row(&mut answer, &columns, &values);
        for payload in [&mut call, &mut answer] {
            let at = place.index(payload.len());
            payload[at] = byte;
            let _ = rpc(payload);
            let _ = Tokens::new(payload).count();
            let _ = Tokens::new(&payload[..at]).count();
        }
    }
}

#[test]
fn notices_changes_and_the_handshake_come_back_as_they_went() {
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
