//! `bulrushhoist-load`: open-loop load and experiments.

use std::process::ExitCode;

use bulrushhoist_load::{Command, compare, measure_decisions, parse, run};

const HELP: &str = "\
bulrushhoist-load - open-loop load and experiments

usage: bulrushhoist-load run --entry ADDRESS [options]
       bulrushhoist-load compare --entry ADDRESS --control ADDRESS --service NAME --path PATH
       bulrushhoist-load decisions

  --entry ADDRESS       an entry to ask for entries; may be repeated
  --rate N              requests per second (50)
  --seconds S           time during which requests arrive (10)
  --patience S          time within which an answer counts (20)
  --model NAME          model to ask (bulrush-bench)
  --parts N             parts of each completion (16)
  --prompts N           different prompt starts (100)
  --service NAME        plain service to call as well, under tickets
  --path PATH           path of its non-idempotent call (/deposits)
  --service-share X     share of requests that go there (0.2)
  --teams A:W,B:W       teams and weights; NAME-example-token is the token
  --control ADDRESS     switches and ledger of the endpoint stand-ins
  --platform ADDRESS    the platform, for faults and data centres
  --operator ADDRESS    a daemon's operator address, to measure group downtime
  --fault S,KIND,TARGET at second S; KIND is crash, die, freeze, silence,
                        turn_cold, slow_tokens, leave or return for VMs whose names begin
                        with TARGET, out or in for a data centre, platform-down
                        or platform-up; may be repeated
  --no-repeats          callers do not repeat requests that were not run
  --seed N              seed of the arrivals (1)
  --json                print the report as JSON

`compare` makes idempotent calls through an entry and to the endpoint itself in
turn, and then as many through the entry as it takes with 64 in flight.
`decisions` measures the time of one request's routing decisions.

exit codes: 0 right, 1 could not run, 2 bad usage, 3 an answer was wrong or
partial, or a request ran twice or after it was said not to
";

#[allow(clippy::print_stdout)]
fn main() -> ExitCode {
    let command = match parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("bulrushhoist-load: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Command::Decisions => {
            for cost in measure_decisions(&[10, 100, 1_000, 10_000]) {
                let nanos = cost.per_request.as_nanos();
                println!("{} replicas: {nanos} ns per request", cost.replicas);
            }
            ExitCode::SUCCESS
        }
        Command::Compare(options) => comparison(&options),
        Command::Run(options) => experiment(*options),
    }
}

#[allow(clippy::print_stdout)]
fn comparison(options: &bulrushhoist_load::CompareOptions) -> ExitCode {
    let runtime = tokio::runtime::Runtime::new();
    let found = runtime.map(|runtime| runtime.block_on(compare(options)));
    match found {
        Ok(Ok(found)) => {
            let (direct, through) = (found.direct, found.through);
            println!("direct: p50 {} us, p95 {} us", direct.p50_us, direct.p95_us);
            println!(
                "through an entry: p50 {} us, p95 {} us",
                through.p50_us, through.p95_us
            );
            println!("{:.0} calls/s through the entry", found.per_second);
            ExitCode::SUCCESS
        }
        Ok(Err(error)) => fail(&error),
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("bulrushhoist-load: {error}");
    ExitCode::FAILURE
}

#[allow(clippy::print_stdout)]
fn experiment(options: bulrushhoist_load::RunOptions) -> ExitCode {
    let json = options.json;
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let report = match runtime.block_on(run(options)) {
        Ok(report) => report,
        Err(error) => return fail(&error),
    };
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        report.lines().iter().for_each(|line| println!("{line}"));
    }
    if report.is_right() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(3)
    }
}
