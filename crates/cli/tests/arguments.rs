//! Tests of the command-line parser and of the comparison of files.

use bulrushhoist_cli::{
    Command, FileChange, OutputFormat, WarningPolicy, check, differences, parse_arguments,
};
use bulrushhoist_core::{Revision, SourceFile};
use lexopt::Parser;

fn parse(words: &[&str]) -> Result<bulrushhoist_cli::Arguments, lexopt::Error> {
    parse_arguments(Parser::from_args(words), |_| None)
}

// `apply` without its `--base` would overwrite another operator's change.
#[test]
fn commands_are_parsed_with_their_options() {
    let words = [
        "--platform",
        "10.0.0.1:7000",
        "apply",
        "dir",
        "--wait",
        "--base",
        "3",
    ];
    let arguments = parse(&words).expect("the command line is valid");
    let expected = Command::Apply {
        directory: "dir".into(),
        base: Some(Revision::new(3)),
        wait: true,
    };
    assert_eq!(arguments.command, expected);
    let arguments =
        parse(&["check", "dir", "--output", "json"]).expect("the command line is valid");
    assert_eq!(arguments.printer.format, OutputFormat::Json);
}

// A mistyped command line must not run with a part of it ignored.
#[test]
fn invalid_command_lines_are_errors() {
    assert!(parse(&["status"]).is_err(), "the platform is missing");
    assert!(parse(&["--platform", "x", "status"]).is_err());
    assert!(parse(&["check"]).is_err());
    assert!(parse(&["check", "a", "--unknown"]).is_err());
    let words = [
        "--platform",
        "10.0.0.1:7000",
        "data-centre",
        "out",
        "Not A Name",
    ];
    assert!(parse(&words).is_err());
}

// A wrong file or line would mislead an operator who reviews a change before applying it.
#[test]
fn differences_name_files_and_lines() {
    let file = |name: &str, text: &str| SourceFile {
        name: name.into(),
        text: text.into(),
    };
    let before = [file("a.toml", "x = 1\ny = 2\n"), file("b.toml", "")];
    let after = [file("a.toml", "x = 1\ny = 3\n"), file("c.toml", "z = 1\n")];
    let found = differences(&before, &after);
    let changes: Vec<(&str, FileChange)> =
        found.iter().map(|d| (d.name.as_str(), d.change)).collect();
    assert_eq!(
        changes,
        [
            ("a.toml", FileChange::Changed),
            ("b.toml", FileChange::Removed),
            ("c.toml", FileChange::Added)
        ]
    );
    assert_eq!(
        (found[0].added[0].line, found[0].added[0].text.as_str()),
        (2, "y = 3")
    );
}

// A warning that fails a check would block files that daemons accept; one that is denied
// must fail the check, or a pipeline passes over it.
#[test]
fn warnings_fail_a_check_only_if_they_are_denied() {
    let arguments = parse(&["check", "dir", "--deny-warnings"]).expect("the command line is valid");
    let expected = Command::Check {
        directory: "dir".into(),
        warnings: WarningPolicy::Deny,
    };
    assert_eq!(arguments.command, expected);
    let token = "a".repeat(64);
    let text =
        format!("[teams.a]\ntoken-sha256 = \"{token}\"\n[teams.b]\ntoken-sha256 = \"{token}\"\n");
    let files = [SourceFile {
        name: "teams.toml".into(),
        text,
    }];
    let report = check(&files, WarningPolicy::Report).expect("the files are valid");
    let lines: Vec<String> = report.warning_lines().collect();
    assert_eq!(lines.len(), 1);
    assert!(lines[0].starts_with("warning: teams.toml:4: teams.b.token-sha256: "));
    let error = check(&files, WarningPolicy::Deny).expect_err("warnings are denied");
    assert_eq!(error.exit_code(), 2);
    assert!(error.to_string().contains("teams.toml:4"));
}
