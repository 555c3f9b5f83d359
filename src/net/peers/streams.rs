//! Messages that are too long for a datagram: one for each connection, preceded by its length
//! (`docs/protocol/peers.md`).

use crate::membership::transport::{OutboundFrame, MAX_STREAM_BYTES};
use crate::peer_metrics::PeerMetrics;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, timeout};

/// Bound on the messages that wait for the actor.
const MESSAGE_CAPACITY: usize = 32;
/// Time within which a message has to be read or written.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, for lack of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Streams from and to other members.
pub(super) struct Streams {
    writers: Arc<Semaphore>,
    /// Bound on the streams that are open at a time, in each direction.
    max_concurrent: usize,
    metrics: Arc<PeerMetrics>,
}

impl Streams {
    /// Creates the streams with a bound on how many are open at a time in each direction.
    pub fn new(max_concurrent: usize, metrics: Arc<PeerMetrics>) -> Self {
        Self { writers: Arc::new(Semaphore::new(max_concurrent)), max_concurrent, metrics }
    }

    /// Starts to accept streams; returns the messages read from them.
    pub fn listen(&self, listener: TcpListener) -> mpsc::Receiver<Vec<u8>> {
        let (messages, received) = mpsc::channel(MESSAGE_CAPACITY);
        tokio::spawn(accept(listener, self.max_concurrent, messages, Arc::clone(&self.metrics)));
        received
    }

    /// Writes a message to a stream of its own. Drops it if too many are being written.
    pub fn send(&self, message: OutboundFrame) {
        let Ok(permit) = Arc::clone(&self.writers).try_acquire_owned() else {
            return self.metrics.unsent();
        };
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let _permit = permit;
            if !matches!(timeout(TRANSFER_TIMEOUT, write(&message)).await, Ok(Ok(()))) {
                metrics.unsent();
            }
        });
    }
}

async fn write(message: &OutboundFrame) -> io::Result<()> {
    let mut stream = TcpStream::connect(message.address).await?;
    let length = u32::try_from(message.bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&message.bytes).await?;
    stream.shutdown().await
}

/// Accepts streams until the actor, which receives the messages, has ended.
async fn accept(
    listener: TcpListener,
    max_concurrent: usize,
    messages: mpsc::Sender<Vec<u8>>,
    metrics: Arc<PeerMetrics>,
) {
    let readers = Arc::new(Semaphore::new(max_concurrent));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = messages.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&readers).try_acquire_owned() else {
            metrics.crowded();
            continue;
        };
        let (messages, metrics) = (messages.clone(), Arc::clone(&metrics));
        tokio::spawn(async move {
            let _permit = permit;
            if let Ok(Ok(bytes)) = timeout(TRANSFER_TIMEOUT, read(stream)).await {
                if messages.try_send(bytes).is_err() {
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
    // Memory is taken as bytes arrive, not as the length announces: the sender is not authenticated yet.
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() == length {
        Ok(bytes)
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}
