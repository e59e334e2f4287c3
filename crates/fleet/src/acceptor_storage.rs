//! Storage of the voter's file.
//!
//! A write goes to a temporary file in the same directory. The temporary file is synced and renamed over the old file,
//! and then the directory is synced. After a crash the file has either the old or the new content, and content that was
//! reported as durable is not lost. The trait [`FileStore`] abstracts file access: [`DiskFile`] is a file in the
//! operating system's file system, and [`MemoryFile`] is a file in memory that tests can damage and whose writes can be
//! made to fail.

use crate::codec::{acceptor_file_from_proto, acceptor_file_to_proto};
use cindercleat::coordination::register::AcceptorState;
use cindercleat_protocol::v1;
use prost::Message;
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::future::Future;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The first bytes of every voter's file.
const MAGIC: &[u8; 4] = b"ccvt";
/// The version of the file format, stored after the magic bytes.
const FORMAT_VERSION: u8 = 1;
/// The maximum size of a valid voter's file.
const MAX_FILE_BYTES: usize = 1 << 20;

/// Why a voter's file cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The operating system failed to read the file.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file does not begin with the magic bytes, or is too large.
    #[error("not a voter's file")]
    NotAVoterFile,
    /// The file has a format version that this process does not support; the value is that version.
    #[error(
        "file format version {0} is not supported: this process supports version {FORMAT_VERSION}"
    )]
    UnknownVersion(u8),
    /// The file is truncated, its checksum does not match, or its content is not a valid acceptor state.
    #[error("file is corrupt: truncated, wrong checksum or invalid content")]
    Corrupt,
}

/// A file whose content is read and replaced only as a whole. Clones access the same file.
pub trait FileStore: Clone + 'static {
    /// The file's content, or `None` if the file does not exist.
    ///
    /// # Errors
    /// An I/O error if the file exists and cannot be read.
    fn read(&self) -> io::Result<Option<Vec<u8>>>;

    /// Replaces the content durably, without blocking the calling thread.
    ///
    /// # Errors
    /// An I/O error if the new content may not be durable. The file then has either the old or the new content.
    fn replace(&self, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>>;
}

/// Decodes the content of a voter's file.
///
/// # Errors
/// [`LoadError`] if the bytes are not a complete voter's file of a supported version.
pub fn decode(bytes: &[u8]) -> Result<AcceptorState, LoadError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(LoadError::NotAVoterFile);
    }
    let rest = bytes.strip_prefix(MAGIC).ok_or(LoadError::NotAVoterFile)?;
    let (&version, rest) = rest.split_first().ok_or(LoadError::Corrupt)?;
    if version != FORMAT_VERSION {
        return Err(LoadError::UnknownVersion(version));
    }
    let (checksum, body) = rest.split_first_chunk::<4>().ok_or(LoadError::Corrupt)?;
    if crc32fast::hash(body).to_be_bytes() != *checksum {
        return Err(LoadError::Corrupt);
    }
    v1::AcceptorFile::decode(body)
        .ok()
        .and_then(acceptor_file_from_proto)
        .ok_or(LoadError::Corrupt)
}

/// Encodes an acceptor's state as the content of a voter's file, with magic bytes, version and checksum.
pub fn encode(state: &AcceptorState) -> Vec<u8> {
    let body = acceptor_file_to_proto(state).encode_to_vec();
    [
        &MAGIC[..],
        &[FORMAT_VERSION],
        &crc32fast::hash(&body).to_be_bytes(),
        &body,
    ]
    .concat()
}

/// A voter's file in the operating system's file system, which survives restarts of the process.
#[derive(Clone, Debug)]
pub struct DiskFile {
    path: PathBuf,
}

impl DiskFile {
    /// The file at `path`. The file need not exist yet, but its directory has to.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        DiskFile { path: path.into() }
    }
}

/// Writes `bytes` to a temporary file and renames it to `path`; blocks until file and directory are synced.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary_path = path.with_extension("new");
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(&temporary_path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary_path, path)?;
    let directory = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}

impl FileStore for DiskFile {
    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            other => other.map(Some),
        }
    }

    async fn replace(&self, bytes: Vec<u8>) -> io::Result<()> {
        let path = self.path.clone();
        // The write runs on another thread: a sync takes milliseconds, during which the dispatcher's thread has to go
        // on forwarding tokens.
        let write_task = tokio::task::spawn_blocking(move || replace_file(&path, &bytes));
        write_task.await.map_err(io::Error::other)?
    }
}

/// A file in memory, for tests.
#[derive(Clone, Debug, Default)]
pub struct MemoryFile {
    bytes: Rc<RefCell<Option<Vec<u8>>>>,
    writes_fail: Rc<RefCell<bool>>,
}

impl MemoryFile {
    /// Replaces the content; `None` deletes the file.
    pub fn set(&self, bytes: Option<Vec<u8>>) {
        *self.bytes.borrow_mut() = bytes;
    }

    /// Makes all writes fail as on a full disk, or succeed again.
    pub fn fail_writes(&self, fail: bool) {
        *self.writes_fail.borrow_mut() = fail;
    }
}

impl FileStore for MemoryFile {
    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.bytes.borrow().clone())
    }

    async fn replace(&self, bytes: Vec<u8>) -> io::Result<()> {
        if *self.writes_fail.borrow() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.set(Some(bytes));
        Ok(())
    }
}
