use super::*;

#[tokio::test]
async fn a_second_process_can_listen_beside_the_first() {
    let first = Listeners::bind(&[(Protocol::Postgres, "127.0.0.1:0".parse().unwrap())]).await.unwrap();
    let (_, address) = first.addresses().unwrap()[0];
    let second = Listeners::bind(&[(Protocol::Postgres, address)]).await;
    assert_eq!(second.unwrap().addresses().unwrap()[0].1, address);
}

#[tokio::test]
async fn a_listener_that_does_not_share_keeps_its_address() {
    let alone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = alone.local_addr().unwrap();
    let refused = Listeners::bind(&[(Protocol::Postgres, address)]).await.unwrap_err();
    assert_eq!(refused.kind(), io::ErrorKind::AddrInUse);
    assert!(refused.to_string().contains(&address.to_string()));
}

/// Guards against a handover that decides where the connections of the next upgrade go.
#[tokio::test]
async fn a_process_that_joins_after_a_handover_shares_connections_with_the_one_before() {
    let old = Listeners::bind(&[(Protocol::Postgres, "127.0.0.1:0".parse().unwrap())]).await.unwrap();
    let (protocol, address) = old.addresses().unwrap()[0];
    let new = Listeners::bind(&[(protocol, address)]).await.unwrap();
    let last = port_group::members(address).unwrap().next().unwrap();
    port_group::direct_to(&old.all[0].socket, last).unwrap();
    drop(old);
    let next = Listeners::bind(&[(protocol, address)]).await.unwrap();
    let _clients: Vec<_> = (0..40).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    for listeners in [new, next] {
        let mut waiting = Vec::new();
        listeners.all[0].accept_queue(&mut waiting).unwrap();
        assert!(!waiting.is_empty());
    }
}
