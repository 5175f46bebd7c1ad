//! Tests of the warnings for deployment files.

use bulrushhoist_core::{SourceFile, check_files, lint_files};

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.into(),
        text: text.into(),
    }
}

/// Guards against valid entries without effect, or contradicting limits, that an
/// operator finds out about only from refused requests.
#[test]
fn every_warning_names_its_place() {
    let files = [
        file("sites.toml", include_str!("lint/sites.toml")),
        file("models.toml", include_str!("lint/models.toml")),
        file("services.toml", include_str!("lint/services.toml")),
        file("teams.toml", include_str!("lint/teams.toml")),
    ];
    let deployment = check_files(&files).expect("the files are valid");
    insta::assert_snapshot!(lint_files(&files, &deployment));
}

/// Guards against warnings that operators learn to ignore because files in good
/// order have them.
#[test]
fn the_examples_have_no_warnings() {
    let examples = [
        [
            include_str!("../../../examples/cupwright/data-centres.toml"),
            include_str!("../../../examples/cupwright/models.toml"),
            include_str!("../../../examples/cupwright/services.toml"),
            include_str!("../../../examples/cupwright/teams.toml"),
        ],
        [
            include_str!("../../../examples/token-desk/data-centres.toml"),
            include_str!("../../../examples/token-desk/models.toml"),
            include_str!("../../../examples/token-desk/services.toml"),
            include_str!("../../../examples/token-desk/teams.toml"),
        ],
    ];
    for texts in examples {
        let files = texts.map(|text| file("example.toml", text));
        let deployment = check_files(&files).expect("the example is valid");
        assert_eq!(lint_files(&files, &deployment).0, []);
    }
}
