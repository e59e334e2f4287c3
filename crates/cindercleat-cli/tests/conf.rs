//! Settings and scripts: good ones are read, bad ones are refused by file, line and what was expected.

use cindercleat_cli::conf::Section;
use cindercleat_cli::{script, settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const GOOD: &str = "\
name d1
number 0 of 2
listen 127.0.0.1:7400
list-feed 127.0.0.1:7300 127.0.0.1:7301
peer 1 127.0.0.1:7401
zones north south   # two
zone south
profile draft
    effect reissuable
    quoted 1s plus 40ms
    patience 4s
end
profile proof
    effect numbered within cell for 2s
    quoted 500ms
    patience 2s
end
kind r
    does reads
    memory 1000
end
kind w
    does writes
    memory 1000
end
limits
    release 500ms
    launches 4
    connect 250ms
    drain-grace 500ms
    fall 4 within 1s
    cold 0.3 ramp 4s
end
";

#[test]
fn a_good_file_is_read_whole() {
    let read = settings::read("f", GOOD, 9).expect("it is good");
    assert_eq!(
        (read.program.name.as_str(), read.listen.as_str()),
        ("d1", "127.0.0.1:7400")
    );
    assert_eq!(read.locations.discovery.len(), 2);
    let policy = &read.program.policy;
    assert_eq!(
        (policy.zone.0, policy.dispatchers, policy.kv_state_timeout),
        (1, 2, 500.0)
    );
    assert_eq!(
        policy.request_classes[0].latency_objective_per_1000_tokens,
        40.0
    );
    assert_eq!(read.program.incarnation, 9);
}

#[test_case("number 0 of 2", "number 2 of 2", 2, "under M" ; "a number beyond")]
#[test_case("listen 127.0.0.1:7400", "listen here", 3, "addresses such as" ; "no address")]
#[test_case("zone south", "zone east", 7, "north, south" ; "a zone that is not listed")]
#[test_case("    effect reissuable", "    effect maybe", 9, "reissuable, at-most-once" ; "no effect")]
#[test_case("quoted 1s", "quoted 1", 10, "such as 250ms" ; "a time without its unit")]
#[test_case("    patience 4s", "    patience 10ms", 10, "at most the patience" ; "less patience than quoted")]
#[test_case("    patience 2s", "    patience 2s\n    patience 3s", 17, "once" ; "a keyword twice")]
#[test_case("    launches 4", "    launches many", 28, "a whole number" ; "no number")]
#[test_case("    launches 4", "    lunches 4", 0, "'launches" ; "a keyword missing")]
#[test_case("cold 0.3", "cold 0", 32, "over 0" ; "no capacity at the start")]
#[test_case("drain-grace 500ms", "drain-grace 500ms\n    colour blue", 31, "one of:" ; "an unknown keyword")]
#[test_case("profile proof", "profile draft", 13, "once" ; "a name twice")]
#[test_case("kind w\n    does writes", "kind w\n    does reads", 0, "'kind" ; "nobody writes")]
#[test_case("    cold 0.3 ramp 4s\nend", "    cold 0.3 ramp 4s", 26, "'end' of the block" ; "a block left open")]
#[test_case("zone south", "end", 7, "no block is open" ; "an end too many")]
fn a_bad_file_is_refused_by_line(was: &str, is: &str, line: usize, expected: &str) {
    assert!(GOOD.contains(was));
    let problem = settings::read("f.conf", &GOOD.replacen(was, is, 1), 0).expect_err("it is bad");
    assert!(problem.to_string().starts_with("f.conf:"), "{problem}");
    assert!(problem.expected.contains(expected), "{problem}");
    // A keyword that is missing is told at its block.
    assert!(line == 0 || problem.line == line, "{problem}");
}

#[test]
fn the_days_of_the_repository_are_good() {
    for day in ["bad-day", "short-day"] {
        let path = format!("{}/../../days/{day}.conf", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).expect("it is there");
        let read = script::read(&path, &text).expect("it is good");
        assert!(read.faults.len() >= 8, "{day} is a bad day");
    }
}

#[test]
fn a_fault_that_cannot_be_is_refused() {
    let base = include_str!("../src/base.conf");
    for (line, expected) in [
        ("at 1s explode writer-1", "die, "),
        ("at 1s die nobody", "hosts' names"),
        ("at 1s slow writer-1", "'by'"),
        ("at soon die writer-1", "a time"),
        ("at 1s kill writer-1", "dispatchers' numbers"),
        ("at 1s kill 7", "dispatchers' numbers"),
    ] {
        let problem = script::read("d", &format!("{base}\n{line}\n")).expect_err(line);
        assert!(problem.expected.contains(expected), "{problem}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn no_text_panics(lines in prop::collection::vec("(end|limits|profile|zones|at|cold|kind)?( [a-z0-9.#:]{0,6}){0,4}", 0..30)) {
        let text = lines.join("\n");
        let _ = Section::parse("f", &text, &settings::BLOCKS);
        let _ = settings::read("f", &text, 0);
        let _ = script::read("f", &format!("{GOOD}\n{text}"));
    }
}
