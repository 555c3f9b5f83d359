//! Any input is parsed or rejected, and never takes more memory than the bytes received.
#![no_main]

use bytes::BytesMut;
use libfuzzer_sys::fuzz_target;
use wheelpier_tds::{parse_batch, parse_rpc, Assembler, Login, Prelogin, Tokens};

const MAX_MESSAGE_BYTES: usize = 4096;

fuzz_target!(|bytes: &[u8]| {
    let _ = (Prelogin::parse(bytes), Login::parse(bytes), parse_batch(bytes), parse_rpc(bytes));
    Tokens::new(bytes).for_each(drop);
    let (mut received, mut assembler) = (BytesMut::new(), Assembler::new(MAX_MESSAGE_BYTES));
    // Split in two pieces, as a network may deliver it.
    let (first, second) = bytes.split_at(bytes.len() / 3);
    for piece in [first, second] {
        received.extend_from_slice(piece);
        while let Ok(Some(message)) = assembler.next(&mut received) {
            assert!(message.payload.len() <= MAX_MESSAGE_BYTES);
            let _ = (parse_batch(&message.payload), parse_rpc(&message.payload));
            Tokens::new(&message.payload).for_each(drop);
        }
    }
});
