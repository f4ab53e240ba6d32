//! Tests of reports, and an end-to-end run of the overhead experiment.

use std::path::PathBuf;

use curranttrestle_experiments::{
    Check, ExperimentName, ExperimentOptions, Plot, Report, Series, Table, run,
};

fn output_folder(test: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test)
}

#[test]
fn report_is_written_as_csv_tables_and_svg_plot() {
    let mut table = Table::new("waits", &["policy", "p99 ms"]);
    table.push(["fair".to_owned(), "12".to_owned()]);
    let mut report = Report::new("example", 7);
    report.tables = vec![table];
    report.checks = vec![Check::at_most("gap", 2.0, 1.0)];
    report.plot = Some(Plot {
        title: "Gap".into(),
        series: vec![Series {
            name: "fair".into(),
            points: vec![(0.0, 1.0), (1.0, 2.0)],
        }],
        ..Plot::default()
    });
    let paths = report.write_to(&output_folder("report")).unwrap();
    let text = std::fs::read_to_string(&paths[0]).unwrap();
    assert_eq!(text, "policy,p99 ms\nfair,12\n");
    let targets = std::fs::read_to_string(&paths[1]).unwrap();
    assert!(
        targets.ends_with("gap,2.000,at most 1.000,missed\n"),
        "{targets}"
    );
    let plot = std::fs::read_to_string(&paths[2]).unwrap();
    assert!(plot.contains("<svg") && plot.contains("polyline"), "{plot}");
}

#[test]
fn check_tells_whether_target_is_met() {
    assert!(Check::at_most("gap", 1.0, 1.0).met);
    assert!(!Check::at_least("busy", 0.96, 0.97).met);
}

#[test]
fn overhead_experiment_completes_direct_and_routed_requests() {
    let options = ExperimentOptions {
        output: output_folder("overhead"),
        duration_ms: 1_500,
        ..ExperimentOptions::default()
    };
    let reports = run(ExperimentName::Overhead, 1, &options, |_| {}).unwrap();
    let rows = &reports[0].tables[0].rows;
    for row in &rows[..2] {
        let requests: u64 = row[1].parse().unwrap();
        assert!(requests > 0, "no request completed: {row:?}");
    }
}
