//! The log of session writes that all processes of one proxy share, in a file of the temporary folder
//! (`$TMPDIR`), which an upgrade or a restart keeps.
//!
//! Each process appends to a region of its own before the write is sent and before its client is answered,
//! and reads what the others have appended before it decides on a session's read. So a read sees the writes
//! that another process has acknowledged, whether that process still runs, has ended or was killed: what is
//! written to a file outlives its process. Nothing is synchronized to the disk, since a machine that fails
//! ends every process of the proxy.
//!
//! The file begins with the number of records that were ever appended to each region. A region holds the
//! latest [`CAPACITY`] of them; each record carries the position by which everything older was committed.
//! A region belongs to the process that holds the lock on its lock file, and the next process that takes it
//! goes on where the last one stopped. The lock ends with its process, however that ends.

mod folder;
mod record;

use crate::interface::{LogPosition, SessionWrite, WriteProgress};
use record::{Record, RECORD_BYTES};
use std::fs::{File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

pub(crate) use folder::path;

/// Name of the log in its folder; the number changes with the format.
const FILE_NAME: &str = "session-writes-1";
/// Maximum number of processes that share a log.
const MAX_PROCESSES: usize = 8;
/// Number of records that a region holds.
const CAPACITY: u64 = 4096;
/// Offset of the first region: the page before it has the regions' record counts.
const REGIONS_OFFSET: u64 = 4096;
/// Number of records that are read at once.
const READ_BATCH: u64 = 64;
/// Position before every commit.
const NO_COMMIT: i64 = i64::MIN;

/// News from the other processes. Positions are on the hosts' clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogEntry {
    /// The progress of a write.
    Write(SessionWrite),
    /// Writes that were committed by this position were missed.
    Missed(LogPosition),
    /// Any writes may have been missed.
    AllMissed,
}

/// The log, as one process appends to it and reads it.
#[derive(Debug)]
pub(crate) struct SessionLog {
    folder: PathBuf,
    file: File,
    /// The lock on this process's region, held until this value is dropped.
    _lock: File,
    /// Index of this process's region.
    region: usize,
    /// Number of records of each region that were read, or appended to the own one.
    read: [u64; MAX_PROCESSES],
    /// The highest floor that was read from each region.
    floors: [i64; MAX_PROCESSES],
    /// Positions of the commits in the slots of the own region.
    commits: Box<[i64]>,
    /// Position by which every write was committed whose record left the own region, or never reached it.
    floor: i64,
    /// What the regions held when the log was opened, until it is read.
    initial: Vec<LogEntry>,
}

impl SessionLog {
    /// Opens the log in `folder`, which is created if necessary, and takes a free region.
    ///
    /// # Errors
    /// Returns an error if the folder or a file cannot be used, or belongs to another user, and if
    /// [`MAX_PROCESSES`] processes share the log already.
    pub fn open(folder: &Path) -> io::Result<Self> {
        folder::create(folder)?;
        let file = folder::open_file(&folder.join(FILE_NAME))?;
        let (region, lock) = lock_region(folder)?;
        let mut log = Self {
            folder: folder.to_owned(),
            file,
            _lock: lock,
            region,
            read: [0; MAX_PROCESSES],
            floors: [NO_COMMIT; MAX_PROCESSES],
            commits: vec![NO_COMMIT; CAPACITY as usize].into(),
            floor: NO_COMMIT,
            initial: Vec::new(),
        };
        let mut entries = Vec::new();
        log.read_regions(true, &mut entries)?;
        log.floor = log.floors[region];
        log.initial = entries;
        Ok(log)
    }

    /// Returns the index of this process's region.
    pub fn region(&self) -> usize {
        self.region
    }

    /// Returns the number of other processes that share the log now.
    ///
    /// # Errors
    /// Returns an error if the lock of a region cannot be examined.
    pub fn other_processes(&self) -> io::Result<usize> {
        count_others(&self.folder, self.region)
    }

    /// Appends a write of this process. Positions are on the hosts' clock. Other processes that read the log
    /// from now on see the record.
    ///
    /// # Errors
    /// Returns the errors of pwrite(2). A commit that could not be appended counts as one whose record was
    /// overwritten: the floor of the next record covers it.
    pub fn append(&mut self, write: SessionWrite) -> io::Result<()> {
        let number = self.read[self.region] + 1;
        let slot = slot(number);
        let commit = commit_position(&write);
        let floor = self.floor.max(self.commits[slot]);
        let record = Record { number, write, written_at_us: unix_time_us(), floor: LogPosition(floor) };
        let count_offset = (self.region * size_of::<u64>()) as u64;
        let appended = self
            .file
            .write_all_at(&record.encode(), record_offset(self.region, slot))
            .and_then(|()| self.file.write_all_at(&number.to_le_bytes(), count_offset));
        if appended.is_ok() {
            self.read[self.region] = number;
            self.commits[slot] = commit;
            self.floor = floor;
        } else {
            self.commits[slot] = NO_COMMIT;
            self.floor = floor.max(commit);
        }
        appended
    }

    /// Appends to `entries` what the other processes have appended since the last call; at the first call all
    /// that the log holds.
    ///
    /// # Errors
    /// Returns the errors of pread(2).
    pub fn read_new(&mut self, entries: &mut Vec<LogEntry>) -> io::Result<()> {
        entries.append(&mut self.initial);
        self.read_regions(false, entries)
    }

    fn read_regions(&mut self, includes_own: bool, entries: &mut Vec<LogEntry>) -> io::Result<()> {
        let mut counts = [0; MAX_PROCESSES * size_of::<u64>()];
        read_at(&self.file, &mut counts, 0)?;
        let (counts, _) = counts.as_chunks::<8>();
        for (region, count) in counts.iter().enumerate() {
            if includes_own || region != self.region {
                self.read_region(region, u64::from_le_bytes(*count), entries)?;
            }
        }
        Ok(())
    }

    /// Reads the records of a region up to number `count`, those that are still there.
    fn read_region(&mut self, region: usize, count: u64, entries: &mut Vec<LogEntry>) -> io::Result<()> {
        let (now_us, floor_before) = (unix_time_us(), self.floors[region]);
        let mut batch = [0; READ_BATCH as usize * RECORD_BYTES];
        let mut next = self.read[region].max(count.saturating_sub(CAPACITY)) + 1;
        while next <= count {
            let until_wrap = CAPACITY - slot(next) as u64;
            let length = READ_BATCH.min(until_wrap).min(count - next + 1);
            let bytes = &mut batch[..length as usize * RECORD_BYTES];
            read_at(&self.file, bytes, record_offset(region, slot(next)))?;
            let (records, _) = bytes.as_chunks::<RECORD_BYTES>();
            for (record, number) in records.iter().zip(next..) {
                match Record::decode(record, number) {
                    Some(record) => self.take_record(region, &record, now_us, entries),
                    // It was overwritten by a process that is further ahead, or not written completely.
                    None => entries.push(LogEntry::AllMissed),
                }
            }
            next += length;
        }
        self.read[region] = self.read[region].max(count);
        if self.floors[region] > floor_before {
            entries.push(LogEntry::Missed(LogPosition(self.floors[region])));
        }
        Ok(())
    }

    fn take_record(&mut self, region: usize, record: &Record, now_us: i64, entries: &mut Vec<LogEntry>) {
        self.floors[region] = self.floors[region].max(record.floor.0);
        if region == self.region {
            self.commits[slot(record.number)] = commit_position(&record.write);
        }
        entries.push(LogEntry::Write(record.write_at(now_us)));
    }
}

/// Returns the number of other processes that share the log.
///
/// # Errors
/// Returns an error if the lock of a region cannot be examined.
fn count_others(folder: &Path, own_region: usize) -> io::Result<usize> {
    let mut others = 0;
    for region in (0..MAX_PROCESSES).filter(|region| *region != own_region) {
        match File::open(folder.join(lock_name(region))) {
            Ok(file) => {
                others += usize::from(matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error),
        }
    }
    Ok(others)
}

fn lock_name(region: usize) -> String {
    format!("region-{region}.lock")
}

/// Takes the lock of the first region that no process holds. Returns its index and the locked file.
fn lock_region(folder: &Path) -> io::Result<(usize, File)> {
    for region in 0..MAX_PROCESSES {
        let file = folder::open_file(&folder.join(lock_name(region)))?;
        match file.try_lock() {
            Ok(()) => return Ok((region, file)),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) => return Err(error),
        }
    }
    Err(io::Error::new(io::ErrorKind::ResourceBusy, "too many processes share the log"))
}

/// Returns the slot of a record in its region.
fn slot(number: u64) -> usize {
    ((number - 1) % CAPACITY) as usize
}

fn record_offset(region: usize, slot: usize) -> u64 {
    REGIONS_OFFSET + (region as u64 * CAPACITY + slot as u64) * RECORD_BYTES as u64
}

fn commit_position(write: &SessionWrite) -> i64 {
    match write.progress {
        WriteProgress::Committed(position) => position.0,
        WriteProgress::Sent { .. } | WriteProgress::Ended { .. } => NO_COMMIT,
    }
}

/// Fills `bytes` from `offset` on; what is behind the end of the file counts as zeros.
fn read_at(file: &File, bytes: &mut [u8], offset: u64) -> io::Result<()> {
    bytes.fill(0);
    match file.read_exact_at(bytes, offset) {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(()),
        result => result,
    }
}

fn unix_time_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}

#[cfg(test)]
mod tests;
