//! A relay between two processes: datagrams and streams, each direction by itself. Each process is given the relay's address
//! for the other one, and hears it from there, so neither knows where the other one really is.

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

/// The longest datagram there is.
const LONGEST: usize = 65_536;

/// Both directions between two processes, called the first and the second. Ends when dropped.
pub struct Relay {
    /// Where the first process finds the second.
    pub for_first: SocketAddr,
    /// Where the second process finds the first.
    pub for_second: SocketAddr,
    ways: [Arc<Mutex<Link>>; 2],
    tasks: Vec<AbortHandle>,
}

impl Relay {
    /// Between processes that will listen at those addresses.
    ///
    /// # Errors
    /// When ports cannot be had.
    pub async fn start(first: SocketAddr, second: SocketAddr, seed: u64) -> io::Result<Self> {
        let ((near_first, streams_first), (near_second, streams_second)) = (port().await?, port().await?);
        let (for_first, for_second) = (near_first.local_addr()?, near_second.local_addr()?);
        let ways = [Arc::default(), Arc::default()];
        let (near_first, near_second) = (Arc::new(near_first), Arc::new(near_second));
        // What comes to the first one's side goes out from the second one's, so that it comes from there.
        let tasks = [
            datagrams(Arc::clone(&near_first), Arc::clone(&near_second), second, Arc::clone(&ways[0]), seed),
            datagrams(near_second, near_first, first, Arc::clone(&ways[1]), seed + 1),
            streams(streams_first, second, ways.clone()),
            streams(streams_second, first, ways.clone()),
        ];
        let tasks = tasks.iter().map(JoinHandle::abort_handle).collect();
        Ok(Self { for_first, for_second, ways, tasks })
    }

    /// From the first process to the second.
    pub fn set_forth(&self, link: Link) {
        *self.ways[0].lock().unwrap_or_else(PoisonError::into_inner) = link;
    }

    /// From the second process to the first.
    pub fn set_back(&self, link: Link) {
        *self.ways[1].lock().unwrap_or_else(PoisonError::into_inner) = link;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// One port for both kinds.
async fn port() -> io::Result<(UdpSocket, TcpListener)> {
    let mut last = io::Error::other("no port");
    for _ in 0..16 {
        let streams = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(streams.local_addr()?).await {
            Ok(datagrams) => return Ok((datagrams, streams)),
            Err(problem) => last = problem,
        }
    }
    Err(last)
}

fn link(way: &Mutex<Link>) -> Link {
    way.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

fn datagrams(
    from: Arc<UdpSocket>,
    out: Arc<UdpSocket>,
    to: SocketAddr,
    way: Arc<Mutex<Link>>,
    seed: u64,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let (mut random, mut recording) = (ChaCha8Rng::seed_from_u64(seed), Recording::default());
        let mut room = vec![0; LONGEST];
        loop {
            // A receiver that is not there shows as an error here: it may be there soon.
            let Ok((length, _)) = from.recv_from(&mut room).await else { continue };
            let link = link(&way);
            let (bytes, earlier) = recording.pass(&link, &room[..length], &mut random);
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

/// A stream needs both directions: one that is cut, or of another version, ends it; delays count once.
fn streams(listener: TcpListener, to: SocketAddr, ways: [Arc<Mutex<Link>>; 2]) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let Ok((mut near, _)) = listener.accept().await else { continue };
            let links = [link(&ways[0]), link(&ways[1])];
            if links.iter().any(|link| link.cut || link.version.is_some()) {
                continue;
            }
            let delay = links.iter().map(|link| link.delay_ms.max(0.0)).sum::<f64>();
            tokio::spawn(async move {
                sleep(Duration::from_micros((delay * 1_000.0) as u64)).await;
                if let Ok(mut far) = TcpStream::connect(to).await {
                    let _ = copy_bidirectional(&mut near, &mut far).await;
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

    const SHORT: Duration = Duration::from_millis(100);

    async fn hears(socket: &UdpSocket) -> Option<(Vec<u8>, SocketAddr)> {
        let mut room = [0; 64];
        let (length, from) = timeout(SHORT, socket.recv_from(&mut room)).await.ok()?.ok()?;
        Some((room[..length].to_vec(), from))
    }

    #[tokio::test]
    async fn each_direction_is_cut_by_itself_and_each_hears_the_other_from_where_it_writes_to_it() {
        let (a, streams_a) = port().await.unwrap();
        let (b, streams_b) = port().await.unwrap();
        let relay = Relay::start(a.local_addr().unwrap(), b.local_addr().unwrap(), 7).await.unwrap();
        a.send_to(b"one", relay.for_first).await.unwrap();
        assert_eq!(hears(&b).await, Some((b"one".to_vec(), relay.for_second)));
        relay.set_forth(Link { cut: true, ..Link::default() });
        a.send_to(b"two", relay.for_first).await.unwrap();
        assert_eq!(hears(&b).await, None);
        b.send_to(b"three", relay.for_second).await.unwrap();
        assert_eq!(hears(&a).await, Some((b"three".to_vec(), relay.for_first)));
        // Streams, while it is cut and once it is well.
        let mut cut = TcpStream::connect(relay.for_first).await.unwrap();
        assert_eq!(cut.read(&mut [0; 8]).await.unwrap_or(0), 0);
        relay.set_forth(Link::default());
        let mut stream = TcpStream::connect(relay.for_first).await.unwrap();
        stream.write_all(b"four").await.unwrap();
        let (mut accepted, _) = streams_b.accept().await.unwrap();
        let mut room = [0; 4];
        accepted.read_exact(&mut room).await.unwrap();
        assert_eq!(&room, b"four");
        drop(streams_a);
    }
}
