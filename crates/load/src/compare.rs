//! Comparison of calls through an entry with direct calls to an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{VmPhase, VmRecord, VmStatus};
use hdrhistogram::Histogram;
use reqwest::{Client, RequestBuilder};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Number of calls of each kind at the start that are not recorded.
const WARM_UP_CALLS: usize = 200;
/// Upper bound of the recorded latencies, in microseconds; longer ones count as
/// this.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct CompareOptions {
    /// Entry through which the calls are made.
    pub entry: SocketAddr,
    /// Control address of the endpoint stand-ins, to find the service's endpoint.
    pub control: SocketAddr,
    /// Service to call.
    pub service: String,
    /// Path of an idempotent call of the service.
    pub path: String,
    /// Token of a team.
    pub token: String,
    /// Number of latency samples of each kind.
    pub calls: usize,
    /// Number of concurrent calls of the throughput measurement.
    pub concurrency: usize,
    /// Duration of the throughput measurement.
    pub duration: Duration,
}

/// Percentiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
}

/// Result of a comparison.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    /// Latency of direct calls.
    pub direct: Latency,
    /// Latency of calls through the entry.
    pub via_entry: Latency,
    /// Throughput through the entry, in calls per second.
    pub calls_per_s: f64,
}

/// Alternates direct calls with calls through the entry to measure their latency,
/// then measures the throughput of the entry.
pub async fn compare(options: &CompareOptions) -> Result<Comparison, reqwest::Error> {
    let direct = Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .tcp_nodelay(true)
        .build()?;
    let via_entry = direct.clone();
    let endpoint = find_endpoint(options).await?;
    let (mut via_entry_histogram, mut direct_histogram) = (histogram(), histogram());
    for number in 0..options.calls + WARM_UP_CALLS {
        let url = format!("http://{endpoint}/v1/call{}", options.path);
        let call = direct
            .get(url)
            .header("x-request-id", format!("{number:032x}"));
        let direct_us = time_call(call).await?;
        let via_entry_us = time_call(entry_call(&via_entry, options)).await?;
        if number >= WARM_UP_CALLS {
            direct_histogram.saturating_record(direct_us);
            via_entry_histogram.saturating_record(via_entry_us);
        }
    }
    let calls_per_s = throughput(options).await?;
    Ok(Comparison {
        direct: latency(&direct_histogram),
        via_entry: latency(&via_entry_histogram),
        calls_per_s,
    })
}

fn entry_call(client: &Client, options: &CompareOptions) -> RequestBuilder {
    let (entry, service, path) = (options.entry, &options.service, &options.path);
    let url = format!("http://{entry}/v1/services/{service}{path}");
    client.get(url).bearer_auth(&options.token)
}

/// Makes a call and returns its duration in microseconds.
async fn time_call(call: RequestBuilder) -> Result<u64, reqwest::Error> {
    let start = Instant::now();
    call.send().await?.error_for_status()?.bytes().await?;
    Ok(u64::try_from(start.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US))
}

async fn throughput(options: &CompareOptions) -> Result<f64, reqwest::Error> {
    let deadline = Instant::now() + options.duration;
    let mut callers = JoinSet::new();
    for _ in 0..options.concurrency {
        let options = options.clone();
        callers.spawn(async move {
            let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
            let mut answered = 0_u64;
            while Instant::now() < deadline {
                let sent = entry_call(&client, &options).send().await?;
                answered += u64::from(sent.status().is_success());
                sent.bytes().await?;
            }
            Ok::<u64, reqwest::Error>(answered)
        });
    }
    let mut answered = 0;
    while let Some(done) = callers.join_next().await {
        answered += done.unwrap_or(Ok(0))?;
    }
    Ok(answered as f64 / options.duration.as_secs_f64())
}

/// Returns the address of an endpoint that serves the service.
///
/// Without such an endpoint it returns the control address, so that the first
/// call fails.
async fn find_endpoint(options: &CompareOptions) -> Result<SocketAddr, reqwest::Error> {
    let base = format!("http://{}/v1", options.control);
    let statuses: Vec<VmStatus> = reqwest::get(format!("{base}/statuses"))
        .await?
        .json()
        .await?;
    let records: Vec<VmRecord> = reqwest::get(format!("{base}/vms")).await?.json().await?;
    let serves = |s: &&VmStatus| {
        let workload = s
            .workload
            .as_ref()
            .map(bulrushhoist_core::WorkloadName::as_str);
        s.phase == VmPhase::Ready && workload == Some(&options.service)
    };
    let found = statuses.iter().find(serves).map(|s| &s.vm);
    let record = records.iter().find(|r| Some(&r.vm) == found);
    Ok(record.map_or(options.control, |r| r.address))
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

fn latency(histogram: &Histogram<u64>) -> Latency {
    let at = |quantile| histogram.value_at_quantile(quantile);
    Latency {
        p50_us: at(0.5),
        p95_us: at(0.95),
    }
}
