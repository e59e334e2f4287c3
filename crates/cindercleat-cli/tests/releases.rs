//! Releases among processes of the program: operators' commands and what bad input gets, and a short drill.

mod common;

use common::*;

const PLAN: &str = "release to-v2\nof dispatchers\nlabel v2\nbefore v1\n";

fn plan(name: &str, text: &str) -> String {
    let path = folder("plans").join(name);
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

#[test]
fn operators_halt_resume_and_are_told_when_there_is_nothing_to_do() {
    let fleet = Fleet::start("halts", "127.0.44.1");
    fleet.until("a roll that is whole", |status| {
        status["roll_for_ms"]
            .as_f64()
            .is_some_and(|ms| ms > 2_000.0)
    });
    let good = plan("good.conf", PLAN);
    let said = |args: &[&str]| {
        let (code, out, err) = fleet.fleet(args);
        (code, out + &err)
    };
    let (code, words) = said(&["resume"]);
    assert_eq!(code, Some(1), "{words}");
    assert!(words.contains("there is no halt to end"), "{words}");
    let (code, words) = said(&["back"]);
    assert!(
        code == Some(1) && words.contains("no release that can be rolled back"),
        "{words}"
    );
    let (code, words) = said(&["release", "start", &good, "--dry-run"]);
    assert!(code == Some(0) && words.contains("zone z"), "{words}");
    let (code, words) = said(&["halt", "a look"]);
    assert!(
        code == Some(0) && words.contains("no unit begins to drain from now on"),
        "{words}"
    );
    let (code, words) = said(&["release", "start", &good]);
    assert!(
        code == Some(1) && words.contains("permits are halted: run 'resume'"),
        "{words}"
    );
    assert_eq!(said(&["resume"]).0, Some(0));
    assert_eq!(said(&["release", "start", &good]).0, Some(0));
    let (code, words) = said(&["release", "start", &good]);
    assert!(
        code == Some(1) && words.contains("another release is not done"),
        "{words}"
    );
    // No list is told here: nobody is ready, so nobody may go, and it says so.
    let (code, words) = said(&["release", "status", "--json"]);
    let status: serde_json::Value = serde_json::from_str(words.trim()).unwrap_or_default();
    assert_eq!(code, Some(0), "{words}");
    assert_eq!(status["release"], "to-v2", "{words}");
    assert!(
        status["why"]
            .as_str()
            .is_some_and(|why| why.contains("not ready")),
        "{words}"
    );
    let (code, words) = said(&["drain", "h1"]);
    assert!(code == Some(1) && words.contains("has no h1"), "{words}");
    let (code, words) = said(&["turn", "d2", "--without-agreement", "a test"]);
    assert!(
        code == Some(0) && words.contains("drains and then stops"),
        "{words}"
    );
    fleet.until("the note of it", |_| {
        let (_, words) = said(&["release", "status"]);
        words.contains("noted: d2 was stopped by hand, without agreement: a test")
    });
}

#[test]
fn without_a_majority_nothing_is_acknowledged() {
    let mut fleet = Fleet::start("few", "127.0.44.2");
    fleet.until("a roll that is whole", |status| {
        status["roll_for_ms"]
            .as_f64()
            .is_some_and(|ms| ms > 2_000.0)
    });
    for child in &mut fleet.children[1..] {
        child.kill().expect("ours");
        child.wait().expect("ours");
    }
    let (code, _, err) = fleet.fleet(&["halt", "a look"]);
    assert_eq!(code, Some(1), "{err}");
    assert!(err.contains("no majority of the voters answers"), "{err}");
}

#[test]
fn bad_plans_and_bounds_end_with_2_and_name_the_line() {
    for (text, line, expected) in [
        (
            "release x\nof nobody\n",
            2,
            "'of dispatchers' or 'of hosts'",
        ),
        (
            "release x\nof dispatchers\nlabel v2\nbefore v2\n",
            3,
            "another label than 'before'",
        ),
        ("release x\nof dispatchers\nbefore v1\n", 0, "a line 'label"),
        ("release x\nof hosts\nnames a a\n", 3, "'a' is there twice"),
        (
            "release x\nof hosts\nfirst 0\n",
            3,
            "at least one in the first wave",
        ),
        (
            "release x\nof hosts\ngrow 0.5\n",
            3,
            "waves that grow by 1 or more",
        ),
        ("release x\nof hosts\nwhat 1\n", 3, "one of:"),
    ] {
        let bad = plan("bad.conf", text);
        let (code, _, err) = run(&["fleet", "--at", "127.0.0.1:9", "release", "start", &bad]);
        assert_eq!(code, Some(2), "{text}: {err}");
        assert!(
            err.contains(&format!("bad.conf:{line}:")) && err.contains(expected),
            "{text}: {err}"
        );
    }
    let (code, _, err) = run(&["fleet", "--at", "127.0.0.1:9", "drain", "h1", "h1"]);
    assert!(
        code == Some(2) && err.contains("'h1' is there twice"),
        "{err}"
    );
    for (lines, expected) in [
        (
            "out dispatchers zone 0",
            "allows at least one unavailable unit",
        ),
        ("out dispatchers cell 1", "dispatchers have no cells"),
        (
            "out hosts fleet 1\n out hosts zone 2",
            "at most 1, the limit of the fleet",
        ),
        ("out hosts zone 1 part 1.5", "a part over 0 and at most 1"),
        (
            "stay readers zone 1\n stay readers cell 2",
            "at most 1, the minimum per zone",
        ),
        ("used 0 reports 1s", "a part over 0 and at most 1"),
        ("out hosts zone 1\n out hosts zone 2", "each of them once"),
    ] {
        let voters = "voter a 127.0.0.1:1\n voter b 127.0.0.1:2\n voter c 127.0.0.1:3\n";
        let text = format!(
            "name x\nnumber 0 of 1\nlisten 127.0.0.1:5\n{SERVICE}fleet\n listen 127.0.0.1:4\n {voters} {lines}\nend\n"
        );
        let path = folder("bounds").join("bounds.conf");
        std::fs::write(&path, text).expect("written");
        let (code, _, err) = run(&["check", &path.display().to_string()]);
        assert_eq!(code, Some(2), "{lines}: {err}");
        assert!(
            err.contains("bounds.conf:") && err.contains(expected),
            "{lines}: {err}"
        );
    }
}

#[test]
fn a_short_drill_of_a_release_breaks_no_rule() {
    let script = folder("drill-release").join("short.conf");
    let text = "drill short\nseed 3\nvoters 3\nmembers 5\nreceivers 1\nlease 600ms\nlength 34s\nrate 20\n\
        plan\n release to-v2\n of dispatchers\n label v2\n before v1\n grow 3\n watch 300ms\n settle 200ms\n \
        begin 5s\n back 15s\nend\nbounds\n out dispatchers zone 1\n out dispatchers fleet 2\nend\n\
        order 4s release start PLAN\norder 9s halt by-hand\norder 11s resume\norder 31s release status --json\n\
        at 4.2s kill holder for 800ms\nat 13s cut-off holder for 800ms\n";
    std::fs::write(&script, text).expect("written");
    let (code, out, err) = run(&["drill", &script.display().to_string()]);
    assert_eq!(code, Some(0), "{out}{err}");
    assert!(out.contains("rules: kept"), "{out}");
    assert!(out.contains("turns begun 5"), "{out}");
    assert!(out.contains("by label: v2 5"), "{out}");
    assert!(
        out.contains("orders done: halt 1, release 2, resume 1"),
        "{out}"
    );
}
