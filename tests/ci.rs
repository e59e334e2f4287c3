//! Tests the script `.ci/tests`, which runs the tests listed in KNOWN-RED.txt separately from all others. The script
//! runs with a fake `cargo`.
#![cfg(unix)]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use test_case::test_case;

/// A fake `cargo` that records its arguments and lists five tests, two of which have the same name. Running `a::red`
/// fails, running `a::good` passes, and any other run fails if `BROKEN` is set.
const FAKE_CARGO: &str = r#"#!/bin/sh
echo "$@" >> calls
case "$*" in
  *--list*) printf 'a::red: test\na::good: test\nb::same: test\nb::same: test\na::red_too: test\n';;
  *'--exact a::red') exit 101;;
  *'--exact a::good') exit 0;;
  *) [ -z "$BROKEN" ] || exit 101;;
esac
"#;

struct ScriptRun {
    success: bool,
    output: String,
    calls: Vec<String>,
}

fn run_script(name: &str, known_red: Option<&str>, broken: bool) -> ScriptRun {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("ci-{name}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("create the test folder");
    let cargo = folder.join("cargo");
    fs::write(&cargo, FAKE_CARGO).expect("write the fake cargo");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755))
        .expect("make the fake cargo executable");
    if let Some(known_red) = known_red {
        fs::write(folder.join("KNOWN-RED.txt"), known_red).expect("write KNOWN-RED.txt");
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/tests");
    let mut command = Command::new("bash");
    command
        .arg(script)
        .current_dir(&folder)
        .env("CARGO", &cargo);
    command.env("BROKEN", if broken { "1" } else { "" });
    let output = command.output().expect("start bash");
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    ScriptRun {
        success: output.status.success(),
        output: String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        calls: calls.lines().map(str::to_owned).collect(),
    }
}

#[test_case("absent", None; "absent")]
#[test_case("empty", Some("\n  \n"); "empty")]
fn without_listed_tests_every_failure_fails_the_script(name: &str, known_red: Option<&str>) {
    let run = run_script(name, known_red, false);
    assert!(
        run.success,
        "the script must succeed, it printed: {}",
        run.output
    );
    assert_eq!(run.calls, ["test --workspace --locked"]);
    assert!(
        !run_script(name, known_red, true).success,
        "a failing test must fail the script"
    );
}

#[test]
fn a_listed_test_is_excluded_by_its_full_name_and_its_separate_run_is_printed() {
    let run = run_script(
        "listed",
        Some("a::red | cargo test, seed 7 | a real fault | 32\n"),
        false,
    );
    assert!(
        run.success,
        "the script must succeed, it printed: {}",
        run.output
    );
    assert!(
        run.output
            .contains("KNOWN-RED: a::red fails: a real fault; cargo test, seed 7 (issue 32)"),
        "the script printed: {}",
        run.output
    );
    assert!(run
        .calls
        .contains(&"test --workspace --locked -- --exact --skip a::red".to_owned()));
    assert!(run
        .calls
        .contains(&"test --workspace --locked -- --exact a::red".to_owned()));
    assert!(
        !run_script(
            "listed-broken",
            Some("a::red | cargo test, seed 7 | a real fault | 32\n"),
            true
        )
        .success,
        "a failing unlisted test must fail the script"
    );
}

#[test]
fn a_listed_test_that_passes_is_reported_for_removal_from_the_list() {
    let run = run_script("passes", Some("a::good | cargo test | was red | 7"), false);
    assert!(
        run.success
            && run
                .output
                .contains("a::good passes: take it off the list (issue 7)"),
        "the script printed: {}",
        run.output
    );
}

#[test_case("two-parts", "a::red | a fault\n"; "two parts")]
#[test_case("three-parts", "a::red | a fault | 32\n"; "three parts")]
#[test_case("five-parts", "a::red | seed 7 | a fault | 32 | more\n"; "five parts")]
#[test_case("no-command", "a::red | | a fault | 32\n"; "no command")]
#[test_case("nothing-seen", "a::red | seed 7 | | 32\n"; "nothing seen")]
#[test_case("no-issue", "a::red | seed 7 | a fault | soon\n"; "no issue")]
#[test_case("no-test", "a::re | seed 7 | a fault | 32\n"; "a prefix of a name")]
#[test_case("several", "b::same | seed 7 | a fault | 32\n"; "several tests have the name")]
#[test_case("twice", "a::red | seed 7 | a fault | 32\na::red | seed 7 | a fault | 32\n"; "twice")]
fn an_invalid_list_fails_before_any_test_runs(name: &str, known_red: &str) {
    let run = run_script(name, Some(known_red), false);
    assert!(
        !run.success && run.output.contains("KNOWN-RED: "),
        "the script printed: {}",
        run.output
    );
    assert!(
        !run.calls
            .iter()
            .any(|call| call == "test --workspace --locked"),
        "the tests must not run with an invalid list"
    );
}
