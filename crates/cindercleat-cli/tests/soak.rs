//! The soak test from the command line, short: processes of this program under drawn troubles.

use std::process::{Command, Output};

fn soak(args: &[&str]) -> (Option<i32>, String, String) {
    let run = Command::new(env!("CARGO_BIN_EXE_cindercleat"))
        .arg("soak")
        .args(args)
        .output();
    let Output {
        status,
        stdout,
        stderr,
    } = run.expect("it starts");
    let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
    (status.code(), text(&stdout), text(&stderr))
}

fn cases(told: &str, invariant: &str) -> u64 {
    let cases = told
        .split("cases ")
        .nth(1)
        .and_then(|rest| rest.split(';').next())
        .unwrap_or_default();
    let met = cases
        .split(", ")
        .find_map(|case| case.strip_prefix(invariant)?.trim().parse().ok());
    met.unwrap_or_default()
}

/// The memory and the service of a process under clients that send what is not a request, hundreds in all, at full speed.
#[test]
fn a_soak_with_hostile_clients_keeps_every_invariant() {
    let args = ["--seed", "7710004", "--processes", "8", "--seconds", "12"];
    let (code, told, problem) = soak(&args);
    assert_eq!(code, Some(0), "{told}{problem}");
    assert!(told.contains("hostile clients: 404 in 12 groups"), "{told}");
    for (invariant, least) in [
        ("answered", 100),
        ("bad-client-ended", 250),
        ("memory-limit", 1_000),
    ] {
        assert!(cases(&told, invariant) >= least, "{invariant}: {told}");
    }
}

/// A silence of an engine that lasts about as long as the stall time-out, under a stream.
#[test]
fn a_soak_with_a_silence_as_long_as_the_stall_timeout_cuts_no_stream() {
    let args = ["--seed", "7712009", "--processes", "12", "--seconds", "20"];
    let (code, told, problem) = soak(&args);
    assert_eq!(code, Some(0), "{told}{problem}");
}

/// One seed with lists that are pushed and system calls that fail, one with lists that are asked for, and two longer ones with
/// engines that answer twice; each takes other readings of the pages. In all of them clients send requests of usual length at
/// once, and last bytes as the process stops waiting for them.
#[test]
fn a_short_soak_keeps_every_invariant() {
    for (seed, seconds, answers) in [
        ("8000", "8", ""),
        ("9000", "8", ""),
        ("10000", "20", "engines answer some requests twice"),
        ("11000", "20", "engines answer some requests twice"),
    ] {
        let args = ["--seed", seed, "--processes", "8", "--seconds", seconds];
        let (code, told, problem) = soak(&args);
        assert_eq!(code, Some(0), "{told}{problem}");
        assert!(told.contains(answers), "{told}");
        // A soak that met nothing proves nothing.
        for (invariant, least) in [
            ("answered", 100),
            ("run-once", 200),
            ("drain-kept", 200),
            ("own-answer", 400),
            ("events-in-time", 400),
        ] {
            assert!(cases(&told, invariant) >= least, "{invariant}: {told}");
        }
    }
}

#[test]
fn bad_arguments_end_with_exit_code_2_and_say_what() {
    for args in [
        &["--seed", "x"][..],
        &["--processes", "8"],
        &["--seed", "1", "--processes", "1"],
        &["--seed", "1", "--seconds", "2"],
    ] {
        let (code, told, problem) = soak(args);
        assert_eq!((code, told.as_str()), (Some(2), ""), "{args:?}: {problem}");
        assert!(problem.contains("error: "), "{problem}");
    }
}
