//! `bulrushhoist-load`: open-loop load and experiments.

use std::process::ExitCode;

use bulrushhoist_load::{Command, compare, measure_decisions, measure_leader_choice, parse, run};

const HELP: &str = "\
bulrushhoist-load - open-loop load and experiments

usage: bulrushhoist-load run --entry ADDRESS [options]
       bulrushhoist-load compare --entry ADDRESS --control ADDRESS --service NAME --path PATH
       bulrushhoist-load decisions

  --entry ADDRESS       an entry to ask for entries; may be repeated
  --rate N              requests per second (50)
  --seconds S           time during which requests arrive (10)
  --patience S          time within which an answer must be complete (20)
  --model NAME          model to ask (bulrush-bench)
  --parts N             number of parts of each completion (16)
  --prompts N           number of different prompt prefixes (100)
  --service NAME        plain service that is also called, with tickets
  --path PATH           path of its non-idempotent call (/deposits)
  --service-share X     fraction of requests that go to the service (0.2)
  --teams A:W,B:W       teams and weights; the token is NAME-example-token
  --control ADDRESS     control interface of the endpoint stand-ins
  --platform ADDRESS    platform stand-in, for its faults and data centres
  --operator ADDRESS    operator address of a daemon, to measure group downtime
  --fault S,KIND,TARGET inject a fault at second S; KIND is crash, die, freeze,
                        silence, turn_cold, slow_tokens, leave or return for VMs
                        whose names begin with TARGET, out or in for a data
                        centre, platform-down or platform-up; may be repeated
  --no-repeats          callers do not repeat requests that were not run
  --seed N              seed of the arrivals (1)
  --json                print the report as JSON

`compare` sends idempotent calls alternately through an entry and directly to
the endpoint, and then measures the entry's throughput with 64 calls in flight.
`decisions` measures the time of one request's routing decisions, by number of
replicas, and of the choice of a leader, by number of entries and leaders.

exit codes: 0 success, 1 the run failed, 2 usage error, 3 an answer was wrong or
partial, or a request ran twice or after a caller was told that it did not run
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
            for cost in measure_leader_choice(&[7, 76, 295, 1_400], &[10, 100, 1_000]) {
                let (entries, leaders) = (cost.entries, cost.leaders);
                let nanos = cost.per_choice.as_nanos();
                println!("{leaders} leaders, {entries} entries: {nanos} ns per choice");
            }
            ExitCode::SUCCESS
        }
        Command::Compare(options) => run_comparison(&options),
        Command::Run(options) => run_experiment(*options),
    }
}

#[allow(clippy::print_stdout)]
fn run_comparison(options: &bulrushhoist_load::CompareOptions) -> ExitCode {
    let runtime = tokio::runtime::Runtime::new();
    let result = runtime.map(|runtime| runtime.block_on(compare(options)));
    match result {
        Ok(Ok(result)) => {
            let (direct, via_entry) = (result.direct, result.via_entry);
            println!("direct: p50 {} us, p95 {} us", direct.p50_us, direct.p95_us);
            println!(
                "through an entry: p50 {} us, p95 {} us",
                via_entry.p50_us, via_entry.p95_us
            );
            println!("{:.0} calls/s through the entry", result.calls_per_s);
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
fn run_experiment(options: bulrushhoist_load::RunOptions) -> ExitCode {
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
    if report.is_correct() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(3)
    }
}
