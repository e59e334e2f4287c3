//! The voter's file. It is written beside its place, synced, renamed, and its folder synced: a cut leaves the old one
//! or the new one, and what was said to last does. File access is a parameter: [`Folder`] is the system's, and
//! [`Memory`] one that fails and damages as it is told.

use crate::codec::{file_in, file_out};
use cindercleat::coordination::register::AcceptorState;
use cindercleat_protocol::v1;
use prost::Message;
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::future::Future;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Marks the file as a voter's, and the version of its form.
const MARK: &[u8; 4] = b"ccvt";
const VERSION: u8 = 1;
/// A larger file is none of ours.
const MOST: usize = 1 << 20;

/// Why a file is not used.
#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("it is not a voter's file")]
    Foreign,
    #[error("it is of version {0}, and version {VERSION} is known here")]
    Newer(u8),
    #[error("it is damaged: its checksum or its content does not fit")]
    Damaged,
}

/// Where a file is read and replaced.
pub trait Disk: Clone + 'static {
    /// # Errors
    /// It cannot be read.
    fn read(&self) -> io::Result<Option<Vec<u8>>>;

    /// Replaces it so that it lasts. Does not block the thread that serves.
    ///
    /// # Errors
    /// It may not last: the old one or the new one is there.
    fn replace(&self, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>>;
}

/// What a file's bytes say.
///
/// # Errors
/// They are not what a voter wrote.
pub fn read(bytes: &[u8]) -> Result<AcceptorState, Unusable> {
    if bytes.len() > MOST {
        return Err(Unusable::Foreign);
    }
    let rest = bytes.strip_prefix(MARK).ok_or(Unusable::Foreign)?;
    let (&version, rest) = rest.split_first().ok_or(Unusable::Damaged)?;
    if version != VERSION {
        return Err(Unusable::Newer(version));
    }
    let (sum, body) = rest.split_first_chunk::<4>().ok_or(Unusable::Damaged)?;
    if crc32fast::hash(body).to_be_bytes() != *sum {
        return Err(Unusable::Damaged);
    }
    v1::AcceptorFile::decode(body)
        .ok()
        .and_then(file_in)
        .ok_or(Unusable::Damaged)
}

pub fn write(kept: &AcceptorState) -> Vec<u8> {
    let body = file_out(kept).encode_to_vec();
    [
        &MARK[..],
        &[VERSION],
        &crc32fast::hash(&body).to_be_bytes(),
        &body,
    ]
    .concat()
}

/// The system's files.
#[derive(Clone, Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Folder { path: path.into() }
    }
}

fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

impl Disk for Folder {
    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(&self.path) {
            Err(problem) if problem.kind() == io::ErrorKind::NotFound => Ok(None),
            other => other.map(Some),
        }
    }

    async fn replace(&self, bytes: Vec<u8>) -> io::Result<()> {
        let path = self.path.clone();
        // A sync takes milliseconds: tokens go on meanwhile.
        let job = tokio::task::spawn_blocking(move || replace(&path, &bytes));
        job.await.map_err(io::Error::other)?
    }
}

/// A file in memory.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    bytes: Rc<RefCell<Option<Vec<u8>>>>,
    fails: Rc<RefCell<bool>>,
}

impl Memory {
    /// What is there now, to be put back, damaged or taken away.
    pub fn set(&self, bytes: Option<Vec<u8>>) {
        *self.bytes.borrow_mut() = bytes;
    }

    /// Whether writes fail: the disk is full.
    pub fn fail(&self, fails: bool) {
        *self.fails.borrow_mut() = fails;
    }
}

impl Disk for Memory {
    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.bytes.borrow().clone())
    }

    async fn replace(&self, bytes: Vec<u8>) -> io::Result<()> {
        if *self.fails.borrow() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.set(Some(bytes));
        Ok(())
    }
}
