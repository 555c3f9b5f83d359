//! Messages that are too long for a datagram: one a connection, its length before it (`docs/protocol/peers.md`).

use crate::membership::transport::{OutboundDatagram, MAX_STREAM_BYTES};
use crate::peer_metrics::PeerMetrics;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, timeout};

/// Messages that may wait for the actor.
const ARRIVED_CAPACITY: usize = 32;
/// A message is there whole, or written whole, within this time.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Streams from and to other members.
pub(super) struct Streams {
    writers: Arc<Semaphore>,
    /// Streams at once, in each direction.
    max_concurrent: usize,
    metrics: Arc<PeerMetrics>,
}

impl Streams {
    pub fn new(max_concurrent: usize, metrics: Arc<PeerMetrics>) -> Self {
        Self { writers: Arc::new(Semaphore::new(max_concurrent)), max_concurrent, metrics }
    }

    /// What comes on streams.
    pub fn listen(&self, listener: TcpListener) -> mpsc::Receiver<Vec<u8>> {
        let (sender, arrived) = mpsc::channel(ARRIVED_CAPACITY);
        tokio::spawn(accept(listener, self.max_concurrent, sender, Arc::clone(&self.metrics)));
        arrived
    }

    /// Writes it, unless too many are being written.
    pub fn send(&self, datagram: OutboundDatagram) {
        let Ok(permit) = Arc::clone(&self.writers).try_acquire_owned() else { return self.metrics.unsent() };
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let _seat = permit;
            if !matches!(timeout(TRANSFER_TIMEOUT, write(&datagram)).await, Ok(Ok(()))) {
                metrics.unsent();
            }
        });
    }
}

async fn write(datagram: &OutboundDatagram) -> io::Result<()> {
    let mut stream = TcpStream::connect(datagram.address).await?;
    let length = u32::try_from(datagram.bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&datagram.bytes).await?;
    stream.shutdown().await
}

/// Ends with the actor, whose mailbox it fills.
async fn accept(
    listener: TcpListener,
    max_concurrent: usize,
    sender: mpsc::Sender<Vec<u8>>,
    metrics: Arc<PeerMetrics>,
) {
    let permit = Arc::new(Semaphore::new(max_concurrent));
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
        let Ok(permit) = Arc::clone(&permit).try_acquire_owned() else {
            metrics.crowded();
            continue;
        };
        let (sender, metrics) = (sender.clone(), Arc::clone(&metrics));
        tokio::spawn(async move {
            let _seat = permit;
            if let Ok(Ok(bytes)) = timeout(TRANSFER_TIMEOUT, read(stream)).await {
                if sender.try_send(bytes).is_err() {
                    metrics.crowded();
                }
            }
        });
    }
}

async fn read(mut stream: TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_STREAM_BYTES {
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
