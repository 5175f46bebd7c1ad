//! Settings of the daemon, read from one TOML file and checked once.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{DataCentreName, Problem, Problems, TableReader, parse_document};

use crate::logging::{LogFormat, LogLevel, LogSettings};

/// Longest duration that a setting may have, in milliseconds.
const DURATION_MAX_MS: u64 = 3_600_000;
/// Shortest shared secret, in bytes.
const SECRET_MIN_BYTES: usize = 16;

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest gap between two pieces of a request body.
    pub body_gap: Duration,
    /// Longest time without any traffic on a connection.
    pub idle: Duration,
    /// Open connections.
    pub connections: usize,
    /// Requests in progress.
    pub requests: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            body_gap: Duration::from_secs(5),
            idle: Duration::from_secs(120),
            connections: 10_000,
            requests: 10_000,
        }
    }
}

/// Periods and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two probes of an endpoint.
    pub probe: Duration,
    /// Time for which a report counts, from the sending of its probe.
    pub evidence: Duration,
    /// Time between two probes of other daemons.
    pub gossip: Duration,
    /// Age up to which a proof of a current configuration counts.
    pub freshness: Duration,
    /// Time for which callers may keep an entries answer.
    pub max_age: Duration,
    /// Time that a stop may take.
    pub drain: Duration,
    /// Time that one call to the platform may take.
    pub platform: Duration,
    /// Silence after which a dead daemon is removed from the register.
    pub removal: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe: Duration::from_millis(500),
            evidence: Duration::from_secs(2),
            gossip: Duration::from_millis(300),
            freshness: Duration::from_secs(3),
            max_age: Duration::from_secs(3),
            drain: Duration::from_secs(60),
            platform: Duration::from_secs(1),
            removal: Duration::from_secs(180),
        }
    }
}

/// Secrets that other processes must know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Security {
    /// Key that daemons show each other; `None` accepts every peer.
    pub peer_key: Option<String>,
    /// Token that operators show; `None` accepts everyone.
    pub operator_token: Option<String>,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Data centre of this entry VM.
    pub data_centre: DataCentreName,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Secrets.
    pub security: Security,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Periods and timeouts.
    pub timing: Timing,
    /// Daemons that watch the platform; the others learn from them.
    pub watchers: usize,
    /// Daemons whose majority proves a configuration current.
    pub committee: usize,
    /// Logs.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let settings = parse_document(file, text, &mut problems, read_settings);
        match settings {
            Some(settings) if problems.0.is_empty() => Ok(settings),
            _ if problems.0.is_empty() => Err(Problems(vec![Problem {
                file: file.to_owned(),
                line: 1,
                key: String::new(),
                message: "the settings are incomplete".into(),
            }])),
            _ => Err(problems),
        }
    }
}

fn read_settings(mut root: TableReader<'_>) -> Option<Settings> {
    let data_centre = root.required("data-centre");
    let platform = root.required("platform");
    let addresses = match root.table("listen") {
        Some(mut listen) => {
            let caller = listen.required("caller");
            let peer = listen.required("peer");
            let operator = listen.required("operator");
            listen.finish();
            caller.zip(peer).zip(operator)
        }
        None => {
            root.key_problem(
                "listen",
                "missing; a table with caller, peer and operator is required",
            );
            None
        }
    };
    let security = read_security(&mut root);
    let limits = read_limits(&mut root);
    let timing = read_timing(&mut root);
    let watchers = count(root.integer_or("watchers", 1..=1_000, 7));
    let committee = count(root.integer_or("committee", 1..=101, 7));
    let log = read_log(&mut root);
    root.finish();
    let ((caller, peer), operator) = addresses?;
    Some(Settings {
        data_centre: data_centre?,
        platform: platform?,
        caller,
        peer,
        operator,
        security: security?,
        limits,
        timing,
        watchers,
        committee,
        log,
    })
}

fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Reads the secrets. Going without them takes an explicit `insecure = true`.
fn read_security(root: &mut TableReader<'_>) -> Option<Security> {
    let Some(mut table) = root.table("security") else {
        root.key_problem(
            "security",
            "missing; peer-key and operator-token are required, or `insecure = true`",
        );
        return None;
    };
    let insecure = table.optional_boolean("insecure").unwrap_or(false);
    let peer_key = secret(&mut table, "peer-key", insecure);
    let operator_token = secret(&mut table, "operator-token", insecure);
    table.finish();
    Some(Security {
        peer_key,
        operator_token,
    })
}

fn secret(table: &mut TableReader<'_>, key: &'static str, insecure: bool) -> Option<String> {
    let found: Option<String> = table.optional(key);
    let long_enough = found.as_ref().is_some_and(|s| s.len() >= SECRET_MIN_BYTES);
    if found.is_some() && insecure {
        table.key_problem(key, "not allowed together with `insecure = true`");
    } else if !long_enough && !insecure {
        let message = format!("at least {SECRET_MIN_BYTES} bytes are required");
        table.key_problem(key, message);
    }
    found
}

fn read_limits(root: &mut TableReader<'_>) -> CallerLimits {
    let defaults = CallerLimits::default();
    let Some(mut table) = root.table("limits") else {
        return defaults;
    };
    let mut size =
        |key, most, default: usize| count(table.integer_or(key, 1..=most, default as u64));
    let body_bytes = size("body-max-bytes", 64 << 20, defaults.body_bytes);
    let connections = size("connections", 1_000_000, defaults.connections);
    let requests = size("requests", 1_000_000, defaults.requests);
    let body_gap = millis(&mut table, "body-gap-ms", defaults.body_gap);
    let idle = millis(&mut table, "idle-ms", defaults.idle);
    table.finish();
    CallerLimits {
        body_bytes,
        body_gap,
        idle,
        connections,
        requests,
    }
}

fn millis(table: &mut TableReader<'_>, key: &'static str, default: Duration) -> Duration {
    let default = u64::try_from(default.as_millis()).unwrap_or(DURATION_MAX_MS);
    Duration::from_millis(table.integer_or(key, 1..=DURATION_MAX_MS, default))
}

fn read_timing(root: &mut TableReader<'_>) -> Timing {
    let defaults = Timing::default();
    let Some(mut table) = root.table("timing") else {
        return defaults;
    };
    let timing = Timing {
        probe: millis(&mut table, "probe-ms", defaults.probe),
        evidence: millis(&mut table, "evidence-ms", defaults.evidence),
        gossip: millis(&mut table, "gossip-ms", defaults.gossip),
        freshness: millis(&mut table, "freshness-ms", defaults.freshness),
        max_age: millis(&mut table, "max-age-ms", defaults.max_age),
        drain: millis(&mut table, "drain-ms", defaults.drain),
        platform: millis(&mut table, "platform-ms", defaults.platform),
        removal: millis(&mut table, "removal-ms", defaults.removal),
    };
    if timing.probe >= timing.evidence {
        table.key_problem("probe-ms", "must be less than evidence-ms");
    }
    if timing.gossip >= timing.freshness {
        table.key_problem("gossip-ms", "must be less than freshness-ms");
    }
    table.finish();
    timing
}

fn read_log(root: &mut TableReader<'_>) -> LogSettings {
    let Some(mut table) = root.table("log") else {
        return LogSettings::default();
    };
    let format = table.choice("format", &LogFormat::ALL).unwrap_or_default();
    let level = table.choice("level", &LogLevel::ALL).unwrap_or_default();
    table.finish();
    LogSettings { format, level }
}
