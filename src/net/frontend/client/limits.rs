//! Timeouts and sizes of one client connection.

use std::time::Duration;

/// Maximum duration of the startup, counted from the accept.
pub(super) const STARTUP_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for the first complete request, counted from the accept. A client that sends no valid request has to
/// get an error or a close within 3 s of connecting; a connection may be closed for inactivity only after 2 s
/// of silence.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time for a complete message, counted from its first byte, or from the accept for the first request. Some
/// clients write slowly.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_700);
/// Time until an error is written, whatever is ahead of it in the pipeline. Errors are due within 3 s.
pub(super) const ERROR_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before the next statement is read after an invalid one, multiplied by the number of invalid
/// statements so far. Clients that repeat a rejected statement at once would otherwise take processor time
/// from others.
pub(super) const ERROR_BACKOFF: Duration = Duration::from_millis(40);
/// Pause before the next statement is read after a request was rejected for lack of memory. Clients that send a
/// long statement again at once would otherwise take the processor time in which memory is released.
pub(super) const MEMORY_BACKOFF: Duration = Duration::from_millis(50);
/// Time that a message which requests nothing of a host takes of its connection's share: a client may send so
/// many in the long run.
pub(super) const MESSAGE_INTERVAL: Duration = Duration::from_millis(2);
/// Number of such messages that are handled at once.
pub(super) const MESSAGE_BURST: u32 = 64;
/// Number of invalid statements after which a connection ends.
pub(super) const MAX_PROTOCOL_ERRORS: u32 = 8;
/// Time for which bytes that the client still sends are read and discarded after a fatal error. Without that
/// a reset might reach the client before the error. Also the time for which a connection with unread bytes
/// stays open after its last answer.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Length in bytes from which on an answer may stay in the system's send buffer for a while after it is
/// written.
pub(super) const LONG_ANSWER_BYTES: usize = 8 * 1024;
/// Time for which a connection stays open after its last bytes if it has just been written a long answer, and
/// time for which such an answer counts.
pub(super) const LONG_ANSWER_LINGER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum number of bytes that are read and discarded after a fatal error.
pub(super) const MAX_LINGER_BYTES: usize = 1 << 20;
/// Idle time after which a connection is closed under connection pressure.
pub(super) const PRESSURE_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after which a write fails if the client accepts no bytes.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Like [`WRITE_STALL_TIMEOUT`], once answers are due under a drain.
pub(super) const DRAIN_WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial capacity of the read buffer and of the write buffer, in bytes.
pub(super) const INITIAL_CAPACITY: usize = 1024;
/// Capacity in bytes above which a buffer is released once it is empty.
pub(super) const MAX_RETAINED_CAPACITY: usize = 4 * 1024;
/// Buffers are accounted for in multiples of this many bytes.
pub(super) const ACCOUNTING_STEP: usize = 1024;
/// Number of bytes that are read ahead while the pipeline is full, so that the end of the client's side is
/// usually seen.
pub(super) const READ_AHEAD_BYTES: usize = 16 * 1024;
/// Number of bytes in the write buffer from which on answers are written before further ones are encoded.
pub(super) const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Number of reads after which an idle connection leaves one turn to other events.
pub(super) const READS_PER_SIGNAL_TURN: u32 = 16;
/// Number of turns for which a connection that is due to be closed stays open because its socket has unread
/// bytes. The runtime needs one turn to see them.
pub(super) const MAX_UNREAD_TURNS: u32 = 8;
