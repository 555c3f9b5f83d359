//! Whatever comes is read or turned down, and never costs more memory than has come.
#![no_main]

use bytes::BytesMut;
use libfuzzer_sys::fuzz_target;
use wheelpier_tds::{batch, rpc, Assembler, Login, Prelogin, Tokens};

const MOST: usize = 4096;

fuzz_target!(|bytes: &[u8]| {
    let _ = (Prelogin::parse(bytes), Login::parse(bytes), batch(bytes), rpc(bytes));
    Tokens::new(bytes).for_each(drop);
    let (mut read, mut assembler) = (BytesMut::new(), Assembler::new(MOST));
    // Cut in two, as the network does.
    let (first, second) = bytes.split_at(bytes.len() / 3);
    for piece in [first, second] {
        read.extend_from_slice(piece);
        while let Ok(Some(message)) = assembler.next(&mut read) {
            assert!(message.payload.len() <= MOST);
            let _ = (batch(&message.payload), rpc(&message.payload));
            Tokens::new(&message.payload).for_each(drop);
        }
    }
});
