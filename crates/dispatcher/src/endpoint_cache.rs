//! The list of engines as last heard, kept in a file for the next start.
//!
//! The file is four bytes of mark, four of checksum, then the list as on the wire. It is written beside its
//! place, synced and renamed, and the folder synced, so that a cut leaves the old one or the new one.

use cindercleat_protocol::v1::EndpointList;
use prost::Message;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

const MARK: &[u8; 4] = b"cchl";

/// Why a kept list is not used.
#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("not a kept list of hosts")]
    Foreign,
    #[error("damaged: its checksum does not fit")]
    Damaged,
}

/// The list kept at `path`; none if there is no such file.
///
/// # Errors
/// The file cannot be read, or is not what was written.
pub fn load(path: &Path) -> Result<Option<EndpointList>, Unusable> {
    let bytes = match std::fs::read(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        other => other?,
    };
    let rest = bytes.strip_prefix(MARK).ok_or(Unusable::Foreign)?;
    let (sum, list) = rest.split_first_chunk::<4>().ok_or(Unusable::Damaged)?;
    if crc32fast::hash(list).to_be_bytes() != *sum {
        return Err(Unusable::Damaged);
    }
    EndpointList::decode(list)
        .map(Some)
        .map_err(|_| Unusable::Damaged)
}

/// # Errors
/// The file cannot be written; the one that was there stays.
pub fn save(path: &Path, list: &EndpointList) -> io::Result<()> {
    let list = list.encode_to_vec();
    let bytes = [&MARK[..], &crc32fast::hash(&list).to_be_bytes(), &list].concat();
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    std::fs::rename(beside, path)?;
    // Without it a cut may undo the renaming.
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
