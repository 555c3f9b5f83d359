//! The folder of the session log, which only its own user may use: the temporary folder may be shared.

use std::fs::{DirBuilder, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{DirBuilderExt, MetadataExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

/// Access for the owner alone, to a folder and to a file.
const FOLDER_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;
/// Permissions of users other than the owner.
const OTHERS_MODE: u32 = 0o077;
/// Maximum number of characters of the proxy's name in the folder's name.
const MAX_NAME_LENGTH: usize = 64;

/// Returns the folder within `parent` for the log of the proxy with this name at this address: the processes
/// of one proxy have all three in common.
pub(crate) fn path(parent: &Path, name: &str, address: SocketAddr) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    let name: String = name.chars().take(MAX_NAME_LENGTH).map(plain).collect();
    let address: String = address.to_string().chars().map(plain).collect();
    parent.join(format!("wheelpier-{name}-{address}"))
}

/// Creates the folder unless it exists.
///
/// # Errors
/// Returns an error if it cannot be created, and if another user owns it or may use it.
pub(super) fn create(folder: &Path) -> io::Result<()> {
    match DirBuilder::new().mode(FOLDER_MODE).create(folder) {
        Err(error) if error.kind() != io::ErrorKind::AlreadyExists => return Err(error),
        _ => {}
    }
    let metadata = std::fs::symlink_metadata(folder)?;
    let own_user = std::fs::metadata("/proc/self")?.uid();
    let is_private = metadata.permissions().mode() & OTHERS_MODE == 0;
    if metadata.is_dir() && metadata.uid() == own_user && is_private {
        Ok(())
    } else {
        Err(io::Error::new(io::ErrorKind::PermissionDenied, "other users may use the folder"))
    }
}

/// Opens a file of the folder for reading and writing, and creates it if necessary.
///
/// # Errors
/// Returns the errors of open(2).
pub(super) fn open_file(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .mode(FILE_MODE)
        .custom_flags(libc::O_NOFOLLOW)
        .open(path)
}
