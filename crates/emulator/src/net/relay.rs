//! A relay that passes datagrams and streams between two processes, with separate faults for each direction.
//! Each process is given the relay's address in place of its peer's, and receives the peer's datagrams from
//! that address, so neither process sees its peer's real address.

use crate::link::{Link, Recording};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::sleep;

/// Maximum length of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A relay between two processes, called the first and the second. It ends when it is dropped.
pub struct Relay {
    /// The address at which the first process reaches the second.
    pub for_first: SocketAddr,
    /// The address at which the second process reaches the first.
    pub for_second: SocketAddr,
    links: [Arc<Mutex<Link>>; 2],
    tasks: Vec<AbortHandle>,
}

impl Relay {
    /// Starts a relay between processes that will listen at the given addresses.
    ///
    /// # Errors
    /// Fails if no ports can be bound.
    pub async fn start(first: SocketAddr, second: SocketAddr, seed: u64) -> io::Result<Self> {
        let ((socket_for_first, listener_for_first), (socket_for_second, listener_for_second)) =
            (bind_port().await?, bind_port().await?);
        let (for_first, for_second) = (socket_for_first.local_addr()?, socket_for_second.local_addr()?);
        let links = [Arc::default(), Arc::default()];
        let (socket_for_first, socket_for_second) = (Arc::new(socket_for_first), Arc::new(socket_for_second));
        // A datagram that arrives on one process's socket is sent from the other's, so that its source is the
        // peer's address.
        let tasks = [
            relay_datagrams(
                Arc::clone(&socket_for_first),
                Arc::clone(&socket_for_second),
                second,
                Arc::clone(&links[0]),
                seed,
            ),
            relay_datagrams(socket_for_second, socket_for_first, first, Arc::clone(&links[1]), seed + 1),
            relay_streams(listener_for_first, second, links.clone()),
            relay_streams(listener_for_second, first, links.clone()),
        ];
        let tasks = tasks.iter().map(JoinHandle::abort_handle).collect();
        Ok(Self { for_first, for_second, links, tasks })
    }

    /// Sets the link from the first process to the second.
    pub fn set_forth(&self, link: Link) {
        *self.links[0].lock().unwrap_or_else(PoisonError::into_inner) = link;
    }

    /// Sets the link from the second process to the first.
    pub fn set_back(&self, link: Link) {
        *self.links[1].lock().unwrap_or_else(PoisonError::into_inner) = link;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Binds a UDP socket and a TCP listener to the same port.
async fn bind_port() -> io::Result<(UdpSocket, TcpListener)> {
    let mut last_error = io::Error::other("no port");
    for _ in 0..16 {
        let streams = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(streams.local_addr()?).await {
            Ok(datagrams) => return Ok((datagrams, streams)),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn current_link(link: &Mutex<Link>) -> Link {
    link.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

fn relay_datagrams(
    from: Arc<UdpSocket>,
    out: Arc<UdpSocket>,
    to: SocketAddr,
    link: Arc<Mutex<Link>>,
    seed: u64,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let (mut random, mut recording) = (ChaCha8Rng::seed_from_u64(seed), Recording::default());
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An earlier send to a receiver that does not listen yet is reported as an error here.
            let Ok((length, _)) = from.recv_from(&mut buffer).await else { continue };
            let link = current_link(&link);
            let (bytes, earlier) = recording.pass(&link, &buffer[..length], &mut random);
            for copy in link.carry(length, &mut random) {
                let (bytes, out) = (bytes[..copy.bytes].to_vec(), Arc::clone(&out));
                if copy.after == 0 {
                    let _ = out.try_send_to(&bytes, to);
                } else {
                    tokio::spawn(async move {
                        sleep(Duration::from_micros(copy.after as u64)).await;
                        let _ = out.try_send_to(&bytes, to);
                    });
                }
            }
            if let Some(earlier) = earlier.filter(|_| !link.cut) {
                let _ = out.try_send_to(&earlier, to);
            }
        }
    })
}

/// Relays streams. A stream needs both directions: it is closed at once if either is cut or overwrites the
/// version. The minimum delays of both directions are applied once, before the stream is connected.
fn relay_streams(listener: TcpListener, to: SocketAddr, links: [Arc<Mutex<Link>>; 2]) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let Ok((mut client, _)) = listener.accept().await else { continue };
            let current = [current_link(&links[0]), current_link(&links[1])];
            if current.iter().any(|link| link.cut || link.version.is_some()) {
                continue;
            }
            let delay = current.iter().map(|link| link.delay_ms.max(0.0)).sum::<f64>();
            tokio::spawn(async move {
                sleep(Duration::from_micros((delay * 1_000.0) as u64)).await;
                if let Ok(mut server) = TcpStream::connect(to).await {
                    let _ = copy_bidirectional(&mut client, &mut server).await;
                }
            });
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::time::timeout;

    const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

    async fn receive(socket: &UdpSocket) -> Option<(Vec<u8>, SocketAddr)> {
        let mut buffer = [0; 64];
        let (length, from) = timeout(RECEIVE_TIMEOUT, socket.recv_from(&mut buffer)).await.ok()?.ok()?;
        Some((buffer[..length].to_vec(), from))
    }

    #[tokio::test]
    async fn directions_are_cut_separately_and_peers_appear_at_the_relay_address() {
        let (a, listener_a) = bind_port().await.unwrap();
        let (b, listener_b) = bind_port().await.unwrap();
        let relay = Relay::start(a.local_addr().unwrap(), b.local_addr().unwrap(), 7).await.unwrap();
        a.send_to(b"one", relay.for_first).await.unwrap();
        assert_eq!(receive(&b).await, Some((b"one".to_vec(), relay.for_second)));
        relay.set_forth(Link { cut: true, ..Link::default() });
        a.send_to(b"two", relay.for_first).await.unwrap();
        assert_eq!(receive(&b).await, None);
        b.send_to(b"three", relay.for_second).await.unwrap();
        assert_eq!(receive(&a).await, Some((b"three".to_vec(), relay.for_first)));
        // Streams, while the link is cut and after it is restored.
        let mut cut_stream = TcpStream::connect(relay.for_first).await.unwrap();
        assert_eq!(cut_stream.read(&mut [0; 8]).await.unwrap_or(0), 0);
        relay.set_forth(Link::default());
        let mut stream = TcpStream::connect(relay.for_first).await.unwrap();
        stream.write_all(b"four").await.unwrap();
        let (mut accepted, _) = listener_b.accept().await.unwrap();
        let mut buffer = [0; 4];
        accepted.read_exact(&mut buffer).await.unwrap();
        assert_eq!(&buffer, b"four");
        drop(listener_a);
    }
}
