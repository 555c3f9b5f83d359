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
