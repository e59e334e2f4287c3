//! Caches the newest endpoint list in a file for the next start.
//!
//! The file consists of a magic number of four bytes, a CRC-32 of four bytes (big endian), and the list in its wire
//! encoding. [`save`] writes a temporary file in the same directory, syncs and renames it, and syncs the directory.
//! After a crash, the file therefore contains either the complete old list or the complete new list.

use cindercleat_protocol::v1::EndpointList;
use prost::Message;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// The magic number at the start of the file. It identifies the file as an endpoint cache.
const MAGIC: &[u8; 4] = b"cchl";

/// The extension of the temporary file that [`save`] renames.
const TEMPORARY_EXTENSION: &str = "new";

/// Why a cache file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CacheError {
    /// The file cannot be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The magic number is missing, so the file was not written by [`save`].
    #[error("not an endpoint cache file: magic number is missing")]
    UnknownFormat,
    /// The checksum does not match, or the content cannot be decoded.
    #[error("endpoint cache file is damaged: checksum or content is invalid")]
    Damaged,
}

/// Loads the list that is cached at `path`. Returns `None` if the file does not exist.
///
/// # Errors
/// The file cannot be read, or its content does not have the format that [`save`] writes.
pub fn load(path: &Path) -> Result<Option<EndpointList>, CacheError> {
    match std::fs::read(path) {
        Ok(bytes) => decode(&bytes).map(Some),
        Err(problem) if problem.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(problem) => Err(problem.into()),
    }
}

/// Writes `list` to the file at `path`, which is replaced atomically.
///
/// # Errors
/// The file cannot be written or synced. The previous file is kept unless only the sync of the directory has
/// failed.
pub fn save(path: &Path, list: &EndpointList) -> io::Result<()> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let mut file = File::create(&temporary)?;
    file.write_all(&encode(list))?;
    file.sync_all()?;
    std::fs::rename(temporary, path)?;
    sync_directory_of(path)
}

/// Syncs the directory that contains `path`. Without this, the rename may be lost in a crash.
fn sync_directory_of(path: &Path) -> io::Result<()> {
    let directory = path
        .parent()
        .filter(|directory| !directory.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}

fn encode(list: &EndpointList) -> Vec<u8> {
    let list = list.encode_to_vec();
    [&MAGIC[..], &crc32fast::hash(&list).to_be_bytes(), &list].concat()
}

fn decode(bytes: &[u8]) -> Result<EndpointList, CacheError> {
    let rest = bytes.strip_prefix(MAGIC).ok_or(CacheError::UnknownFormat)?;
    let (checksum, list) = rest.split_first_chunk::<4>().ok_or(CacheError::Damaged)?;
    if crc32fast::hash(list).to_be_bytes() != *checksum {
        return Err(CacheError::Damaged);
    }
    EndpointList::decode(list).map_err(|_| CacheError::Damaged)
}
