//! Scanning of received bytes for GOAWAY frames.

use super::*;

#[test]
fn a_goaway_is_found_in_chunks_of_any_size() {
    let frame = |kind: u8, payload: &[u8]| {
        let head = [0, 0, payload.len() as u8, kind, 0, 0, 0, 0, 0];
        [&head[..], payload].concat()
    };
    // A data frame whose payload looks like a GOAWAY, an empty frame, then three GOAWAYs, of which the lowest counts.
    let goaway_like = frame(7, &[0, 0, 0, 1, 0, 0, 0, 0]);
    let parts = [
        frame(0, &goaway_like),
        frame(4, &[]),
        frame(7, &[0x7f, 255, 255, 255, 0, 0, 0, 0]),
        frame(7, &[0x80, 0, 0, 9, 0, 0, 0, 0, b'b', b'y', b'e']),
        frame(7, &[0, 0, 0, 11, 0, 0, 0, 0]),
    ];
    for step in 1..40 {
        let (mut scanner, goaway) = (FrameScanner::default(), GoawayState::default());
        for chunk in parts[..2].concat().chunks(step) {
            scanner.scan(chunk, &goaway);
        }
        assert!(!goaway.is_beyond_last_stream(u32::MAX), "step {step}");
        for chunk in parts[2..].concat().chunks(step) {
            scanner.scan(chunk, &goaway);
        }
        assert!(
            goaway.is_beyond_last_stream(11)
                && goaway.is_beyond_last_stream(10)
                && !goaway.is_beyond_last_stream(9),
            "step {step}"
        );
    }
}
