//! The gathered report, and the lines through measured points.

use std::path::PathBuf;

use sapphiretrack_bench::report::{Gathered, ReportError};
use sapphiretrack_bench::slopes::{Point, fit};

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sapphiretrack-{name}-{}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

#[test]
fn lines_are_gathered_by_kind_with_a_column_for_each_field() {
    let path = file(
        "gathered",
        "{\"kind\":\"load\",\"seed\":7,\"times\":{\"p95\":1.25}}\n\n\
         {\"kind\":\"policy\",\"name\":\"a|b <c>\"}\n{\"kind\":\"load\",\"seed\":8}\n",
    );
    let mut gathered = Gathered::default();
    gathered.add_file(&path).expect("good lines");
    std::fs::remove_file(&path).expect("the file is removed");
    let markdown = gathered.markdown();
    assert_eq!(
        markdown,
        "# Measurements\n\n## load\n\n| seed | times.p95 |\n| --- | --- |\n| 7 | 1.250 |\n\
         | 8 |  |\n\n## policy\n\n| name |\n| --- |\n| a\\|b <c> |\n"
    );
    let html = gathered.html();
    assert!(html.contains("<td>a|b &lt;c&gt;</td>"), "{html}");
    assert!(html.contains("<th>seed</th><th>times.p95</th>"), "{html}");
}

#[test]
fn a_line_that_is_no_object_is_told_with_its_number() {
    for text in ["{\"kind\":\"load\"}\n17\n", "{}\n{\n"] {
        let path = file("flawed", text);
        let error = Gathered::default().add_file(&path);
        std::fs::remove_file(&path).expect("the file is removed");
        assert!(
            matches!(error, Err(ReportError::Line { line: 2, .. })),
            "{error:?}"
        );
    }
    let missing = Gathered::default().add_file(&PathBuf::from("no-such-file"));
    assert!(
        matches!(missing, Err(ReportError::Read { .. })),
        "{missing:?}"
    );
}

#[test]
fn the_line_through_points_has_their_slope() {
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
