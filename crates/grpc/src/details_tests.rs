//! The trailers that end a call: how they are encoded, and how a client decodes them.

use super::*;

#[test]
fn a_rejection_names_the_retry_delay_and_a_failure_forbids_retries() {
    let rejected = CallEnding::answered(
        ClientAnswer::Rejected {
            for_lack_of_capacity: true,
        },
        1250.5,
        "no room",
    )
    .headers();
    assert_eq!(rejected["grpc-status"], "8");
    assert_eq!(rejected["grpc-retry-pushback-ms"], "1251");
    let bytes = BASE64_ANY_PADDING
        .decode(rejected["grpc-status-details-bin"].as_bytes())
        .expect("valid base64");
    let status = Status::decode(&bytes[..]).expect("status decoded");
    let info = RetryInfo::decode(&status.details[0].value[..]).expect("retry info decoded");
    assert_eq!((status.code, status.message.as_str()), (8, "no room"));
    assert_eq!(
        info.retry_delay,
        Some(Duration {
            seconds: 1,
            nanos: 250_500_000
        })
    );
    let failed = CallEnding::answered(ClientAnswer::Failed, 500.0, "").headers();
    assert_eq!(failed["grpc-retry-pushback-ms"], "-1");
    assert!(failed.get("grpc-status-details-bin").is_none());
    assert!(failed.get("cindercleat-ran").is_none());
}

#[test]
fn an_invalid_field_is_encoded_and_decoded() {
    let headers = CallEnding::invalid_field("patience_ms", "\u{2212}1 is no time").headers();
    assert_eq!(headers["grpc-status"], "3");
    let read = invalid_field(&headers).expect("invalid field found");
    assert_eq!(
        read,
        ("patience_ms".to_owned(), "\u{2212}1 is no time".to_owned())
    );
    assert_eq!(
        status_message(&headers),
        "patience_ms: \u{2212}1 is no time"
    );
    assert!(headers["grpc-message"]
        .to_str()
        .expect("ASCII text")
        .contains("%E2%88%92"));
}
