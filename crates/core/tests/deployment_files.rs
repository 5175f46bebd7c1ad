//! Tests of the check of deployment files.

use bulrushhoist_core::{SourceFile, check_files};
use proptest::prelude::{ProptestConfig, any, prop};
use proptest::test_runner::RngSeed;
use proptest::{prop_assert, proptest};

const SEED: u64 = 21;

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.into(),
        text: text.into(),
    }
}

/// Guards against a check that stops at the first problem, so that an operator
/// has to apply the files once per mistake.
#[test]
fn every_problem_of_every_file_is_reported_with_its_place() {
    let models = r#"
[models.bench]
version = 7
vms-per-replica = 0
cold-limit = 9
warm-limit = 4
checks-fencing = "yes"
colour = "red"

[models.bench.replicas]
nowhere = 3

[services.Counter]
version = "1"
"#;
    let broken = "[teams.shop\nshare = 1\n";
    let teams = "[teams.shop]\nshare = 0\ntoken-sha256 = \"abc\"\n";
    let files = [
        file("models.toml", models),
        file("broken.toml", broken),
        file("teams.toml", teams),
    ];
    let problems = check_files(&files).expect_err("the files have problems");
    insta::assert_snapshot!(problems);
}

/// Guards against declared values that are lost on reading, shown by the routes
/// of a service.
#[test]
fn a_valid_deployment_is_read_completely() {
    let text = r#"
[data-centres.east]
region = "south"

[services.counter]
version = "1"
cold-limit = 2
warm-limit = 8
checks-fencing = false

[services.counter.replicas]
east = 1

[[services.counter.routes]]
method = "GET"
path = "/balance/*"
idempotent = true
"#;
    let deployment = check_files(&[file("all.toml", text)]).expect("the file is valid");
    let service = deployment
        .workload("counter")
        .expect("the service is declared");
    assert!(
        service
            .route("GET", "/balance/17")
            .is_some_and(|r| r.idempotent)
    );
    assert!(service.route("POST", "/balance/17").is_none());
    assert!(service.route("GET", "/balance").is_none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic, or a problem without a line number, on text that
    /// resembles deployment files: lines of such files, valid and not, in any
    /// order.
    #[test]
    fn no_text_makes_the_check_panic(
        lines in prop::collection::vec(
            prop::sample::select(vec![
                "[models.a]", "[models.a.replicas]", "[services.b]", "[[services.b.routes]]",
                "[teams.c]", "[data-centres.d]", "version = \"1\"", "version = 1", "d = 1",
                "cold-limit = -1", "warm-limit = 99999999999999999999", "region = \"r\"",
                "path = \"x\"", "method = \"GET\"", "idempotent = 1", "[", "= =", "\u{0}",
                "replicas = []", "models = 1", "checks-fencing = true", "vms-per-replica = 1",
                "cold-limit = 1", "warm-limit = 1",
            ]),
            0..24,
        ),
    ) {
        let text = lines.join("\n");
        let result = check_files(&[file("fuzz.toml", &text)]);
        if let Err(problems) = result {
            prop_assert!(!problems.0.is_empty());
            prop_assert!(problems.0.iter().all(|p| p.line >= 1));
        }
    }

    /// Guards against a panic on arbitrary bytes, such as those of a file that is not text.
    #[test]
    fn no_bytes_make_the_check_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let text = String::from_utf8_lossy(&bytes);
        let _ = check_files(&[file("fuzz.toml", &text)]);
    }
}
