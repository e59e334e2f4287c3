//! The endpoint cache: a file with the last endpoint list, which the dispatcher uses after its next start until
//! discovery answers.

use cindercleat_dispatcher::endpoint_cache::{self, CacheError};
use cindercleat_protocol::v1::{Endpoint, EndpointList, EndpointStatus, EndpointUpdateKind};
use std::path::PathBuf;

/// The cache file that version 0.1.0 writes for [`list`].
const STORED: &[u8] = b"cchl0N\x05\xf3\x08\x01\x10*\x1a9\n\x02r1\x12\r10.0.0.1:8000\x1a\x05north\"\x06reader\
    *\x01a0\x019\0\0\0\0\0\0\xf8?A\0\0\0\0\0D\x8f@\x1a0\n\x02w1\x12\r10.0.0.2:8000\x1a\x05south\"\x06writer\
    *\x01b0\x029\0\0\0\0\0\0\xf0?";

fn list() -> EndpointList {
    EndpointList {
        kind: EndpointUpdateKind::Snapshot.into(),
        version: 42,
        endpoints: vec![
            Endpoint {
                engine: "r1".to_owned(),
                address: "10.0.0.1:8000".to_owned(),
                zone: "north".to_owned(),
                kind: "reader".to_owned(),
                cell: "a".to_owned(),
                status: EndpointStatus::Ready.into(),
                weight: 1.5,
                started_ms: Some(1000.5),
            },
            Endpoint {
                engine: "w1".to_owned(),
                address: "10.0.0.2:8000".to_owned(),
                zone: "south".to_owned(),
                kind: "writer".to_owned(),
                cell: "b".to_owned(),
                status: EndpointStatus::Draining.into(),
                weight: 1.0,
                started_ms: None,
            },
        ],
    }
}

/// A path in the temporary directory, different for each test and process.
fn path(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "cindercleat-endpoint-cache-{}-{test}",
        std::process::id()
    ))
}

/// Writes `bytes` to a file and loads it as an endpoint cache.
fn load(test: &str, bytes: &[u8]) -> Result<Option<EndpointList>, CacheError> {
    let path = path(test);
    std::fs::write(&path, bytes).expect("file is written");
    let loaded = endpoint_cache::load(&path);
    std::fs::remove_file(path).expect("file is removed");
    loaded
}

/// After an upgrade a dispatcher starts while discovery is down. The previous version has written the file; if it
/// could not be read, the dispatcher would have no engine to send requests to.
#[test]
fn a_file_of_an_earlier_version_is_read() {
    let loaded = load("earlier", STORED).expect("the list is loaded");
    assert_eq!(loaded, Some(list()));
}

/// After a downgrade the previous version reads the file that this version has written.
#[test]
fn a_file_is_written_as_an_earlier_version_writes_it() {
    let path = path("written");
    endpoint_cache::save(&path, &list()).expect("file is written");
    let bytes = std::fs::read(&path).expect("file exists");
    std::fs::remove_file(path).expect("file is removed");
    assert_eq!(
        bytes.escape_ascii().to_string(),
        STORED.escape_ascii().to_string()
    );
}

/// A disk returns bytes that differ from those written, or the file is truncated. Without a check, a list with a wrong
/// address or missing engines would be used until discovery answers. The damage is detected instead.
#[test]
fn a_damaged_file_is_not_used() {
    for at in 4..STORED.len() {
        let mut bytes = STORED.to_vec();
        bytes[at] ^= 1;
        assert!(
            matches!(load("flipped", &bytes), Err(CacheError::Damaged)),
            "a flipped bit in byte {at} is detected"
        );
        assert!(
            matches!(load("cut", &STORED[..at]), Err(CacheError::Damaged)),
            "a file cut to {at} bytes is detected"
        );
    }
}

/// The path in the settings points to a file of another kind. Its bytes must not be read as an endpoint list.
#[test]
fn a_file_of_another_kind_is_not_used() {
    assert!(matches!(
        load("other", b"something else"),
        Err(CacheError::UnknownFormat)
    ));
    assert!(matches!(load("empty", b""), Err(CacheError::UnknownFormat)));
}

#[test]
fn a_missing_file_loads_as_no_list() {
    assert_eq!(
        endpoint_cache::load(&path("none")).expect("a missing file is no error"),
        None
    );
}
