//! Tests which gRPC status each answer gets, and which ends of a call prove that the call has not run.

use cindercleat::interface::Outcome;
use cindercleat::status::*;
use test_case::test_case;

#[test_case(ClientAnswer::Succeeded, Code::Ok)]
#[test_case(ClientAnswer::Rejected { for_lack_of_capacity: false }, Code::Unavailable)]
#[test_case(ClientAnswer::Rejected { for_lack_of_capacity: true }, Code::ResourceExhausted)]
#[test_case(ClientAnswer::Failed, Code::Unknown)]
#[test_case(ClientAnswer::InvalidRequest, Code::InvalidArgument)]
fn each_answer_has_one_status_that_tells_whether_a_retry_is_safe(answer: ClientAnswer, code: Code) {
    assert_eq!(client_status(answer), code);
    let has_not_run = matches!(
        answer,
        ClientAnswer::Rejected { .. } | ClientAnswer::InvalidRequest
    );
    assert_eq!(
        is_safe_to_retry(code),
        has_not_run,
        "only a request that has not run is safe to retry"
    );
}

#[test]
fn only_the_reset_code_refused_stream_proves_that_a_call_has_not_run() {
    for code in 0..=0xd {
        let expected = if code == 7 {
            Outcome::Overloaded
        } else {
            Outcome::ConnectionLost
        };
        assert_eq!(
            attempt_outcome(CallEnd::Reset(code)),
            expected,
            "outcome of a stream that was reset with HTTP/2 error code {code}"
        );
    }
    assert_eq!(
        attempt_outcome(CallEnd::Reset(0xffff)),
        Outcome::ConnectionLost
    );
}

#[test]
fn a_status_without_the_engines_mark_does_not_prove_that_a_call_has_not_run() {
    for number in 0..=20 {
        let code = Code::from_number(number);
        let unmarked = attempt_outcome(CallEnd::Status {
            code,
            never_ran: false,
        });
        assert!(
            matches!(unmarked, Outcome::Failed | Outcome::ConnectionLost),
            "{code:?} without the mark gives {unmarked:?}"
        );
        assert_eq!(
            attempt_outcome(CallEnd::Status {
                code,
                never_ran: true
            }),
            Outcome::Overloaded
        );
    }
    assert_eq!(Code::from_number(11), Code::Unknown);
}

#[test]
fn calls_not_sent_or_beyond_the_last_processed_stream_have_not_run() {
    assert_eq!(attempt_outcome(CallEnd::NotSent), Outcome::Unreachable);
    assert_eq!(
        attempt_outcome(CallEnd::BeyondLastStream),
        Outcome::Overloaded
    );
    assert_eq!(
        attempt_outcome(CallEnd::ConnectionLost),
        Outcome::ConnectionLost
    );
    assert_eq!(
        attempt_outcome(CallEnd::EndedWithoutStatus),
        Outcome::ConnectionLost
    );
}
