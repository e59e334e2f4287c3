//! `.ci/tests`, which runs the tests and those of KNOWN-RED.txt apart, with a stand-in for cargo.
#![cfg(unix)]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use test_case::test_case;

/// A stand-in: it has four tests, of which two bear one name; `red` fails, and so does all while `BROKEN` is set.
const CARGO: &str = r#"#!/bin/sh
echo "$@" >> calls
case "$*" in
  *--list*) printf 'a::red: test\na::good: test\nb::same: test\nb::same: test\na::red_too: test\n';;
  *'--exact a::red') exit 101;;
  *'--exact a::good') exit 0;;
  *) [ -z "$BROKEN" ] || exit 101;;
esac
"#;

struct Ran {
    good: bool,
    said: String,
    calls: Vec<String>,
}

fn run(name: &str, list: Option<&str>, broken: bool) -> Ran {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("ci-{name}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let cargo = folder.join("cargo");
    fs::write(&cargo, CARGO).expect("written");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).expect("it may run");
    if let Some(list) = list {
        fs::write(folder.join("KNOWN-RED.txt"), list).expect("written");
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/tests");
    let mut command = Command::new("bash");
    command
        .arg(script)
        .current_dir(&folder)
        .env("CARGO", &cargo);
    command.env("BROKEN", if broken { "1" } else { "" });
    let ran = command.output().expect("bash runs");
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    Ran {
        good: ran.status.success(),
        said: String::from_utf8_lossy(&[ran.stdout, ran.stderr].concat()).into_owned(),
        calls: calls.lines().map(str::to_owned).collect(),
    }
}

#[test_case("absent", None; "absent")]
#[test_case("empty", Some("\n  \n"); "empty")]
fn without_a_list_everything_counts(name: &str, list: Option<&str>) {
    let ran = run(name, list, false);
    assert!(ran.good, "{}", ran.said);
    assert_eq!(ran.calls, ["test --workspace --locked"]);
    assert!(!run(name, list, true).good, "a failing test fails it");
}

#[test]
fn a_listed_test_is_left_out_by_its_whole_name_run_apart_and_printed() {
    let ran = run(
        "listed",
        Some("a::red | cargo test, seed 7 | a real fault | 32\n"),
        false,
    );
    assert!(ran.good, "{}", ran.said);
    assert!(
        ran.said
            .contains("KNOWN-RED: a::red fails: a real fault; cargo test, seed 7 (issue 32)"),
        "{}",
        ran.said
    );
    assert!(ran
        .calls
        .contains(&"test --workspace --locked -- --exact --skip a::red".to_owned()));
    assert!(ran
        .calls
        .contains(&"test --workspace --locked -- --exact a::red".to_owned()));
    assert!(
        !run(
            "listed-broken",
            Some("a::red | cargo test, seed 7 | a real fault | 32\n"),
            true
        )
        .good,
        "the others still count"
    );
}

#[test]
fn a_listed_test_that_passes_is_printed_as_to_be_taken_off() {
    let ran = run("passes", Some("a::good | cargo test | was red | 7"), false);
    assert!(
        ran.good
            && ran
                .said
                .contains("a::good passes: take it off the list (issue 7)"),
        "{}",
        ran.said
    );
}

#[test_case("two-parts", "a::red | a fault\n"; "two parts")]
#[test_case("three-parts", "a::red | a fault | 32\n"; "three parts")]
#[test_case("five-parts", "a::red | seed 7 | a fault | 32 | more\n"; "five parts")]
#[test_case("no-command", "a::red | | a fault | 32\n"; "no command")]
#[test_case("nothing-seen", "a::red | seed 7 | | 32\n"; "nothing seen")]
#[test_case("no-issue", "a::red | seed 7 | a fault | soon\n"; "no issue")]
#[test_case("no-test", "a::re | seed 7 | a fault | 32\n"; "a prefix is no name")]
#[test_case("several", "b::same | seed 7 | a fault | 32\n"; "several tests have the name")]
#[test_case("twice", "a::red | seed 7 | a fault | 32\na::red | seed 7 | a fault | 32\n"; "twice")]
fn a_list_that_cannot_be_right_fails(name: &str, list: &str) {
    let ran = run(name, Some(list), false);
    assert!(
        !ran.good && ran.said.contains("KNOWN-RED: "),
        "{}",
        ran.said
    );
    assert!(
        !ran.calls
            .iter()
            .any(|call| call == "test --workspace --locked"),
        "nothing else runs"
    );
}
