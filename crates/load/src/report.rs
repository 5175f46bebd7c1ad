//! Report of a load experiment.

use std::collections::BTreeMap;

use bulrushhoist_standin::LedgerReport;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Outcome, Timing};
use crate::sampler::Downtime;

/// Upper bound of the recorded latencies, in microseconds; longer ones count as
/// this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Results of one team.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TeamReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers in time.
    pub whole: u64,
    /// Time to the first part of a stream, or to the answer of a call.
    pub first: Percentiles,
}

/// Report of a load experiment.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers in time.
    pub whole: u64,
    /// Complete answers in time per second of arrivals.
    pub goodput: f64,
    /// Refusals, by reason and execution state.
    pub refused: BTreeMap<String, u64>,
    /// Answers that ended before they were complete.
    pub partial: u64,
    /// Answers that are not the expected ones, for example because parts are missing.
    pub wrong: u64,
    /// Requests without a complete answer in time.
    pub timed_out: u64,
    /// Requests without an answer because no entry was found, no ticket was issued or
    /// the connection failed.
    pub failed: u64,
    /// Number of times that callers resumed a stream that was then completed.
    pub resumed: u64,
    /// Time to the first part of a stream, or to the answer of a call.
    pub first: Percentiles,
    /// Time between two parts of a stream.
    pub between: Percentiles,
    /// Non-idempotent requests that ran although a caller was told `not_run`.
    pub ran_after_not_run: u64,
    /// Executions of non-idempotent requests, as endpoints counted them.
    pub ledger: Option<LedgerReport>,
    /// Downtime of groups, if an operator address was given.
    pub(crate) downtime: Option<Downtime>,
    /// Results by team.
    pub teams: BTreeMap<String, TeamReport>,
    /// Results by the second in which the requests were sent.
    pub timeline: Vec<Second>,
}

/// Results of the requests sent within one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers to them in time.
    pub whole: u64,
}

/// Collects the outcomes of requests into a report.
pub(crate) struct Collector {
    report: Report,
    first: Histogram<u64>,
    between: Histogram<u64>,
    teams: BTreeMap<String, Histogram<u64>>,
}

impl Collector {
    pub(crate) fn new() -> Self {
        Self {
            report: Report::default(),
            first: histogram(),
            between: histogram(),
            teams: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, team: &str, second: usize, outcome: &Outcome) {
        let report = &mut self.report;
        report.sent += 1;
        if report.timeline.len() <= second {
            report.timeline.resize(second + 1, Second::default());
        }
        report.timeline[second].sent += 1;
        report.teams.entry(team.to_owned()).or_default().sent += 1;
        match outcome {
            Outcome::Complete(timing) => self.add_complete(team, second, timing),
            Outcome::Refused(reason, execution) => {
                *report
                    .refused
                    .entry(format!("{reason} ({execution})"))
                    .or_default() += 1;
            }
            Outcome::Partial => report.partial += 1,
            Outcome::Wrong => report.wrong += 1,
            Outcome::TimedOut => report.timed_out += 1,
            Outcome::Failed => report.failed += 1,
        }
    }

    fn add_complete(&mut self, team: &str, second: usize, timing: &Timing) {
        self.report.whole += 1;
        self.report.timeline[second].whole += 1;
        self.report.resumed += timing.resumes as u64;
        if let Some(team_report) = self.report.teams.get_mut(team) {
            team_report.whole += 1;
        }
        let first = u64::try_from(timing.first.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.first.saturating_record(first);
        let team = self.teams.entry(team.to_owned()).or_insert_with(histogram);
        team.saturating_record(first);
        for gap in &timing.gaps {
            self.between
                .saturating_record(u64::try_from(gap.as_micros()).unwrap_or(MAX_LATENCY_US));
        }
    }

    pub(crate) fn finish(mut self, seconds: f64) -> Report {
        self.report.first = percentiles(&self.first);
        self.report.between = percentiles(&self.between);
        self.report.goodput = self.report.whole as f64 / seconds;
        for (team, histogram) in &self.teams {
            if let Some(team_report) = self.report.teams.get_mut(team) {
                team_report.first = percentiles(histogram);
            }
        }
        self.report
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

impl Report {
    /// Returns whether every answer was correct and complete and no call ran twice or
    /// after its caller was told `not_run`.
    #[must_use]
    pub fn is_correct(&self) -> bool {
        let repeated = self.ledger.as_ref().map_or(0, |l| l.repeated);
        self.wrong == 0 && self.partial == 0 && repeated == 0 && self.ran_after_not_run == 0
    }

    /// Returns the report as lines of text.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![
            format!(
                "{} sent, {} whole in time, {:.1}/s",
                self.sent, self.whole, self.goodput
            ),
            format!(
                "{} wrong, {} partial, {} timed out, {} failed, {} resumed by callers",
                self.wrong, self.partial, self.timed_out, self.failed, self.resumed
            ),
            percentile_line("first part", self.first),
            percentile_line("between parts", self.between),
        ];
        lines.extend(
            self.refused
                .iter()
                .map(|(reason, count)| format!("refused: {count} {reason}")),
        );
        if let Some(ledger) = &self.ledger {
            lines.push(format!(
                "non-idempotent: {} ran, {} more than once, {} after not_run",
                ledger.bodies, ledger.repeated, self.ran_after_not_run
            ));
        }
        if let Some(downtime) = &self.downtime {
            lines.push(format!(
                "groups down: {:.1} group-seconds, {:.1} VM-seconds, {} at worst",
                downtime.group_seconds, downtime.stranded_vm_seconds, downtime.worst
            ));
        }
        for (team, team_report) in &self.teams {
            let line = percentile_line(team, team_report.first);
            lines.push(format!(
                "{line}, {} of {} whole",
                team_report.whole, team_report.sent
            ));
        }
        let timeline: Vec<String> = self
            .timeline
            .iter()
            .map(|s| format!("{}/{}", s.whole, s.sent))
            .collect();
        lines.push(format!("whole/sent by second: {}", timeline.join(" ")));
        lines
    }
}

fn percentile_line(name: &str, percentiles: Percentiles) -> String {
    format!(
        "{name}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
        percentiles.p50_ms, percentiles.p95_ms, percentiles.p99_ms
    )
}
