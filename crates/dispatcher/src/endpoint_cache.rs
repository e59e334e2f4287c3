//! The newest list of endpoints, kept in a file for the next start.
//!
//! The file is a mark of four bytes, a CRC-32 of four bytes (big endian), and the list as it is on the wire. It is
//! written to a temporary file in the same folder, synced and renamed, and the folder is synced: after a crash there is
//! either the old list or the new one.

use cindercleat_protocol::v1::EndpointList;
use prost::Message;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// The first bytes of the file.
const MARK: &[u8; 4] = b"cchl";

/// The extension of the temporary file.
const TEMPORARY_EXTENSION: &str = "new";

/// Why a file is not used.
#[derive(Debug, thiserror::Error)]
pub enum CacheError {
    /// The file cannot be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file does not begin with the mark: something else wrote it.
    #[error("not a cached list of endpoints")]
    Foreign,
    /// The file is not what was written.
    #[error("damaged: its checksum does not fit")]
    Damaged,
}

/// Loads the list that is kept at `path`; `None` if there is no such file.
///
/// # Errors
/// The file cannot be read, or is not what [`save`] has written.
pub fn load(path: &Path) -> Result<Option<EndpointList>, CacheError> {
    match std::fs::read(path) {
        Ok(bytes) => decode(&bytes).map(Some),
        Err(problem) if problem.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(problem) => Err(problem.into()),
    }
}

/// Replaces the file at `path`.
///
/// # Errors
/// The file cannot be written; the one that was there stays.
pub fn save(path: &Path, list: &EndpointList) -> io::Result<()> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let mut file = File::create(&temporary)?;
    file.write_all(&encode(list))?;
    file.sync_all()?;
    std::fs::rename(temporary, path)?;
    sync_folder_of(path)
}

/// Guards against a crash that undoes the renaming: it is durable only once the folder is synced.
fn sync_folder_of(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

fn encode(list: &EndpointList) -> Vec<u8> {
    let list = list.encode_to_vec();
    [&MARK[..], &crc32fast::hash(&list).to_be_bytes(), &list].concat()
}

fn decode(bytes: &[u8]) -> Result<EndpointList, CacheError> {
    let rest = bytes.strip_prefix(MARK).ok_or(CacheError::Foreign)?;
    let (checksum, list) = rest.split_first_chunk::<4>().ok_or(CacheError::Damaged)?;
    if crc32fast::hash(list).to_be_bytes() != *checksum {
        return Err(CacheError::Damaged);
    }
    EndpointList::decode(list).map_err(|_| CacheError::Damaged)
}
