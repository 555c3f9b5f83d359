use super::*;
use std::net::{TcpListener, TcpStream};

/// Two sockets that listen at port 0x1938, one that listens at another port, and two connections.
const TABLE: &str =
    "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1938 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 11 1 0 100 0 0 10 0
   1: 0100007F:1939 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 12 1 0 100 0 0 10 0
   2: 0100007F:1938 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 13 1 0 100 0 0 10 0
   3: 0100007F:1938 0100007F:9C40 01 00000000:00000000 00:00000000 00000000     0        0 14 1 0 100 0 0 10 0
   4: 0100007F:1938 0100007F:9C42 01 00000000:00000000 00:00000000 00000000     0        0 15 1 0 100 0 0 10 0
";

/// Guards against counting connections, or listeners at other addresses, as members.
#[test]
fn only_listening_sockets_of_the_address_are_counted() {
    let address: SocketAddr = "127.0.0.1:6456".parse().unwrap();
    assert_eq!(proc_net_address(address), "0100007F:1938", "on a machine that stores the low byte first");
    assert_eq!(count_listening(TABLE.as_bytes(), &proc_net_address(address)).unwrap(), 2);
    assert_eq!(count_listening("".as_bytes(), &proc_net_address(address)).unwrap(), 0);
}

/// Guards against members of an IPv6 group that are not found, since IPv6 sockets are in another table.
#[test]
fn members_are_found_at_ipv4_and_ipv6_addresses() {
    for address in ["127.0.0.1:0", "[::1]:0"] {
        let Ok(listener) = TcpListener::bind(address) else { continue };
        assert_eq!(
            members(listener.local_addr().unwrap()).unwrap().collect::<Vec<_>>(),
            [Member(0)],
            "{address}"
        );
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(64).unwrap();
    socket.into()
}

/// Accepts all connections in the accept queue. Returns their number.
fn accept_queue(listener: &TcpListener) -> usize {
    std::iter::from_fn(|| listener.accept().ok()).count()
}

/// Guards against connections that reach a member although they are directed to another, and against a
/// program that stays in force after [`distribute`].
#[test]
fn connections_go_to_the_member_that_they_are_directed_to() {
    let first = listen("127.0.0.1:0".parse().unwrap());
    let address = first.local_addr().unwrap();
    let second = listen(address);
    let connect = || (0..40).map(|_| TcpStream::connect(address).unwrap()).collect::<Vec<_>>();
    for (member, counts) in [(Member(0), (40, 0)), (Member(1), (0, 40))] {
        direct_to(&first, member).unwrap();
        let _clients = connect();
        assert_eq!((accept_queue(&first), accept_queue(&second)), counts, "{member:?}");
    }
    distribute(&second).unwrap();
    let _clients = connect();
    assert!(accept_queue(&first) > 0 && accept_queue(&second) > 0);
}
