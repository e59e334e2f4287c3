//! Figures of duties on the virtual clock, for docs/duties.md:
//! `cargo test --release -p cindercleat-faults --test duties_figures -- --ignored --nocapture`.

use cindercleat_faults::duties::draw::{Spell, Who};
use cindercleat_faults::duties::{play, Plan, Trouble};

fn quantiles(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    let at = |part: f64| {
        all.get((part * all.len().saturating_sub(1) as f64) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    format!(
        "{} times, p50 {:.0}, p99 {:.0}, worst {:.0}",
        all.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    )
}

#[test]
#[ignore = "figures"]
fn time_without_a_holder() {
    for lease in [1000.0, 3000.0, 10_000.0] {
        let kinds = [
            ("handed over", Trouble::HandOver { to: 0 }),
            ("stop", Trouble::Stop),
            ("killed", Trouble::Kill),
            ("stopped", Trouble::Sleep),
            (
                "cut off",
                Trouble::CutOff {
                    out: true,
                    back: true,
                },
            ),
        ];
        for (name, trouble) in kinds {
            let mut without = Vec::new();
            for seed in 0..500u64 {
                let mut plan = Plan::quiet(seed, 3, 9, lease, 6.0 * lease);
                plan.heartbeat = lease / 5.0;
                let begin = 3.0 * lease + (seed % 97) as f64 / 97.0 * lease;
                let trouble = match trouble {
                    Trouble::HandOver { .. } => Trouble::HandOver {
                        to: seed as usize % 9,
                    },
                    ref other => other.clone(),
                };
                plan.troubles.push(Spell {
                    begin,
                    end: begin + 2.0 * lease,
                    who: Who::Holder,
                    trouble,
                });
                let played = play(&plan);
                assert_eq!(played.breaches, []);
                without.extend(played.without.iter().map(|(_, ms)| *ms));
            }
            println!("lease {lease:.0} ms, {name}: {}", quantiles(without));
        }
    }
}

#[test]
#[ignore = "figures"]
fn false_handovers() {
    for loss in [0.0, 0.05, 0.2] {
        let (mut terms, mut hours) = (0, 0.0);
        for seed in 0..200 {
            let mut plan = Plan::quiet(seed, 3, 9, 1000.0, 180_000.0);
            (plan.loss, plan.tell_every) = (loss, 200.0);
            let played = play(&plan);
            assert_eq!(played.breaches, []);
            terms += played.met["terms obeyed"] - 1;
            hours += plan.length / 3.6e6;
        }
        println!(
            "loss {loss}: {terms} handovers in {hours:.0} hours, {:.2} an hour",
            terms as f64 / hours
        );
    }
}

#[test]
#[ignore = "figures"]
fn sizes() {
    for members in [3usize, 30, 300, 1000] {
        let length = 20_000.0;
        let mut plan = Plan::quiet(5, 3, members, 1000.0, length);
        (plan.weigh, plan.tell_every) = (true, 200.0);
        let quiet = play(&plan);
        let seconds = length / 1000.0;
        for (who, number) in [
            ("voters", 3),
            ("holder", 1),
            ("members", members.saturating_sub(4).max(1)),
        ] {
            let (messages, bytes) = quiet.messages.get(who).copied().unwrap_or_default();
            let each = number as f64 * seconds;
            println!(
                "{members} members, each of {who}: {:.1} messages/s, {:.0} bytes/s",
                messages as f64 / each,
                bytes as f64 / each
            );
        }
        println!(
            "{members} members: {:.1} syncs/s at a voter",
            quiet.syncs as f64 / seconds / 3.0
        );
        let (mut rebuilt, mut voters) = (Vec::new(), 0u64);
        for seed in 0..10 {
            let mut plan = Plan::quiet(seed, 3, members, 1000.0, length);
            (plan.weigh, plan.tell_every) = (true, 50.0);
            plan.troubles.push(Spell {
                begin: 9_000.0,
                end: 18_000.0,
                who: Who::Holder,
                trouble: Trouble::Kill,
            });
            let played = play(&plan);
            assert_eq!(played.breaches, []);
            rebuilt.extend(played.rebuilt.iter().skip(1));
            voters += played.messages.get("voters").map_or(0, |m| m.0);
        }
        println!(
            "{members} members: roll whole after a kill, ms: {}",
            quantiles(rebuilt)
        );
        println!(
            "{members} members, with a kill: {:.1} messages/s at a voter",
            voters as f64 / 10.0 / 3.0 / seconds
        );
    }
}
