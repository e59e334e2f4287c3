//! The table of statuses: what each says, and what it proves.

use cindercleat::interface::Outcome;
use cindercleat::status::*;
use test_case::test_case;

#[test_case(ClientAnswer::Succeeded, Code::Ok)]
#[test_case(ClientAnswer::Rejected { for_lack_of_capacity: false }, Code::Unavailable)]
#[test_case(ClientAnswer::Rejected { for_lack_of_capacity: true }, Code::ResourceExhausted)]
#[test_case(ClientAnswer::Failed, Code::Unknown)]
#[test_case(ClientAnswer::InvalidRequest, Code::InvalidArgument)]
fn a_client_is_told(answer: ClientAnswer, code: Code) {
    assert_eq!(client_status(answer), code);
    let has_not_run = matches!(
        answer,
        ClientAnswer::Rejected { .. } | ClientAnswer::InvalidRequest
    );
    assert_eq!(
        is_safe_to_retry(code),
        has_not_run,
        "only what has not run may be tried again"
    );
}

#[test]
fn a_reset_proves_nothing_but_the_one_that_says_so() {
    for code in 0..=0xd {
        let expected = if code == 7 {
            Outcome::Overloaded
        } else {
            Outcome::ConnectionLost
        };
        assert_eq!(
            attempt_outcome(CallEnd::Reset(code)),
            expected,
            "code {code}"
        );
    }
    assert_eq!(
        attempt_outcome(CallEnd::Reset(0xffff)),
        Outcome::ConnectionLost
    );
}

#[test]
fn a_status_proves_nothing_without_the_engines_own_mark() {
    for number in 0..=20 {
        let code = Code::from_number(number);
        let unmarked = attempt_outcome(CallEnd::Status {
            code,
            never_ran: false,
        });
        assert!(
            matches!(unmarked, Outcome::Failed | Outcome::ConnectionLost),
            "{code:?}: {unmarked:?}"
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
fn what_was_not_sent_or_came_after_the_last_taken_has_not_run() {
    assert_eq!(attempt_outcome(CallEnd::NotSent), Outcome::Unreachable);
    assert_eq!(attempt_outcome(CallEnd::BeyondLast), Outcome::Overloaded);
    assert_eq!(
        attempt_outcome(CallEnd::ConnectionLost),
        Outcome::ConnectionLost
    );
    assert_eq!(attempt_outcome(CallEnd::Nothing), Outcome::ConnectionLost);
}
