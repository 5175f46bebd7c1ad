//! Plays the cases of this review that a day of the bench can't: `world CASE FOLDER`.
//!
//! It starts the system's own program as the deploy file says, with stand-ins of the store,
//! the replicas and the consumers in this process. The exit code is 1 if the rule was
//! broken, 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod consumer;
mod earlier_life;
mod entry;
mod foreign_entry;
mod http;
mod json;
mod late_heartbeat;
mod late_join;
mod record;
mod replica;
mod site;
mod stop_in_line;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    CannotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: world CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    let outcome = match case.as_str() {
        "stop-in-line" => stop_in_line::play(&record, trouble),
        "foreign-entry" => foreign_entry::play(&record, trouble),
        "late-heartbeat" => late_heartbeat::play(&record, trouble),
        "earlier-life" => earlier_life::play(&record, trouble),
        "late-join" => late_join::play(&record, trouble),
        other => Outcome::CannotRun(format!("no case {other}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::CannotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
