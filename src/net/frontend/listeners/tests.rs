use super::*;

#[tokio::test]
async fn a_second_process_can_listen_at_the_same_address() {
    let first = Listeners::bind(&[(Protocol::Postgres, "127.0.0.1:0".parse().unwrap())]).await.unwrap();
    let (_, address) = first.addresses().unwrap()[0];
    let second = Listeners::bind(&[(Protocol::Postgres, address)]).await;
    assert_eq!(second.unwrap().addresses().unwrap()[0].1, address);
}

#[tokio::test]
async fn an_address_that_is_not_shared_cannot_be_bound_again() {
    let unshared = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unshared.local_addr().unwrap();
    let error = Listeners::bind(&[(Protocol::Postgres, address)]).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::AddrInUse);
    assert!(error.to_string().contains(&address.to_string()));
}

/// Guards against a redirection that outlives its handover: without its removal the connections of the next
/// upgrade would all go to one process.
#[tokio::test]
async fn a_listener_that_is_bound_after_a_handover_removes_the_redirection() {
    let old = Listeners::bind(&[(Protocol::Postgres, "127.0.0.1:0".parse().unwrap())]).await.unwrap();
    let (protocol, address) = old.addresses().unwrap()[0];
    let new = Listeners::bind(&[(protocol, address)]).await.unwrap();
    let last = port_group::members(address).unwrap().next().unwrap();
    port_group::direct_to(&old.all[0].socket, last).unwrap();
    drop(old);
    let next = Listeners::bind(&[(protocol, address)]).await.unwrap();
    let _clients: Vec<_> = (0..40).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    for listeners in [new, next] {
        let mut accepted = Vec::new();
        listeners.all[0].accept_queue(&mut accepted).unwrap();
        assert!(!accepted.is_empty());
    }
}
