//! Trials of rules by which a daemon chooses a leaf.

mod balance_model;
use balance_model::rule::Rule;
use balance_model::{Header, Kind, Report, World};

#[test]
#[ignore]
fn trial() {
    let seeds: u64 = std::env::var("SEEDS").map_or(2, |s| s.parse().unwrap());
    let header = match std::env::var("HEADER").as_deref() {
        Ok("absent") => Header::Absent,
        Ok("zero") => Header::Zero,
        Ok("random") => Header::Random,
        Ok("inverse") => Header::Inverse,
        _ => Header::Truth,
    };
    let rules = [
        ("shipped", Rule::Shipped, header),
        ("no header", Rule::Shipped, Header::Absent),
        ("unweighted", Rule::Unweighted, header),
        ("random", Rule::Random, header),
        ("two", Rule::TwoChoices, header),
        ("fixed2", Rule::FixedShares(2), header),
        ("even", Rule::EvenDraws, header),
    ];
    for kind in [Kind::Shards, Kind::LongWork] {
        for (load, has_burst) in [(0.2, false), (0.5, false), (0.85, false), (0.5, true)] {
            for daemons in [20, 28, 125, 300] {
                println!("--- {kind:?} load {load} burst {has_burst} N {daemons}");
                for chunk in rules.chunks(2) {
                    let handles: Vec<_> = chunk
                        .iter()
                        .map(|(name, rule, header)| {
                            let (name, rule, header) = (*name, *rule, *header);
                            std::thread::spawn(move || {
                                let mut report = Report::default();
                                for seed in 0..seeds {
                                    report.add(
                                        World {
                                            kind,
                                            daemons,
                                            load,
                                            has_burst,
                                            header,
                                            seed,
                                        }
                                        .run(rule),
                                    );
                                }
                                (name, report)
                            })
                        })
                        .collect();
                    for h in handles {
                        let (n, r) = h.join().unwrap();
                        println!("{n:18} {r}");
                    }
                }
            }
        }
    }
}
