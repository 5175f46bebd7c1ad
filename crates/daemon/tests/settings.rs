//! Tests of reading the daemon's settings file.

use bulrushhoist_daemon::Settings;
use proptest::prelude::{ProptestConfig, prop};
use proptest::proptest;
use proptest::test_runner::RngSeed;

const SEED: u64 = 31;

const VALID: &str = r#"
data-centre = "east"
platform = "10.0.0.1:7000"

[listen]
caller = "10.0.0.2:8080"
peer = "10.0.0.2:8081"
operator = "10.0.0.2:8082"

[security]
peer-key = "0123456789abcdef"
operator-token = "fedcba9876543210"
"#;

// A file that sets only the required keys must be accepted.
#[test]
fn valid_settings_get_defaults_for_missing_keys() {
    let settings = Settings::parse("d.toml", VALID).expect("the settings are valid");
    assert_eq!(settings.limits.max_body_bytes, 1 << 20);
    assert_eq!(settings.watcher_count, 7);
}

// An operator must see all problems of a file at once, each with its line and key.
#[test]
fn every_problem_is_reported() {
    let text = r#"
data-centre = "East 1"
[listen]
caller = "here"
peer = "10.0.0.2:8081"
[security]
peer-key = "short"
[limits]
requests = 0
[timing]
probe-ms = 5000
evidence-ms = 2000
[log]
level = "loud"
colour = true
"#;
    let problems = Settings::parse("d.toml", text).expect_err("the settings have problems");
    insta::assert_snapshot!(problems);
}

// A file without secrets would otherwise start a daemon that accepts everyone.
#[test]
fn missing_secrets_need_an_explicit_setting() {
    let (without, _) = VALID
        .split_once("[security]")
        .expect("the settings have a security section");
    assert!(Settings::parse("d.toml", without).is_err());
    let insecure = format!("{without}[security]\ninsecure = true\n");
    let settings =
        Settings::parse("d.toml", &insecure).expect("`insecure = true` allows missing secrets");
    assert_eq!(settings.security.peer_key, None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A malformed file must yield problems that the operator can read, not a panic.
    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,300}") {
        let _ = Settings::parse("fuzz.toml", &text);
    }

    // The same for a file that is cut off or mistyped anywhere.
    #[test]
    fn changed_valid_settings_do_not_panic(
        cut in 0..VALID.len(),
        insert in prop::sample::select(vec!["[", "\"", "= 1", "\n[listen]\n", "x.y = 2", "\u{0}"]),
    ) {
        let text = format!("{}{insert}{}", &VALID[..cut], &VALID[cut..]);
        let _ = Settings::parse("fuzz.toml", &text);
    }
}
