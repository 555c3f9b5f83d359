use super::*;
use crate::interface::{SessionId, TimeDelta};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// A folder that is removed when dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new() -> Self {
        static FOLDERS: AtomicU32 = AtomicU32::new(0);
        let number = FOLDERS.fetch_add(1, Relaxed);
        Self(std::env::temp_dir().join(format!("session-log-test-{}-{number}", std::process::id())))
    }

    /// Opens the log as one more process does, which reads what it holds.
    fn open(&self) -> (SessionLog, Vec<LogEntry>) {
        let mut log = SessionLog::open(&self.0).unwrap();
        let entries = read(&mut log);
        (log, entries)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn read(log: &mut SessionLog) -> Vec<LogEntry> {
    let mut entries = Vec::new();
    log.read_new(&mut entries).unwrap();
    entries
}

fn write(session: u64, progress: WriteProgress) -> SessionWrite {
    SessionWrite { session: SessionId(session), group: 3, progress }
}

fn commit(session: u64, position: i64) -> SessionWrite {
    write(session, WriteProgress::Committed(LogPosition(position)))
}

/// Guards against a read through one process that misses a write which the other has just acknowledged, in
/// both directions.
#[test]
fn each_process_sees_at_once_what_the_other_appends() {
    let folder = TestFolder::new();
    let ((mut old, _), (mut new, _)) = (folder.open(), folder.open());
    assert_eq!((old.region(), new.region()), (0, 1));
    for number in 0..200 {
        old.append(commit(number, 10)).unwrap();
        new.append(commit(number, 20)).unwrap();
        assert_eq!(read(&mut new), [LogEntry::Write(commit(number, 10))]);
        assert_eq!(read(&mut old), [LogEntry::Write(commit(number, 20))]);
    }
    assert_eq!(read(&mut new), []);
}

/// Guards against a process that starts after the end of the last one, or after its crash, and knows nothing
/// of the writes that were acknowledged.
#[test]
fn a_successor_reads_what_ended_processes_have_appended() {
    let folder = TestFolder::new();
    let (mut log, entries) = folder.open();
    assert_eq!(entries, []);
    log.append(commit(1, 10)).unwrap();
    drop(log);
    let (mut log, entries) = folder.open();
    assert_eq!((log.region(), &entries[..]), (0, &[LogEntry::Write(commit(1, 10))][..]));
    log.append(commit(2, 20)).unwrap();
    drop(log);
    let (_log, entries) = folder.open();
    assert_eq!(entries, [LogEntry::Write(commit(1, 10)), LogEntry::Write(commit(2, 20))]);
}

/// Guards against overwritten records whose commits no floor covers.
#[test]
fn a_reader_that_was_overtaken_learns_the_latest_position_that_it_missed() {
    let folder = TestFolder::new();
    let ((mut writer, _), (mut reader, _)) = (folder.open(), folder.open());
    // The highest position is not the last one: answers come in any order.
    writer.append(commit(1, 5_000_000)).unwrap();
    for number in 1..CAPACITY + 100 {
        writer.append(commit(number, number as i64)).unwrap();
    }
    let (_, successor_entries) = folder.open();
    for entries in [successor_entries, read(&mut reader)] {
        assert_eq!(entries.last(), Some(&LogEntry::Missed(LogPosition(5_000_000))));
        assert_eq!(entries.len() as u64, CAPACITY + 1);
    }
}

/// Guards against a floor that is lost when another process goes on in the region.
#[test]
fn a_region_keeps_its_floor_under_its_next_owner() {
    let folder = TestFolder::new();
    let (mut first, _) = folder.open();
    first.append(commit(1, 5_000_000)).unwrap();
    for number in 1..CAPACITY {
        first.append(commit(number, number as i64)).unwrap();
    }
    drop(first);
    let (mut second, _) = folder.open();
    // Overwrites the record of the highest commit.
    second.append(commit(9, 1)).unwrap();
    drop(second);
    let (_, entries) = folder.open();
    assert!(entries.contains(&LogEntry::Missed(LogPosition(5_000_000))));
}

/// Guards against a commit that is forgotten because its record could not be written.
#[test]
fn a_commit_that_cannot_be_appended_raises_the_floor_of_the_next_record() {
    let folder = TestFolder::new();
    let ((mut writer, _), (mut reader, _)) = (folder.open(), folder.open());
    let file = std::mem::replace(&mut writer.file, File::open(folder.0.join(FILE_NAME)).unwrap());
    writer.append(commit(1, 700)).unwrap_err();
    writer.file = file;
    writer.append(commit(2, 10)).unwrap();
    let expected = [LogEntry::Write(commit(2, 10)), LogEntry::Missed(LogPosition(700))];
    assert_eq!(read(&mut reader), expected);
}

/// Guards against a record that was written in part, or overwritten while it was read, and counts as a write.
#[test]
fn a_damaged_record_counts_as_writes_that_were_missed() {
    let folder = TestFolder::new();
    let ((mut writer, _), (mut reader, _)) = (folder.open(), folder.open());
    writer.append(commit(1, 10)).unwrap();
    writer.file.write_all_at(&[0xff], record_offset(0, 0) + 9).unwrap();
    assert_eq!(read(&mut reader), [LogEntry::AllMissed]);
}

/// Guards against writes of a process that was killed which count as open for ever, and against a wall clock
/// that was set back.
#[test]
fn the_time_for_which_a_write_may_be_committed_runs_from_its_record() {
    let span = Some(TimeDelta(3_000));
    for (age, remaining) in [(0, 3_000), (1_000, 2_000), (5_000, 0), (-7_000, 3_000)] {
        let remaining = Some(TimeDelta(remaining));
        let sent = |span: Option<TimeDelta>| WriteProgress::Sent { may_commit_for: span.unwrap() };
        let ended = |span| WriteProgress::Ended { may_commit_for: span };
        for (before, after) in [(sent(span), sent(remaining)), (ended(span), ended(remaining))] {
            let record =
                Record { number: 1, write: write(1, before), written_at_us: 50_000, floor: LogPosition(0) };
            let decoded = Record::decode(&record.encode(), 1).unwrap();
            assert_eq!(decoded, record);
            assert_eq!(decoded.write_at(50_000 + age), write(1, after));
        }
    }
}

#[test]
fn as_many_processes_as_there_are_regions_share_a_log() {
    let folder = TestFolder::new();
    let logs: Vec<_> = (0..MAX_PROCESSES).map(|_| folder.open()).collect();
    let error = SessionLog::open(&folder.0).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ResourceBusy);
    drop(logs);
    folder.open();
}

/// Guards against a log that another user of the machine can write.
#[test]
fn a_folder_that_others_may_use_is_not_used() {
    let folder = TestFolder::new();
    std::fs::create_dir(&folder.0).unwrap();
    std::fs::set_permissions(&folder.0, std::fs::Permissions::from_mode(0o770)).unwrap();
    assert_eq!(SessionLog::open(&folder.0).unwrap_err().kind(), io::ErrorKind::PermissionDenied);
}
