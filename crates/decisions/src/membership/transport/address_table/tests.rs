use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn a_seen_address_precedes_the_configured_one_and_that_a_reported_one() {
    let (old, new) = (Identity::new("a", 1), Identity::new("a", 2));
    let mut addresses = AddressTable::default();
    assert_eq!(addresses.address(&old), None);
    addresses.record_reported(&old.name, address(1));
    assert_eq!(addresses.address(&old), Some(address(1)));
    addresses.record_seen(&old, address(2), Timestamp(5));
    assert_eq!(addresses.address(&new), Some(address(2)), "another incarnation may have the same address");
    let mut addresses = AddressTable { configured: [("a".into(), address(3))].into(), ..addresses };
    assert_eq!((addresses.address(&old), addresses.address(&new)), (Some(address(2)), Some(address(3))));
    // Two processes of one name are distinguished.
    addresses.record_seen(&new, address(4), Timestamp(6));
    assert_eq!((addresses.address(&old), addresses.address(&new)), (Some(address(2)), Some(address(4))));
    assert_eq!(addresses.shared_address(&new.name), Some(address(4)));
}

#[test]
fn the_table_is_bounded_and_forgets_the_least_recently_seen() {
    let mut addresses = AddressTable::default();
    for n in 0..2 * MAX_ADDRESSES as u64 {
        addresses.record_seen(&Identity::new("a", n), address(1), Timestamp(n as i64));
        addresses.record_reported(&format!("n{n}").as_str().into(), address(1));
    }
    assert_eq!((addresses.seen.len(), addresses.reported.len()), (MAX_ADDRESSES, MAX_ADDRESSES));
    assert!(!addresses.seen.contains_key(&Identity::new("a", 0)));
}
