//! Messages that are too long for a datagram: one a connection, its length before it (`docs/protocol/peers.md`).

use crate::membership::transport::{Parcel, LONGEST_STREAM};
use crate::peer_metrics::PeerMetrics;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, timeout};

/// Messages that may wait for the actor.
const WAITING: usize = 32;
/// A message is there whole, or written whole, within this time.
const WHOLE: Duration = Duration::from_secs(1);

/// Streams from and to other members.
pub(super) struct Streams {
    writers: Arc<Semaphore>,
    /// Streams at once, in each direction.
    at_once: usize,
    tally: Arc<PeerMetrics>,
}

impl Streams {
    pub fn new(at_once: usize, tally: Arc<PeerMetrics>) -> Self {
        Self { writers: Arc::new(Semaphore::new(at_once)), at_once, tally }
    }

    /// What comes on streams.
    pub fn listen(&self, listener: TcpListener) -> mpsc::Receiver<Vec<u8>> {
        let (sender, arrived) = mpsc::channel(WAITING);
        tokio::spawn(accept(listener, self.at_once, sender, Arc::clone(&self.tally)));
        arrived
    }

    /// Writes it, unless too many are being written.
    pub fn send(&self, parcel: Parcel) {
        let Ok(seat) = Arc::clone(&self.writers).try_acquire_owned() else { return self.tally.unsent() };
        let tally = Arc::clone(&self.tally);
        tokio::spawn(async move {
            let _seat = seat;
            if !matches!(timeout(WHOLE, write(&parcel)).await, Ok(Ok(()))) {
                tally.unsent();
            }
        });
    }
}

async fn write(parcel: &Parcel) -> io::Result<()> {
    let mut stream = TcpStream::connect(parcel.address).await?;
    let length = u32::try_from(parcel.bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&parcel.bytes).await?;
    stream.shutdown().await
}

/// Ends with the actor, whose mailbox it fills.
async fn accept(
    listener: TcpListener,
    at_once: usize,
    sender: mpsc::Sender<Vec<u8>>,
    tally: Arc<PeerMetrics>,
) {
    let seats = Arc::new(Semaphore::new(at_once));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = sender.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors: who waits is taken a moment later.
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(seat) = Arc::clone(&seats).try_acquire_owned() else {
            tally.crowded();
            continue;
        };
        let (sender, tally) = (sender.clone(), Arc::clone(&tally));
        tokio::spawn(async move {
            let _seat = seat;
            if let Ok(Ok(bytes)) = timeout(WHOLE, read(stream)).await {
                if sender.try_send(bytes).is_err() {
                    tally.crowded();
                }
            }
        });
    }
}

async fn read(mut stream: TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > LONGEST_STREAM {
        return Err(io::ErrorKind::InvalidData.into());
    }
    // Room is made as bytes come, not as a stranger says that they will.
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() == length {
        Ok(bytes)
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}
