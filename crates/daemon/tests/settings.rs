//! The daemon's settings file.

use bulrushhoist_daemon::Settings;
use proptest::prelude::{ProptestConfig, prop};
use proptest::proptest;
use proptest::test_runner::RngSeed;

const SEED: u64 = 31;

const SOUND: &str = r#"
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

#[test]
fn sound_settings_are_taken_with_defaults() {
    let settings = Settings::parse("d.toml", SOUND).expect("the settings are sound");
    assert_eq!(settings.limits.max_body_bytes, 1 << 20);
    assert_eq!(settings.watcher_count, 7);
}

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
    let problems = Settings::parse("d.toml", text).expect_err("they are full of problems");
    insta::assert_snapshot!(problems);
}

#[test]
fn going_without_secrets_takes_an_explicit_word() {
    let (without, _) = SOUND
        .split_once("[security]")
        .expect("the section is there");
    assert!(Settings::parse("d.toml", without).is_err());
    let insecure = format!("{without}[security]\ninsecure = true\n");
    let settings = Settings::parse("d.toml", &insecure).expect("it was said");
    assert_eq!(settings.security.peer_key, None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_text_makes_the_reader_panic(text in ".{0,300}") {
        let _ = Settings::parse("fuzz.toml", &text);
    }

    #[test]
    fn no_change_of_sound_settings_makes_the_reader_panic(
        cut in 0..SOUND.len(),
        insert in prop::sample::select(vec!["[", "\"", "= 1", "\n[listen]\n", "x.y = 2", "\u{0}"]),
    ) {
        let text = format!("{}{insert}{}", &SOUND[..cut], &SOUND[cut..]);
        let _ = Settings::parse("fuzz.toml", &text);
    }
}
