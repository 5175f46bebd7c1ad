//! The command line.

use std::net::SocketAddr;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt as _};

use crate::compare::CompareOptions;
use crate::schedule::Fault;

/// A subcommand with its options.
#[derive(Debug)]
pub enum Command {
    /// Runs a load experiment.
    Run(Box<RunOptions>),
    /// Compares calls through an entry with direct calls.
    Compare(Box<CompareOptions>),
    /// Measures the time of one request's routing decisions.
    Decisions,
    /// Prints the help text.
    Help,
}

/// Options of a load experiment.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Entries that are asked for the list of entries.
    pub seeds: Vec<SocketAddr>,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Time within which an answer must be complete.
    pub timeout: Duration,
    /// Model of the completions.
    pub model: String,
    /// Plain service that is also called, if any.
    pub service: Option<String>,
    /// Path of the service's non-idempotent call.
    pub path: String,
    /// Fraction of requests that go to the service.
    pub service_share: f64,
    /// Number of parts of each completion.
    pub parts: u64,
    /// Teams, each repeated by its weight; `NAME-example-token` is its token.
    pub teams: Vec<String>,
    /// Number of different prompt prefixes.
    pub prompts: u64,
    /// Control address of the endpoint stand-ins, for faults and the ledger.
    pub control: Option<SocketAddr>,
    /// Address of the platform stand-in, for faults and data centres.
    pub platform: Option<SocketAddr>,
    /// Operator address of a daemon, to measure the downtime of groups.
    pub operator: Option<SocketAddr>,
    /// Faults to inject, with their times.
    pub faults: Vec<Fault>,
    /// Whether callers repeat requests that were not run or got no answer.
    pub repeats: bool,
    /// Seed of the arrival times and of the drawn requests.
    pub seed: u64,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            rate: 50.0,
            duration: Duration::from_secs(10),
            timeout: Duration::from_secs(20),
            model: "bulrush-bench".into(),
            service: None,
            path: "/deposits".into(),
            service_share: 0.2,
            parts: 16,
            teams: vec!["nashville".into()],
            prompts: 100,
            control: None,
            platform: None,
            operator: None,
            faults: Vec::new(),
            repeats: true,
            seed: 1,
            json: false,
        }
    }
}

/// Parses the command line.
pub fn parse(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut options = RunOptions::default();
    let mut subcommand = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("entry") => options.seeds.push(parser.value()?.parse()?),
            Arg::Long("rate") => options.rate = parser.value()?.parse()?,
            Arg::Long("seconds") => options.duration = seconds(&mut parser)?,
            Arg::Long("patience") => options.timeout = seconds(&mut parser)?,
            Arg::Long("model") => options.model = parser.value()?.string()?,
            Arg::Long("service") => options.service = Some(parser.value()?.string()?),
            Arg::Long("path") => options.path = parser.value()?.string()?,
            Arg::Long("service-share") => options.service_share = parser.value()?.parse()?,
            Arg::Long("parts") => options.parts = parser.value()?.parse()?,
            Arg::Long("teams") => options.teams = teams(&parser.value()?.string()?)?,
            Arg::Long("prompts") => options.prompts = parser.value()?.parse()?,
            Arg::Long("control") => options.control = Some(parser.value()?.parse()?),
            Arg::Long("platform") => options.platform = Some(parser.value()?.parse()?),
            Arg::Long("operator") => options.operator = Some(parser.value()?.parse()?),
            Arg::Long("fault") => options.faults.push(parser.value()?.parse()?),
            Arg::Long("no-repeats") => options.repeats = false,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("json") => options.json = true,
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Value(value) if subcommand.is_none() => subcommand = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match subcommand.as_deref() {
        Some("run") if options.seeds.is_empty() => Err("--entry is required".into()),
        Some("run") => Ok(Command::Run(Box::new(options))),
        Some("compare") => compare_options(&options)
            .map(Box::new)
            .map(Command::Compare),
        Some("decisions") => Ok(Command::Decisions),
        _ => Ok(Command::Help),
    }
}

fn compare_options(options: &RunOptions) -> Result<CompareOptions, lexopt::Error> {
    Ok(CompareOptions {
        entry: *options.seeds.first().ok_or("--entry is required")?,
        control: options.control.ok_or("--control is required")?,
        service: options.service.clone().ok_or("--service is required")?,
        path: options.path.clone(),
        token: format!("{}-example-token", options.teams[0]),
        calls: 2_000,
        concurrency: 64,
        duration: options.duration,
    })
}

fn seconds(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    let seconds: f64 = parser.value()?.parse()?;
    Duration::try_from_secs_f64(seconds).map_err(|e| e.to_string().into())
}

/// Parses `NAME:WEIGHT,NAME:WEIGHT` into a list that repeats each name by its weight.
fn teams(text: &str) -> Result<Vec<String>, lexopt::Error> {
    let mut teams = Vec::new();
    for item in text.split(',') {
        let (name, weight) = item.split_once(':').unwrap_or((item, "1"));
        let weight: usize = weight
            .parse()
            .map_err(|_| format!("`{weight}` is not a weight"))?;
        teams.extend(std::iter::repeat_n(name.to_owned(), weight));
    }
    Ok(teams)
}
