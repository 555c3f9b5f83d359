//! Streams for messages that are too long for a datagram: one message on each connection, preceded by its
//! length (`docs/protocol/peers.md`).

use crate::membership::transport::{OutboundFrame, MAX_STREAM_BYTES};
use crate::peer_metrics::PeerMetrics;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, timeout};

/// Maximum number of received messages that wait for the actor.
const MESSAGE_CAPACITY: usize = 32;
/// Timeout for reading or writing a message.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, for lack of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Streams from and to other members.
pub(super) struct Streams {
    /// Has one permit for each stream that may be written at a time.
    write_permits: Arc<Semaphore>,
    /// Maximum number of open streams in each direction.
    max_concurrent: usize,
    metrics: Arc<PeerMetrics>,
}

impl Streams {
    /// Creates the streams, of which at most `max_concurrent` are open at a time in each direction.
    pub fn new(max_concurrent: usize, metrics: Arc<PeerMetrics>) -> Self {
        Self { write_permits: Arc::new(Semaphore::new(max_concurrent)), max_concurrent, metrics }
    }

    /// Starts to accept streams. Returns the channel of the messages read from them.
    pub fn listen(&self, listener: TcpListener) -> mpsc::Receiver<Vec<u8>> {
        let (messages, received_messages) = mpsc::channel(MESSAGE_CAPACITY);
        tokio::spawn(accept(listener, self.max_concurrent, messages, Arc::clone(&self.metrics)));
        received_messages
    }

    /// Writes a message to a stream of its own. Drops the message if too many streams are being written.
    pub fn send(&self, message: OutboundFrame) {
        let Ok(permit) = Arc::clone(&self.write_permits).try_acquire_owned() else {
            return self.metrics.record_unsent();
        };
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let _permit = permit;
            if !matches!(timeout(TRANSFER_TIMEOUT, write(&message)).await, Ok(Ok(()))) {
                metrics.record_unsent();
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
    let read_permits = Arc::new(Semaphore::new(max_concurrent));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = messages.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&read_permits).try_acquire_owned() else {
            metrics.record_over_capacity();
            continue;
        };
        let (messages, metrics) = (messages.clone(), Arc::clone(&metrics));
        tokio::spawn(async move {
            let _permit = permit;
            if let Ok(Ok(bytes)) = timeout(TRANSFER_TIMEOUT, read(stream)).await {
                if messages.try_send(bytes).is_err() {
                    metrics.record_over_capacity();
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
    // Memory is allocated as bytes arrive, not by the announced length: the sender is not authenticated yet.
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() == length {
        Ok(bytes)
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}
