//! Plans, tables and scratch copies of experiments.

use std::path::PathBuf;

use sapphiretrack_experiment::{
    DayOfSite, Outcome, Plan, Variant, comparison, paired_difference, with_policy,
};

fn plan() -> Plan {
    Plan {
        variants: vec![
            Variant::parse("base").expect("a name"),
            Variant::parse("off:home-part=0,offers=1").expect("a variant"),
        ],
        days: DayOfSite::parse("sites/a.toml:scale-1,days/own.toml").expect("days"),
        seeds: vec![11, 12],
    }
}

fn outcome(worth: f64) -> Outcome {
    Outcome {
        worth,
        unserved: 0.02,
        prices: vec![("machines".to_owned(), 3.0, 0.05)],
        ..Outcome::default()
    }
}

#[test]
fn plays_that_are_compared_stand_in_a_row_and_have_names_of_their_own() {
    let plan = plan();
    let plays = plan.plays();
    assert_eq!(plays.len(), 8);
    assert_eq!((plays[0].seed, plays[0].variant), (11, 0));
    assert_eq!((plays[1].seed, plays[1].variant), (11, 1));
    let names: Vec<String> = plays.iter().map(|play| plan.name(play)).collect();
    assert_eq!(names[0], "a.scale-1.11.base");
    assert_eq!(names[7], "a.own.12.off");
}

#[test]
fn what_is_no_variant_is_refused_with_a_hint() {
    for text in ["", "a b", "../x", "x:home-part"] {
        let error = Variant::parse(text).expect_err(text).to_string();
        assert!(error.contains("hint: NAME"), "{error}");
    }
    let error = DayOfSite::parse("site.toml").expect_err("no days");
    assert!(error.to_string().contains("SITE:DAY"), "{error}");
}

#[test]
fn settings_go_to_the_command_line_of_the_role() {
    let text = "build = \"b\"\n[roles.router]\nrun = \"target/node\"\non = \"front\"\n";
    let policy = ["a=1".to_owned(), "b=2".to_owned()];
    let changed = with_policy(text, &policy);
    assert!(changed.contains("run = \"target/node --policy a=1 --policy b=2\"\n"));
    assert_eq!(with_policy(text, &[]), text);
}

#[test]
fn a_steady_difference_has_a_narrow_interval_and_chance_a_wide_one() {
    let base = [0.5, 0.7, 0.6, 0.4];
    let steady = base.map(|worth| worth + 0.1);
    let one = paired_difference(&base, &steady, 1).expect("pairs");
    assert!((one.mean - 0.1).abs() < 1e-9 && one.high - one.low < 1e-9);
    let chance = [0.9, 0.3, 0.9, 0.1];
    let one = paired_difference(&base, &chance, 1).expect("pairs");
    assert!(one.low < 0.0 && one.high > 0.0, "{one:?}");
    assert_eq!(paired_difference(&[], &[], 1), None);
}

#[test]
fn the_table_pairs_by_day_and_seed() {
    let plan = plan();
    let outcomes: Vec<_> = plan
        .plays()
        .into_iter()
        .map(|play| {
            let worth = 0.5 + play.seed as f64 / 100.0 + play.variant as f64 * 0.02;
            (play, outcome(worth))
        })
        .collect();
    let table = comparison(&plan, &outcomes);
    let rows: Vec<&str> = table.lines().collect();
    assert_eq!(rows.len(), 4, "{table}");
    assert!(rows[2].contains("| base | 4 | 0.615 | +0.000 |"), "{table}");
    assert!(
        rows[3].contains("| off | 4 | 0.635 | +0.020 | +0.020 to +0.020 | 0.980 | 0.050 | 0 |"),
        "{table}"
    );
}

#[test]
fn a_report_is_read_with_what_it_has_besides() {
    let text = r#"{"G": 0.7, "unserved": 0.1, "breaks": {"DRAIN": 3}, "prices": [["cpu", 2.0, 0.01]],
                   "classes": []}"#;
    let outcome: Outcome = serde_json::from_str(text).expect("a report");
    assert_eq!(outcome.worth, 0.7);
    assert_eq!(outcome.breaks.len(), 1);
    assert_eq!(outcome.priced(), 0.01);
    assert_eq!(
        DayOfSite::parse("a/b.toml:x").expect("a day")[0].site,
        PathBuf::from("a/b.toml")
    );
}
