//! Counters and histograms, exported as Prometheus text.

use std::time::Duration;

use bulrushhoist_fleet::{CallKind, Rejection, StartClass, Subject};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

use crate::dialect::ObjectKind;
use crate::outcome::{CutCause, Refusal, RetryCause};

/// What bytes to other entries and to endpoints are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum ByteCause {
    /// Reports to other entries.
    Report,
    /// Digests to the followers in the data centre.
    Digest,
    /// Summaries to hubs of other data centres.
    Summary,
    /// Answers of the relay to followers in the data centre.
    RelayNearby,
    /// Answers of the relay to followers in other data centres.
    RelayRemote,
    /// Requests to endpoints in other data centres, and their answers.
    RemoteCall,
}

/// The metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    cut_streams: Counter<u64>,
    abandoned: Counter<u64>,
    retries: Counter<u64>,
    starts: Counter<u64>,
    broken_attempts: Counter<u64>,
    foreign_answers: Counter<u64>,
    rejections: Counter<u64>,
    notices: Counter<u64>,
    orders: Counter<u64>,
    probes: Counter<u64>,
    store_calls: Counter<u64>,
    relay_failures: Counter<u64>,
    odd_objects: Counter<u64>,
    bytes: Counter<u64>,
    bad_datagrams: Counter<u64>,
    sends_by_use: Counter<u64>,
    first_part: Histogram<f64>,
    waited: Histogram<f64>,
    quarantined: Gauge<u64>,
    paused: Gauge<u64>,
    body_bytes: Gauge<u64>,
    limited: Gauge<u64>,
    version: Gauge<u64>,
    store_era: Gauge<u64>,
    cut_off: Gauge<u64>,
    old_objects: Counter<u64>,
    forwarded: Counter<u64>,
    copy_age: Gauge<f64>,
    demand: Gauge<f64>,
}

/// Bucket boundaries of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.12, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| prometheus::Error::Msg(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bulrushhoist");
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build()
        };
        Ok(Self {
            answers: counter("bulrushhoist_answers", "Answers by kind of call and status"),
            refusals: counter("bulrushhoist_refusals", "Refusals by reason"),
            cut_streams: counter(
                "bulrushhoist_cut_streams",
                "Streams that had begun and ended incomplete, by cause",
            ),
            abandoned: counter(
                "bulrushhoist_abandoned_requests",
                "Requests whose connection closed before an answer",
            ),
            retries: counter("bulrushhoist_retries", "Retries by cause"),
            starts: counter(
                "bulrushhoist_starts",
                "Streams that were given a leader for the first time, by class",
            ),
            broken_attempts: counter(
                "bulrushhoist_broken_attempts",
                "Attempts whose connection broke after the request was sent, by kind of call and whether the request got a strike",
            ),
            foreign_answers: counter(
                "bulrushhoist_foreign_answers",
                "Answers of endpoints without the id of the request",
            ),
            rejections: counter(
                "bulrushhoist_rejections",
                "Requests that leaders of latency-critical services rejected, by kind",
            ),
            notices: counter(
                "bulrushhoist_notices",
                "Notices of endpoints about themselves, by what they say",
            ),
            orders: counter(
                "bulrushhoist_orders",
                "Orders to endpoints by kind and answer",
            ),
            probes: counter("bulrushhoist_probes", "Probes of endpoints by result"),
            store_calls: counter(
                "bulrushhoist_store_calls",
                "Calls to the store and to relays by purpose and result",
            ),
            relay_failures: counter(
                "bulrushhoist_relay_failures",
                "Fetches from relays that brought nothing, by kind of object and cause",
            ),
            odd_objects: counter(
                "bulrushhoist_odd_objects",
                "Objects of the store that could not be used, by kind",
            ),
            old_objects: counter(
                "bulrushhoist_old_objects",
                "Objects of the store that were not applied because a newer state is known, by kind",
            ),
            forwarded: counter(
                "bulrushhoist_forwarded",
                "Requests sent to other entries while this one had no way to the endpoints, by result",
            ),
            bytes: counter(
                "bulrushhoist_bytes",
                "Bytes to other entries, and to and from endpoints in other data centres, by cause",
            ),
            bad_datagrams: counter(
                "bulrushhoist_bad_datagrams",
                "Datagrams that were not understood",
            ),
            sends_by_use: counter(
                "bulrushhoist_sends_by_use",
                "Sends to leaders of latency-critical services, by the predicted use of the leader's slots",
            ),
            first_part: histogram(
                "bulrushhoist_first_part_seconds",
                "Time from a request's arrival to the first part of its answer",
            ),
            waited: histogram(
                "bulrushhoist_waited_seconds",
                "Time that requests waited for a leader",
            ),
            quarantined: meter
                .u64_gauge("bulrushhoist_quarantined")
                .with_description("Requests and parts of prompts that are refused")
                .build(),
            body_bytes: meter
                .u64_gauge("bulrushhoist_body_bytes")
                .with_description("Bytes of bodies and of events that wait for callers that count against their memory")
                .build(),
            paused: meter
                .u64_gauge("bulrushhoist_paused_endpoints")
                .with_description("Endpoints that asked this entry for a pause")
                .build(),
            limited: meter
                .u64_gauge("bulrushhoist_limited_endpoints")
                .with_description("Endpoints that name a limit, as far as this entry knows")
                .build(),
            version: meter
                .u64_gauge("bulrushhoist_configuration_version")
                .with_description("Version of the configuration in force")
                .build(),
            cut_off: meter
                .u64_gauge("bulrushhoist_cut_off")
                .with_description("1 while this entry has no way to the endpoints")
                .build(),
            store_era: meter
                .u64_gauge("bulrushhoist_store_era")
                .with_description("Era of the store, which rises when it returns from a copy")
                .build(),
            copy_age: meter
                .f64_gauge("bulrushhoist_copy_age_seconds")
                .with_description("Time since the store gave this entry's copy, by kind of object")
                .build(),
            demand: meter
                .f64_gauge("bulrushhoist_demand")
                .with_description("Requests in flight by slots of open groups, smoothed, as the planning entry sees them")
                .build(),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn on_answer(&self, kind: CallKind, status: u16, took: Duration) {
        let kind = KeyValue::new("kind", kind.to_string());
        self.first_part
            .record(took.as_secs_f64(), std::slice::from_ref(&kind));
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[kind, status]);
    }

    pub(crate) fn on_refusal(&self, refusal: Refusal) {
        let reason = KeyValue::new("reason", refusal.to_string());
        self.refusals.add(1, &[reason]);
    }

    pub(crate) fn on_cut_stream(&self, cause: CutCause) {
        let cause = KeyValue::new("cause", cause.to_string());
        self.cut_streams.add(1, &[cause]);
    }

    pub(crate) fn on_abandoned(&self) {
        self.abandoned.add(1, &[]);
    }

    pub(crate) fn on_retry(&self, cause: RetryCause) {
        self.retries
            .add(1, &[KeyValue::new("cause", cause.to_string())]);
    }

    pub(crate) fn on_start(&self, class: StartClass) {
        let class = KeyValue::new("class", class.to_string());
        self.starts.add(1, &[class]);
    }

    pub(crate) fn on_broken_attempt(&self, kind: CallKind, struck: bool) {
        let labels = [
            KeyValue::new("kind", kind.to_string()),
            KeyValue::new("struck", struck),
        ];
        self.broken_attempts.add(1, &labels);
    }

    pub(crate) fn on_foreign_answer(&self) {
        self.foreign_answers.add(1, &[]);
    }

    pub(crate) fn on_rejection(&self, kind: Rejection) {
        let kind = KeyValue::new("kind", kind.to_string());
        self.rejections.add(1, &[kind]);
    }

    pub(crate) fn on_notice(&self, notice: &'static str) {
        self.notices.add(1, &[KeyValue::new("notice", notice)]);
    }

    pub(crate) fn on_order(&self, kind: &'static str, answer: &str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("answer", answer.to_owned()),
        ];
        self.orders.add(1, &labels);
    }

    pub(crate) fn on_probe(&self, answered: bool) {
        self.probes.add(1, &[KeyValue::new("answered", answered)]);
    }

    pub(crate) fn on_store_call(&self, purpose: &'static str, ok: bool) {
        let labels = [KeyValue::new("purpose", purpose), KeyValue::new("ok", ok)];
        self.store_calls.add(1, &labels);
    }

    pub(crate) fn on_relay_failure(&self, kind: ObjectKind, cause: &'static str) {
        let labels = [
            KeyValue::new("kind", kind.to_string()),
            KeyValue::new("cause", cause),
        ];
        self.relay_failures.add(1, &labels);
    }

    pub(crate) fn on_odd_objects(&self, kind: ObjectKind, count: usize) {
        let kind = KeyValue::new("kind", kind.to_string());
        self.odd_objects.add(count as u64, &[kind]);
    }

    pub(crate) fn on_forwarded(&self, result: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn on_old_object(&self, kind: ObjectKind) {
        let kind = KeyValue::new("kind", kind.to_string());
        self.old_objects.add(1, &[kind]);
    }

    pub(crate) fn on_bytes(&self, cause: ByteCause, bytes: usize) {
        let cause = KeyValue::new("cause", cause.to_string());
        self.bytes.add(bytes as u64, &[cause]);
    }

    pub(crate) fn on_bad_datagram(&self) {
        self.bad_datagrams.add(1, &[]);
    }

    pub(crate) fn on_sends(&self, used: &'static str, count: u64) {
        self.sends_by_use.add(count, &[KeyValue::new("use", used)]);
    }

    pub(crate) fn on_wait(&self, waited: Duration) {
        self.waited.record(waited.as_secs_f64(), &[]);
    }

    pub(crate) fn set_quarantined(&self, subject: Subject, count: usize) {
        let subject = KeyValue::new("subject", subject.to_string());
        self.quarantined.record(count as u64, &[subject]);
    }

    pub(crate) fn set_body_bytes(&self, bytes: usize) {
        self.body_bytes.record(bytes as u64, &[]);
    }

    pub(crate) fn set_paused(&self, count: usize) {
        self.paused.record(count as u64, &[]);
    }

    pub(crate) fn set_limited(&self, count: usize) {
        self.limited.record(count as u64, &[]);
    }

    pub(crate) fn set_version(&self, version: u64) {
        self.version.record(version, &[]);
    }

    pub(crate) fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.record(cut_off.into(), &[]);
    }

    pub(crate) fn set_store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    pub(crate) fn set_copy_age(&self, kind: ObjectKind, age: Duration) {
        let kind = KeyValue::new("kind", kind.to_string());
        self.copy_age.record(age.as_secs_f64(), &[kind]);
    }

    pub(crate) fn set_demand(&self, service: &str, model: &str, fraction: f64) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("model", model.to_owned()),
        ];
        self.demand.record(fraction, &labels);
    }

    /// Returns every metric in the Prometheus text format.
    pub(crate) fn export(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
