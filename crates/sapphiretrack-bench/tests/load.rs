//! Tests of the load's arrivals, its check of answers, its settings and its plot.

use pico_args::Arguments;
use sapphiretrack_bench::load::{
    AnswerCheck, Arrivals, ClassMix, LoadSettings, Statistics, ViolationKind, Work,
    check_service_answer, parse_load_settings, plot_svg,
};
use sapphiretrack_fakes::token_text;

fn messages() -> serde_json::Value {
    serde_json::json!([{ "content": "conching notes", "role": "user" }])
}

fn settings() -> LoadSettings {
    LoadSettings {
        requests_per_s: 100.0,
        duration_s: 100.0,
        ..LoadSettings::default()
    }
}

fn parse(line: &str) -> Result<LoadSettings, String> {
    let arguments = line.split_whitespace().map(Into::into).collect();
    parse_load_settings(Arguments::from_vec(arguments)).map_err(|error| error.to_string())
}

/// Returns a token of the answer as the fake engine writes it.
fn token(index: u32) -> String {
    token_text(sapphiretrack_fakes::answer_tag(&messages()), index)
}

fn check_answer(tokens: &[String], complete: bool) -> Option<ViolationKind> {
    let mut check = AnswerCheck::new(&messages(), 4);
    for token in tokens {
        check.push_text(token);
    }
    check.finish(complete).map(|violation| violation.kind)
}

#[test]
fn arrivals_are_deterministic_for_a_seed() {
    let first: Vec<_> = Arrivals::new(&settings()).collect();
    let again: Vec<_> = Arrivals::new(&settings()).collect();
    assert_eq!(first, again);
    let other = LoadSettings {
        seed: 2,
        ..settings()
    };
    let other: Vec<_> = Arrivals::new(&other).collect();
    assert_ne!(first, other);
}

#[test]
fn arrivals_have_the_configured_rate_and_mix() {
    let arrivals: Vec<_> = Arrivals::new(&settings()).collect();
    let count = arrivals.len() as f64;
    // Four standard deviations of a Poisson count of 10,000.
    assert!((count - 10_000.0).abs() < 400.0, "{count}");
    let share = |holds: &dyn Fn(&Work) -> bool| {
        arrivals
            .iter()
            .filter(|arrival| holds(&arrival.work))
            .count() as f64
            / count
    };
    let returning = share(&|work| matches!(work, Work::Chat { turn: 1.., .. }));
    assert!((share(&|work| *work == Work::Order) - 0.1).abs() < 0.02);
    assert!((share(&|work| *work == Work::Lookup) - 0.1).abs() < 0.02);
    assert!((returning - 0.8 * 0.6).abs() < 0.03, "{returning}");
    let of_workspace =
        |index| arrivals.iter().filter(|a| a.workspace == index).count() as f64 / count;
    let ratio = of_workspace(0) / of_workspace(1);
    assert!((ratio - 2.0_f64.powf(1.2)).abs() < 0.4, "{ratio}");
}

#[test]
fn a_chat_continues_turn_by_turn_in_its_workspace() {
    let mut last = std::collections::BTreeMap::new();
    let mut returned = 0;
    for arrival in Arrivals::new(&settings()) {
        let Work::Chat { chat, turn, .. } = arrival.work else {
            continue;
        };
        let before = last.insert(chat, (turn, arrival.workspace, arrival.at_us));
        match before {
            None => assert_eq!(turn, 0),
            Some((before, workspace, at_us)) => {
                assert_eq!((turn, arrival.workspace), (before + 1, workspace));
                assert!(at_us < arrival.at_us);
                returned += 1;
            }
        }
    }
    assert!(returned > 1_000, "{returned}");
}

#[test]
fn max_requests_limits_the_number_of_arrivals() {
    let bounded = LoadSettings {
        max_requests: 17,
        ..settings()
    };
    assert_eq!(Arrivals::new(&bounded).count(), 17);
}

#[test]
fn a_complete_answer_passes_and_each_violation_is_detected() {
    let complete: Vec<String> = (0..4).map(token).collect();
    assert_eq!(check_answer(&complete, true), None);
    assert_eq!(
        check_answer(&complete[..2], false),
        None,
        "a reported cut is no violation"
    );
    assert_eq!(
        check_answer(&complete[..3], true),
        Some(ViolationKind::CutAsEnd)
    );
    assert_eq!(check_answer(&[], true), Some(ViolationKind::CutAsEnd));
    let duplicate = [token(0), token(1), token(1), token(2)];
    assert_eq!(check_answer(&duplicate, true), Some(ViolationKind::Doubled));
    let missing = [token(0), token(2), token(3), token(3)];
    assert_eq!(check_answer(&missing, true), Some(ViolationKind::Missing));
    let foreign = [token(0), String::from("zzzz-1 ")];
    assert_eq!(check_answer(&foreign, false), Some(ViolationKind::Foreign));
    let too_long: Vec<String> = (0..5).map(token).collect();
    assert_eq!(check_answer(&too_long, true), Some(ViolationKind::Foreign));
}

#[test]
fn a_service_answer_must_name_its_order_and_a_first_run() {
    let kind = |body: &str, order| {
        check_service_answer(body, "POST /x 1", order).map(|violation| violation.kind)
    };
    assert_eq!(kind(r#"{"order":"POST /x 1","run":1}"#, true), None);
    assert_eq!(kind(r#"{"order":"POST /x 1","run":2}"#, false), None);
    let twice = kind(r#"{"order":"POST /x 1","run":2}"#, true);
    assert_eq!(twice, Some(ViolationKind::RanTwice));
    let foreign = kind(r#"{"order":"POST /x 2","run":1}"#, true);
    assert_eq!(foreign, Some(ViolationKind::Foreign));
    assert_eq!(kind("", false), Some(ViolationKind::Foreign));
}

#[test]
fn valid_settings_are_parsed_and_invalid_ones_rejected() {
    let parsed = parse("--entry http://127.0.0.1:1 --class alarm=0.5:900 --rate 7 --quiet")
        .expect("the settings are valid");
    assert_eq!(parsed.classes, [ClassMix::new("alarm", 0.5, 900)]);
    assert_eq!((parsed.requests_per_s, parsed.progress), (7.0, false));
    let invalid = [
        ("--rate 5", "--entry is missing"),
        ("--entry u --rate 0", "--rate must be above 0"),
        ("--entry u --rate x", "invalid command line"),
        ("--entry u --class alarm", "invalid command line"),
        (
            "--entry u --service-share 1.5",
            "--service-share must be from 0 to 1",
        ),
        ("--entry u --workspaces 0", "--workspaces must be above 0"),
        ("--entry u --colour blue", "unknown argument"),
    ];
    for (line, expected) in invalid {
        let error = parse(line).expect_err(line);
        assert!(error.contains(expected), "{line}: {error}");
    }
}

#[test]
fn the_plot_has_a_line_for_each_class_with_answers() {
    let mut statistics = Statistics::new(&settings().classes);
    let path = std::env::temp_dir().join(format!("sapphiretrack-{}.svg", std::process::id()));
    plot_svg(&path, &statistics).expect("the empty plot is written");
    let empty = std::fs::read_to_string(&path).expect("the plot can be read");
    for class in &mut statistics.classes {
        for us in [900, 12_000, 400_000] {
            class
                .first_token_us
                .record(us)
                .expect("the time is within the bounds");
        }
    }
    plot_svg(&path, &statistics).expect("the plot is written");
    let plot = std::fs::read_to_string(&path).expect("the plot can be read");
    std::fs::remove_file(&path).expect("the plot is removed");
    let lines = |text: &str| {
        let polylines = text.lines().filter(|line| line.contains("<polyline"));
        polylines
            .filter(|line| line.contains("stroke-width=\"2\""))
            .count()
    };
    assert_eq!((lines(&empty), lines(&plot)), (0, 2), "{plot}");
    assert!(plot.contains("urgent") && plot.contains("floor"));
}
