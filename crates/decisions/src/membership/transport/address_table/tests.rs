use super::*;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn what_was_seen_of_an_incarnation_goes_before_the_file_and_that_before_hearsay() {
    let (old, new) = (Identity::new("a", 1), Identity::new("a", 2));
    let mut addresses = AddressTable::default();
    assert_eq!(addresses.address(&old), None);
    addresses.record_hearsay(&old.name, at(1));
    assert_eq!(addresses.address(&old), Some(at(1)));
    addresses.record_seen(&old, at(2), Timestamp(5));
    assert_eq!(addresses.address(&new), Some(at(2)), "another incarnation may be in the same place");
    let mut addresses = AddressTable { configured: [("a".into(), at(3))].into(), ..addresses };
    assert_eq!((addresses.address(&old), addresses.address(&new)), (Some(at(2)), Some(at(3))));
    // Two processes of one name are told apart.
    addresses.record_seen(&new, at(4), Timestamp(6));
    assert_eq!((addresses.address(&old), addresses.address(&new)), (Some(at(2)), Some(at(4))));
    assert_eq!(addresses.shared_address(&new.name), Some(at(4)));
}

#[test]
fn it_is_bounded_and_forgets_whom_it_has_not_heard_for_longest() {
    let mut addresses = AddressTable::default();
    for n in 0..2 * MAX_ADDRESSES as u64 {
        addresses.record_seen(&Identity::new("a", n), at(1), Timestamp(n as i64));
        addresses.record_hearsay(&format!("n{n}").as_str().into(), at(1));
    }
    assert_eq!((addresses.seen.len(), addresses.hearsay.len()), (MAX_ADDRESSES, MAX_ADDRESSES));
    assert!(!addresses.seen.contains_key(&Identity::new("a", 0)));
}
