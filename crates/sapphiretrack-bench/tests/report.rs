//! Reports combined from JSON lines, and slopes of least-squares lines through points.

use std::path::PathBuf;

use sapphiretrack_bench::report::{Report, ReportError};
use sapphiretrack_bench::slopes::{Point, fit};

/// Writes a temporary file.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sapphiretrack-{name}-{}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

#[test]
fn lines_are_grouped_by_kind_with_a_column_for_each_field() {
    let path = write_file(
        "gathered",
        "{\"kind\":\"load\",\"seed\":7,\"times\":{\"p95\":1.25}}\n\n\
         {\"kind\":\"policy\",\"name\":\"a|b <c>\"}\n{\"kind\":\"load\",\"seed\":8}\n",
    );
    let mut report = Report::default();
    report.add_file(&path).expect("the lines are valid");
    std::fs::remove_file(&path).expect("the file is removed");
    let markdown = report.markdown();
    assert_eq!(
        markdown,
        "# Measurements\n\n## load\n\n| seed | times.p95 |\n| --- | --- |\n| 7 | 1.250 |\n\
         | 8 |  |\n\n## policy\n\n| name |\n| --- |\n| a\\|b <c> |\n"
    );
    let html = report.html();
    assert!(html.contains("<td>a|b &lt;c&gt;</td>"), "{html}");
    assert!(html.contains("<th>seed</th><th>times.p95</th>"), "{html}");
}

#[test]
fn a_line_that_is_not_an_object_is_reported_with_its_number() {
    for text in ["{\"kind\":\"load\"}\n17\n", "{}\n{\n"] {
        let path = write_file("flawed", text);
        let error = Report::default().add_file(&path);
        std::fs::remove_file(&path).expect("the file is removed");
        assert!(
            matches!(error, Err(ReportError::Line { line: 2, .. })),
            "{error:?}"
        );
    }
    let missing = Report::default().add_file(&PathBuf::from("no-such-file"));
    assert!(
        matches!(missing, Err(ReportError::Read { .. })),
        "{missing:?}"
    );
}

#[test]
fn fit_returns_least_squares_slopes() {
    let point = |size: f64, memory_bytes: f64| Point {
        size,
        cpu_us_per_s: 5.0 + 3.0 * size,
        memory_bytes,
        platform_reads_per_s: 1.0,
        platform_writes_per_s: 0.0,
    };
    let slope = fit(
        "peers",
        vec![point(0.0, 10.0), point(2.0, 50.0), point(4.0, 30.0)],
    );
    assert!((slope.cpu_us_per_s - 3.0).abs() < 1e-9);
    assert!((slope.memory_bytes - 5.0).abs() < 1e-9);
    assert!(slope.platform_reads_per_s.abs() < 1e-9);
    let one_size = fit("peers", vec![point(2.0, 10.0), point(2.0, 50.0)]);
    assert!(
        one_size.memory_bytes.abs() < 1e-9,
        "one size gives no slope"
    );
}
