//! Counters and gauges, exported as Prometheus text.

use bulrushhoist_core::{Execution, Reason, Refusal, RetryReason};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

/// Purpose of a call to the platform, a label of its metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum PlatformCall {
    Watch,
    List,
    Read,
    Write,
    VmList,
}

/// The daemon's metrics.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    platform: Counter<u64>,
    peer_bytes: Counter<u64>,
    probes: Counter<u64>,
    orders: Counter<u64>,
    first_token: Histogram<f64>,
    busy: Gauge<u64>,
    queued: Gauge<u64>,
    generation: Gauge<u64>,
    fresh: Gauge<u64>,
    serving: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| prometheus::Error::Msg(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bulrushhoist");
        let counter = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        let gauge = |name: &'static str, about: &'static str| {
            meter.u64_gauge(name).with_description(about).build()
        };
        let metrics = Self {
            requests: counter(
                "bulrushhoist_requests",
                "Requests that were answered completely",
            ),
            refusals: counter("bulrushhoist_refusals", "Refusals by reason and execution"),
            retries: counter("bulrushhoist_retries", "Retries by reason"),
            platform: counter(
                "bulrushhoist_platform_calls",
                "Calls to the platform by purpose",
            ),
            peer_bytes: counter(
                "bulrushhoist_peer_bytes",
                "Bytes of messages to other daemons",
            ),
            probes: counter("bulrushhoist_probes", "Probes of endpoints by result"),
            orders: counter("bulrushhoist_orders", "Orders to endpoints by result"),
            first_token: meter
                .f64_histogram("bulrushhoist_first_token_seconds")
                .with_description(
                    "Time from acceptance to the first token, or to the answer of a call",
                )
                .with_boundaries(vec![0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.3, 2.0, 5.0])
                .build(),
            busy: gauge("bulrushhoist_busy", "Requests that run or are queued"),
            queued: gauge("bulrushhoist_queued", "Requests that wait for a replica"),
            generation: gauge(
                "bulrushhoist_generation",
                "Generation of the configuration in force",
            ),
            fresh: gauge(
                "bulrushhoist_fresh",
                "1 while the configuration is known to be current",
            ),
            serving: gauge(
                "bulrushhoist_serving_replicas",
                "Replicas with fresh evidence",
            ),
            registry,
            _provider: provider,
        };
        metrics.initialise_counters();
        Ok(metrics)
    }

    /// Exports every labelled refusal and retry counter from the start, at 0.
    fn initialise_counters(&self) {
        for reason in Reason::ALL {
            for execution in [Execution::NotRun, Execution::Unknown] {
                self.count_refusal(Refusal { reason, execution }, 0);
            }
        }
        for reason in RetryReason::ALL {
            self.retries
                .add(0, &[KeyValue::new("reason", reason.to_string())]);
        }
    }

    fn count_refusal(&self, refusal: Refusal, count: u64) {
        let labels = [
            KeyValue::new("reason", refusal.reason.to_string()),
            KeyValue::new("execution", refusal.execution.to_string()),
        ];
        self.refusals.add(count, &labels);
    }

    pub(crate) fn on_refusal(&self, refusal: Refusal) {
        self.count_refusal(refusal, 1);
    }

    /// Counts a complete answer and records, in seconds, its time to the first token, or
    /// to the answer of a call.
    pub(crate) fn on_answer(&self, kind: &'static str, first_token_s: f64) {
        let labels = [KeyValue::new("kind", kind)];
        self.requests.add(1, &labels);
        self.first_token.record(first_token_s, &labels);
    }

    pub(crate) fn on_retry(&self, reason: RetryReason) {
        self.retries
            .add(1, &[KeyValue::new("reason", reason.to_string())]);
    }

    pub(crate) fn on_platform_call(&self, call: PlatformCall) {
        self.platform
            .add(1, &[KeyValue::new("call", call.to_string())]);
    }

    pub(crate) fn on_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    pub(crate) fn on_probe(&self, answered: bool) {
        self.probes.add(1, &[KeyValue::new("answered", answered)]);
    }

    pub(crate) fn on_order(&self, accepted: bool) {
        self.orders.add(1, &[KeyValue::new("accepted", accepted)]);
    }

    pub(crate) fn set_load(&self, busy: usize, queued: usize) {
        self.busy.record(busy as u64, &[]);
        self.queued.record(queued as u64, &[]);
    }

    pub(crate) fn set_generation(&self, generation: u64) {
        self.generation.record(generation, &[]);
    }

    pub(crate) fn set_fresh(&self, fresh: bool) {
        self.fresh.record(u64::from(fresh), &[]);
    }

    pub(crate) fn set_serving(&self, replicas: usize) {
        self.serving.record(replicas as u64, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn export(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
