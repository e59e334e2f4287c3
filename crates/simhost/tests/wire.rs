//! The program's output for complete inputs, and its error messages for malformed ones.

use std::io::Write;
use std::process::{Command, Stdio};
use test_case::test_case;

const SETTINGS: &str = "discovery=automatic\tsome.newKey=a,b\tfamilyInfo.kindRole=read,write\t\
    familyInfo.release=500000\tlimits.maxAttempts=4\tlimits.connectTimeout=250000\tlimits.cancel=true\tme=0\t\
    replicasOfMe=2\trules.drainGrace=250000\trules.graceToAnswer=16000\trules.fallMultiple=4.0\t\
    rules.overloadFor=2000000\trules.startCapacity=0.3\trules.rampTime=9000000\ttick=4000\tzone=0\t\
    stats.columns=cpu,x1\tservices.count=1\tservices.0.effect=safe\tservices.0.aim=1000000\t\
    services.0.giveUp=4000000";
const ENDPOINT_LIST: &str =
    "announce\t1\tremembered\t4\t2\nrow\tr\t0\t0\t0\tready\t1\t-\nrow\tw\t0\t1\t0\tready\t1\t5\n";

/// Runs the program on an input and returns its exit code, standard output and standard error. The cases below separate
/// fields by spaces, which become tabs; a line `BEGIN` starts instance 1 and gives it the endpoints of `ENDPOINT_LIST`.
fn run(input: &str) -> (i32, String, String) {
    let program = env!("CARGO_BIN_EXE_cindercleat-simhost");
    let piped = || Stdio::piped();
    let mut child = Command::new(program)
        .stdin(piped())
        .stdout(piped())
        .stderr(piped())
        .spawn()
        .unwrap();
    let start_lines = format!("begin\t1\t7\t{SETTINGS}\n{ENDPOINT_LIST}");
    let input = input.replace(' ', "\t").replace("BEGIN\n", &start_lines);
    // The write fails if the program has exited because of a malformed line.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap_or(-1),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test_case("begin_batch 900 1\nflush\n", "ready 1\n"; "an empty batch")]
#[test_case("begin_batch 900 1\nBEGIN\naccept 1 5 0 - 0a 4000000 - - 900 - 64\nflush\n",
    "route 1 5 r 3992900\narm 1 300000 1\nready 1\n"; "absent values and unknown settings")]
#[test_case("begin_batch 900 1\nBEGIN\npower_off 1\nBEGIN\nwithdrawn 1 77\nbell 1 9\nflush\n", "ready 1\n";
    "stopped and started in one batch, then ids of the old instance")]
#[test_case("begin_batch 900 1\nBEGIN\nattempt_end 1 5 0 x success 10 1 - -\nnote 1 5 0 r 1 0\nflush\n", "ready 1\n";
    "an engine that no endpoint list named")]
fn valid_input_gives_the_expected_lines(input: &str, expected: &str) {
    assert_eq!(run(input), (0, expected.replace(' ', "\t"), String::new()));
}

#[test_case("flush\n", "line 1: expected begin_batch"; "an event outside a batch")]
#[test_case("begin_batch 900 1\nboo 1\nflush\n", "line 2: expected an event"; "an unknown event")]
#[test_case("begin_batch 900 1\nBEGIN\naccept 1 five 0\nflush\n", "line 6: expected a request id";
    "a request id that is not a number")]
#[test_case("begin_batch 900 1\nannounce 1 all 4 2\nrow r 0 0 0 ready 1 -\nflush\n", "line 4: expected 1 more row";
    "too few rows")]
#[test_case("begin_batch 900 1\nbegin 1 7 me=0\nflush\n", "line 2: expected the setting"; "a missing setting")]
#[test_case("begin_batch 900 1\n", "line 1: expected flush"; "a batch without flush")]
fn malformed_input_ends_the_program_with_one_error_line(input: &str, expected: &str) {
    let (code, stdout, stderr) = run(input);
    assert_eq!((code, stdout.as_str(), stderr.lines().count()), (2, "", 1));
    assert!(stderr.starts_with(expected), "{stderr}");
}
