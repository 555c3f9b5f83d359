use super::super::Message;
use super::*;
use crate::membership::Identity;
use proptest::prelude::*;

pub fn key(n: u8) -> Key {
    Key([n; 32])
}

fn frame() -> Frame {
    let from = Identity::new("a", 7);
    Frame {
        from,
        to: Identity::new("b", 0),
        incarnation_nonce: 3,
        sequence: 9,
        message: Message::Challenge { nonce: 5 },
    }
}

#[test]
fn a_frame_decodes_only_with_the_same_key_and_fleet() {
    let authenticator = Authenticator::new("north", &key(1), None);
    let bytes = authenticator.encode(&frame()).unwrap();
    assert_eq!(authenticator.decode(&bytes), Ok(frame()));
    assert_eq!(Authenticator::new("south", &key(1), None).decode(&bytes), Err(DropReason::Fleet));
    assert_eq!(Authenticator::new("north", &key(2), None).decode(&bytes), Err(DropReason::Forged));
}

/// The steps are the old key alone, old with new, new with old, and new alone. Members at consecutive steps
/// accept each other's messages.
#[test]
fn a_key_can_be_changed_one_member_at_a_time() {
    let steps = [(1, None), (1, Some(2)), (2, Some(1)), (2, None)];
    let authenticators: Vec<Authenticator> =
        steps.map(|(a, b)| Authenticator::new("north", &key(a), b.map(key).as_ref())).to_vec();
    for pair in authenticators.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            assert_eq!(to.decode(&from.encode(&frame()).unwrap()), Ok(frame()));
        }
    }
    assert_eq!(
        authenticators[3].decode(&authenticators[0].encode(&frame()).unwrap()),
        Err(DropReason::Forged)
    );
}

#[test]
fn another_version_is_distinguished_from_garbage() {
    let authenticator = Authenticator::new("north", &key(1), None);
    let mut bytes = authenticator.encode(&frame()).unwrap();
    bytes[3] = PROTOCOL_VERSION + 1;
    assert_eq!(authenticator.decode(&bytes), Err(DropReason::Version));
    assert_eq!(authenticator.decode(b"GET / HTTP/1.1\r\nhost: somebody\r\n\r\n"), Err(DropReason::Garbage));
    assert_eq!(authenticator.decode(&[]), Err(DropReason::Garbage));
}

#[test]
fn keys_are_64_digits_and_are_not_printed() {
    assert_eq!(Key::from_hex(&format!(" {}\n", "0a".repeat(32))), Ok(Key([10; 32])));
    for wrong in ["", "0a", &"0a".repeat(33), &"0x".repeat(32), &"ä".repeat(32)] {
        assert_eq!(Key::from_hex(wrong), Err(KeyError), "{wrong}");
    }
    assert!(!format!("{:?} {:?}", key(77), Authenticator::new("x", &key(77), None)).contains("77"));
}

proptest! {
    #[test]
    fn any_change_to_a_message_is_detected(at in 0usize..200, bit in 0u8..8, cut in 0usize..60) {
        let authenticator = Authenticator::new("north", &key(1), Some(&key(2)));
        let whole = authenticator.encode(&frame()).unwrap();
        let mut bytes = whole.clone();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(authenticator.decode(&bytes).is_err());
        prop_assert!(authenticator.decode(&whole[..whole.len() - 1 - cut % (whole.len() - 1)]).is_err());
        let mut longer = whole;
        longer.push(bit);
        prop_assert!(authenticator.decode(&longer).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected_with_a_reason(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(Authenticator::new("north", &key(1), None).decode(&bytes).is_err());
    }
}
