//! Tests of plans, comparison tables and scratch copies.

use std::path::PathBuf;

use sapphiretrack_experiment::{
    Outcome, Plan, SiteDay, Variant, add_policy_flags, comparison_table, paired_difference,
};

fn plan() -> Plan {
    Plan {
        variants: vec![
            Variant::parse("base").expect("a name"),
            Variant::parse("off:home-part=0,offers=1").expect("a variant"),
        ],
        days: SiteDay::parse("sites/a.toml:scale-1,days/own.toml").expect("days"),
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
fn runs_of_one_day_and_seed_are_adjacent_and_have_distinct_names() {
    let plan = plan();
    let runs = plan.runs();
    assert_eq!(runs.len(), 8);
    assert_eq!((runs[0].seed, runs[0].variant), (11, 0));
    assert_eq!((runs[1].seed, runs[1].variant), (11, 1));
    let names: Vec<String> = runs.iter().map(|run| plan.name(run)).collect();
    assert_eq!(names[0], "a.scale-1.11.base");
    assert_eq!(names[7], "a.own.12.off");
}

#[test]
fn malformed_arguments_are_rejected_with_a_hint() {
    for text in ["", "a b", "../x", "x:home-part"] {
        let error = Variant::parse(text).expect_err(text).to_string();
        assert!(error.contains("hint: NAME"), "{error}");
    }
    let error = SiteDay::parse("site.toml").expect_err("no days");
    assert!(error.to_string().contains("SITE:DAY"), "{error}");
}

#[test]
fn policy_flags_are_added_to_the_command_line_of_the_role() {
    let text = "build = \"b\"\n[roles.router]\nrun = \"target/node\"\non = \"front\"\n";
    let policy = ["a=1".to_owned(), "b=2".to_owned()];
    let changed = add_policy_flags(text, &policy);
    assert!(changed.contains("run = \"target/node --policy a=1 --policy b=2\"\n"));
    assert_eq!(add_policy_flags(text, &[]), text);
}

#[test]
fn constant_differences_have_a_narrow_interval_and_varying_ones_a_wide_one() {
    let base = [0.5, 0.7, 0.6, 0.4];
    let constant = base.map(|worth| worth + 0.1);
    let difference = paired_difference(&base, &constant, 1).expect("pairs");
    assert!((difference.mean - 0.1).abs() < 1e-9 && difference.high - difference.low < 1e-9);
    let varying = [0.9, 0.3, 0.9, 0.1];
    let difference = paired_difference(&base, &varying, 1).expect("pairs");
    assert!(
        difference.low < 0.0 && difference.high > 0.0,
        "{difference:?}"
    );
    assert_eq!(paired_difference(&[], &[], 1), None);
}

#[test]
fn the_table_pairs_runs_by_day_and_seed() {
    let plan = plan();
    let outcomes: Vec<_> = plan
        .runs()
        .into_iter()
        .map(|run| {
            let worth = 0.5 + run.seed as f64 / 100.0 + run.variant as f64 * 0.02;
            (run, outcome(worth))
        })
        .collect();
    let table = comparison_table(&plan, &outcomes);
    let rows: Vec<&str> = table.lines().collect();
    assert_eq!(rows.len(), 4, "{table}");
    assert!(rows[2].contains("| base | 4 | 0.615 | +0.000 |"), "{table}");
    assert!(
        rows[3].contains("| off | 4 | 0.635 | +0.020 | +0.020 to +0.020 | 0.980 | 0.050 | 0 |"),
        "{table}"
    );
}

#[test]
fn unknown_fields_of_a_report_are_ignored() {
    let text = r#"{"G": 0.7, "unserved": 0.1, "breaks": {"DRAIN": 3}, "prices": [["cpu", 2.0, 0.01]],
                   "classes": []}"#;
    let outcome: Outcome = serde_json::from_str(text).expect("a report");
    assert_eq!(outcome.worth, 0.7);
    assert_eq!(outcome.breaks.len(), 1);
    assert_eq!(outcome.total_price(), 0.01);
    assert_eq!(
        SiteDay::parse("a/b.toml:x").expect("a day")[0].site,
        PathBuf::from("a/b.toml")
    );
}
