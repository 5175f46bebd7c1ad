//! Runs an experiment.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_standin::LedgerReport;
use rand::rngs::StdRng;
use rand::{Rng, RngExt as _, SeedableRng as _};
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::{Caller, Ending};
use crate::entries::Entries;
use crate::options::RunOptions;
use crate::report::{Collector, Report};
use crate::sampler::sample;
use crate::schedule::play;

/// Most requests in flight; more arrivals than this are a broken experiment.
const IN_FLIGHT_MAX: usize = 50_000;

struct Done {
    team: String,
    second: usize,
    ending: Ending,
    /// Body of a call that the caller was told did not run.
    refused_body: Option<String>,
}

/// Runs an experiment and returns what it found.
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
    let faults = tokio::spawn(play(options.clone(), start));
    let until = start + options.length;
    let downtime = options
        .operator
        .map(|operator| tokio::spawn(sample(operator, until)));
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut collector = Collector::new();
    let mut running = JoinSet::new();
    let mut refused = Vec::new();
    let mut arrival = start;
    let mut number = 0;
    loop {
        arrival += gap(&mut rng, options.rate);
        if arrival >= until || running.len() >= IN_FLIGHT_MAX {
            break;
        }
        tokio::time::sleep_until(arrival).await;
        while let Some(done) = running.try_join_next() {
            collect(&mut collector, &mut refused, done.ok());
        }
        let second = (arrival - start).as_secs() as usize;
        let team = options.teams[rng.random_range(0..options.teams.len())].clone();
        let caller = Caller {
            client: client.clone(),
            entries: Arc::clone(&entries),
            token: format!("{team}-example-token"),
            patience: options.patience,
            repeats: options.repeats,
        };
        let request = draw(&options, &mut rng, &marker, number);
        number += 1;
        running.spawn(send(caller, request, team, second));
    }
    while let Some(done) = running.join_next().await {
        collect(&mut collector, &mut refused, done.ok());
    }
    faults.abort();
    let mut report = collector.finish(options.length.as_secs_f64());
    if let Some(downtime) = downtime {
        report.downtime = downtime.await.ok();
    }
    if let Some(control) = options.control {
        let url = format!("http://{control}/v1/ledger?marker={marker}");
        report.ledger = Some(client.get(url).send().await?.json::<LedgerReport>().await?);
        report.ran_after_not_run = count_ran(&client, control, &refused).await?;
    }
    Ok(report)
}

/// Counts the calls that ran although their caller was told that they did not.
async fn count_ran(
    client: &Client,
    control: std::net::SocketAddr,
    refused: &[String],
) -> Result<u64, reqwest::Error> {
    let mut ran = 0;
    for body in refused {
        let url = format!("http://{control}/v1/executions");
        let count: u64 = client
            .post(url)
            .body(body.clone())
            .send()
            .await?
            .json()
            .await?;
        ran += u64::from(count > 0);
    }
    Ok(ran)
}

/// Draws the time to the next arrival of a Poisson process.
fn gap(rng: &mut impl Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

enum Drawn {
    Completion(String),
    Call {
        service: String,
        path: String,
        body: String,
    },
}

fn draw(options: &RunOptions, rng: &mut impl Rng, marker: &str, number: u64) -> Drawn {
    if let Some(service) = &options.service
        && rng.random::<f64>() < options.service_share
    {
        let body = format!(r#"{{"call":"{marker}-{number}"}}"#);
        return Drawn::Call {
            service: service.clone(),
            path: options.path.clone(),
            body,
        };
    }
    let prompt = rng.random_range(0..options.prompts);
    let (model, parts) = (&options.model, options.parts);
    Drawn::Completion(format!(
        r#"{{"model":"{model}","stream":true,"max_tokens":{parts},"messages":["prompt {prompt}","{marker}-{number}"]}}"#
    ))
}

async fn send(caller: Caller, request: Drawn, team: String, second: usize) -> Done {
    match request {
        Drawn::Completion(body) => {
            let ending = caller.complete(body).await;
            Done {
                team,
                second,
                ending,
                refused_body: None,
            }
        }
        Drawn::Call {
            service,
            path,
            body,
        } => {
            let ending = caller.call(&service, &path, body.clone()).await;
            let not_run = matches!(&ending, Ending::Refused(_, e) if e == "not_run");
            Done {
                team,
                second,
                ending,
                refused_body: not_run.then_some(body),
            }
        }
    }
}

fn collect(collector: &mut Collector, refused: &mut Vec<String>, done: Option<Done>) {
    let Some(done) = done else { return };
    collector.add(&done.team, done.second, &done.ending);
    refused.extend(done.refused_body);
}
