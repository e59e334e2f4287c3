//! The file that keeps the list of endpoints for the next start.

use cindercleat_dispatcher::endpoint_cache::{self, CacheError};
use cindercleat_protocol::v1::{Endpoint, EndpointList, EndpointStatus, EndpointUpdateKind};
use std::path::PathBuf;

/// A file as version 0.1.0 writes it for [`list`].
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

/// A path of its own for each test.
fn path(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "cindercleat-endpoint-cache-{}-{test}",
        std::process::id()
    ))
}

/// What is loaded from a file with these bytes.
fn load(test: &str, bytes: &[u8]) -> Result<Option<EndpointList>, CacheError> {
    let path = path(test);
    std::fs::write(&path, bytes).expect("a file");
    let loaded = endpoint_cache::load(&path);
    std::fs::remove_file(path).expect("the file");
    loaded
}

/// After an upgrade a dispatcher starts while discovery is down. The file was written by the version before; if it could
/// not be read, the dispatcher would have no engine to send requests to.
#[test]
fn a_file_of_an_earlier_version_is_read() {
    let loaded = load("earlier", STORED).expect("a list of endpoints");
    assert_eq!(loaded, Some(list()));
}

/// After a downgrade the version before reads what this one has written.
#[test]
fn a_file_is_written_as_an_earlier_version_writes_it() {
    let path = path("written");
    endpoint_cache::save(&path, &list()).expect("it is written");
    let bytes = std::fs::read(&path).expect("the file");
    std::fs::remove_file(path).expect("the file");
    assert_eq!(
        bytes.escape_ascii().to_string(),
        STORED.escape_ascii().to_string()
    );
}

/// A disk returns other bytes than were written, or the file is cut short. A list with a wrong address or without some
/// engines would be used until discovery answers; the damage is detected instead.
#[test]
fn a_damaged_file_is_not_used() {
    for at in 4..STORED.len() {
        let mut bytes = STORED.to_vec();
        bytes[at] ^= 1;
        assert!(
            matches!(load("flipped", &bytes), Err(CacheError::Damaged)),
            "byte {at}"
        );
        assert!(
            matches!(load("cut", &STORED[..at]), Err(CacheError::Damaged)),
            "{at} bytes"
        );
    }
}

/// The path in the settings names a file of something else. Its bytes must not be taken for a list.
#[test]
fn another_file_is_not_used() {
    assert!(matches!(
        load("other", b"something else"),
        Err(CacheError::UnknownFormat)
    ));
    assert!(matches!(load("empty", b""), Err(CacheError::UnknownFormat)));
}

#[test]
fn no_file_is_no_list() {
    assert_eq!(endpoint_cache::load(&path("none")).expect("no error"), None);
}
