//! Runs a load experiment: arrivals, faults and the report.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_standin::LedgerReport;
use rand::rngs::StdRng;
use rand::{Rng, RngExt as _, SeedableRng as _};
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::{Caller, Outcome};
use crate::entries::Entries;
use crate::options::RunOptions;
use crate::report::{Collector, Report};
use crate::sampler::sample_downtime;
use crate::schedule::inject_faults;

/// Maximum number of requests in flight.
///
/// Arrivals end at this number, because an experiment with more is not valid.
const MAX_IN_FLIGHT: usize = 50_000;

struct Finished {
    team: String,
    /// Second of the experiment in which the request was sent.
    second: usize,
    outcome: Outcome,
    /// Body of the call, if the caller was told that it did not run.
    not_run_body: Option<String>,
}

/// Runs an experiment and returns its report.
pub async fn run(options: RunOptions) -> Result<Report, reqwest::Error> {
    let client = Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .build()?;
    let entries = Arc::new(Entries::new(
        client.clone(),
        options.seeds.clone(),
        &options.model,
    ));
    let marker = format!("m{:x}", rand::random::<u32>());
    let start = Instant::now();
    let faults = tokio::spawn(inject_faults(options.clone(), start));
    let deadline = start + options.duration;
    let downtime = options
        .operator
        .map(|operator| tokio::spawn(sample_downtime(operator, deadline)));
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut collector = Collector::new();
    let mut running = JoinSet::new();
    let mut not_run_bodies = Vec::new();
    let mut arrival = start;
    let mut number = 0;
    loop {
        arrival += draw_gap(&mut rng, options.rate);
        if arrival >= deadline || running.len() >= MAX_IN_FLIGHT {
            break;
        }
        tokio::time::sleep_until(arrival).await;
        while let Some(done) = running.try_join_next() {
            collect(&mut collector, &mut not_run_bodies, done.ok());
        }
        let second = (arrival - start).as_secs() as usize;
        let team = options.teams[rng.random_range(0..options.teams.len())].clone();
        let caller = Caller {
            client: client.clone(),
            entries: Arc::clone(&entries),
            token: format!("{team}-example-token"),
            timeout: options.timeout,
            repeats: options.repeats,
        };
        let request = draw_request(&options, &mut rng, &marker, number);
        number += 1;
        running.spawn(send(caller, request, team, second));
    }
    while let Some(done) = running.join_next().await {
        collect(&mut collector, &mut not_run_bodies, done.ok());
    }
    faults.abort();
    let mut report = collector.finish(options.duration.as_secs_f64());
    if let Some(downtime) = downtime {
        report.downtime = downtime.await.ok();
    }
    if let Some(control) = options.control {
        let url = format!("http://{control}/v1/ledger?marker={marker}");
        report.ledger = Some(client.get(url).send().await?.json::<LedgerReport>().await?);
        report.ran_after_not_run = count_executed(&client, control, &not_run_bodies).await?;
    }
    Ok(report)
}

/// Counts the calls that were executed although their caller was told `not_run`.
async fn count_executed(
    client: &Client,
    control: std::net::SocketAddr,
    not_run_bodies: &[String],
) -> Result<u64, reqwest::Error> {
    let mut executed = 0;
    for body in not_run_bodies {
        let url = format!("http://{control}/v1/executions");
        let count: u64 = client
            .post(url)
            .body(body.clone())
            .send()
            .await?
            .json()
            .await?;
        executed += u64::from(count > 0);
    }
    Ok(executed)
}

/// Draws the time to the next arrival of a Poisson process.
fn draw_gap(rng: &mut impl Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

enum DrawnRequest {
    Completion(String),
    Call {
        service: String,
        path: String,
        body: String,
    },
}

fn draw_request(
    options: &RunOptions,
    rng: &mut impl Rng,
    marker: &str,
    number: u64,
) -> DrawnRequest {
    if let Some(service) = &options.service
        && rng.random::<f64>() < options.service_share
    {
        let body = format!(r#"{{"call":"{marker}-{number}"}}"#);
        return DrawnRequest::Call {
            service: service.clone(),
            path: options.path.clone(),
            body,
        };
    }
    let prompt = rng.random_range(0..options.prompts);
    let (model, parts) = (&options.model, options.parts);
    DrawnRequest::Completion(format!(
        r#"{{"model":"{model}","stream":true,"max_tokens":{parts},"messages":["prompt {prompt}","{marker}-{number}"]}}"#
    ))
}

async fn send(caller: Caller, request: DrawnRequest, team: String, second: usize) -> Finished {
    match request {
        DrawnRequest::Completion(body) => {
            let outcome = caller.complete(body).await;
            Finished {
                team,
                second,
                outcome,
                not_run_body: None,
            }
        }
        DrawnRequest::Call {
            service,
            path,
            body,
        } => {
            let outcome = caller.call(&service, &path, body.clone()).await;
            let not_run = matches!(&outcome, Outcome::Refused(_, e) if e == "not_run");
            Finished {
                team,
                second,
                outcome,
                not_run_body: not_run.then_some(body),
            }
        }
    }
}

fn collect(collector: &mut Collector, not_run_bodies: &mut Vec<String>, done: Option<Finished>) {
    let Some(done) = done else { return };
    collector.add(&done.team, done.second, &done.outcome);
    not_run_bodies.extend(done.not_run_body);
}
