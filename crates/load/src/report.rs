//! What an experiment found.

use std::collections::BTreeMap;

use bulrushhoist_standin::LedgerReport;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Ending, Timing};
use crate::sampler::Downtime;

/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Percentiles {
    /// Half are at most this.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
}

/// Counts of one team.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TeamReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers in time.
    pub whole: u64,
    /// Time to the first part or the answer.
    pub first: Percentiles,
}

/// What an experiment found.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Whole and right answers in time.
    pub whole: u64,
    /// Whole answers per second of arrivals.
    pub goodput: f64,
    /// Refusals by reason and execution.
    pub refused: BTreeMap<String, u64>,
    /// Answers that were cut off.
    pub partial: u64,
    /// Answers of another request.
    pub wrong: u64,
    /// Requests without a whole answer in time.
    pub timed_out: u64,
    /// Requests whose connections failed.
    pub failed: u64,
    /// Streams that callers resumed at another entry.
    pub resumed: u64,
    /// Time to the first part.
    pub first: Percentiles,
    /// Time between parts.
    pub between: Percentiles,
    /// Non-idempotent requests that ran although a caller was told `not_run`.
    pub ran_after_not_run: u64,
    /// Executions of non-idempotent requests, as endpoints counted them.
    pub ledger: Option<LedgerReport>,
    /// Downtime of groups.
    pub(crate) downtime: Option<Downtime>,
    /// Per team.
    pub teams: BTreeMap<String, TeamReport>,
    /// Whole answers by the second in which their request was sent.
    pub timeline: Vec<Second>,
}

/// Requests sent within one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers to them in time.
    pub whole: u64,
}

/// Collects endings.
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

    pub(crate) fn add(&mut self, team: &str, second: usize, ending: &Ending) {
        let report = &mut self.report;
        report.sent += 1;
        if report.timeline.len() <= second {
            report.timeline.resize(second + 1, Second::default());
        }
        report.timeline[second].sent += 1;
        report.teams.entry(team.to_owned()).or_default().sent += 1;
        match ending {
            Ending::Whole(timing) => self.add_whole(team, second, timing),
            Ending::Refused(reason, execution) => {
                *report
                    .refused
                    .entry(format!("{reason} ({execution})"))
                    .or_default() += 1;
            }
            Ending::Partial => report.partial += 1,
            Ending::Wrong => report.wrong += 1,
            Ending::TimedOut => report.timed_out += 1,
            Ending::Failed => report.failed += 1,
        }
    }

    fn add_whole(&mut self, team: &str, second: usize, timing: &Timing) {
        self.report.whole += 1;
        self.report.timeline[second].whole += 1;
        self.report.resumed += timing.resumed as u64;
        if let Some(found) = self.report.teams.get_mut(team) {
            found.whole += 1;
        }
        let first = u64::try_from(timing.first.as_micros()).unwrap_or(LONGEST_US);
        self.first.saturating_record(first);
        let team = self.teams.entry(team.to_owned()).or_insert_with(histogram);
        team.saturating_record(first);
        for gap in &timing.gaps {
            self.between
                .saturating_record(u64::try_from(gap.as_micros()).unwrap_or(LONGEST_US));
        }
    }

    pub(crate) fn finish(mut self, seconds: f64) -> Report {
        self.report.first = percentiles(&self.first);
        self.report.between = percentiles(&self.between);
        self.report.goodput = self.report.whole as f64 / seconds;
        for (team, histogram) in &self.teams {
            if let Some(found) = self.report.teams.get_mut(team) {
                found.first = percentiles(histogram);
            }
        }
        self.report
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are in order")
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
    /// Returns whether every answer was right and nothing ran twice.
    #[must_use]
    pub fn is_right(&self) -> bool {
        let repeated = self.ledger.as_ref().map_or(0, |l| l.repeated);
        self.wrong == 0 && self.partial == 0 && repeated == 0 && self.ran_after_not_run == 0
    }

    /// Returns the report as lines for a person.
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
        for (team, found) in &self.teams {
            let line = percentile_line(team, found.first);
            lines.push(format!("{line}, {} of {} whole", found.whole, found.sent));
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

fn percentile_line(name: &str, found: Percentiles) -> String {
    format!(
        "{name}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
        found.p50_ms, found.p95_ms, found.p99_ms
    )
}
