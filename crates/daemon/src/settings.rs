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
    pub max_body_bytes: usize,
    /// Longest gap between two pieces of a request body.
    pub max_body_gap: Duration,
    /// Longest time without any traffic on a connection.
    pub idle_timeout: Duration,
    /// Open connections.
    pub max_connections: usize,
    /// Requests in progress.
    pub max_requests: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_body_gap: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(120),
            max_connections: 10_000,
            max_requests: 10_000,
        }
    }
}

/// Periods and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two probes of an endpoint.
    pub probe_interval: Duration,
    /// Time for which a report counts, from the sending of its probe.
    pub evidence_ttl: Duration,
    /// Time between two probes of other daemons.
    pub gossip_interval: Duration,
    /// Age up to which a proof of a current configuration counts.
    pub freshness_ttl: Duration,
    /// Time for which callers may keep an entries answer.
    pub max_age: Duration,
    /// Time that a stop may take.
    pub drain_timeout: Duration,
    /// Time that one call to the platform may take.
    pub platform_timeout: Duration,
    /// Silence after which a dead daemon is removed from the register.
    pub removal_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            evidence_ttl: Duration::from_secs(2),
            gossip_interval: Duration::from_millis(300),
            freshness_ttl: Duration::from_secs(3),
            max_age: Duration::from_secs(3),
            drain_timeout: Duration::from_secs(60),
            platform_timeout: Duration::from_secs(1),
            removal_timeout: Duration::from_secs(180),
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
    pub platform_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Secrets.
    pub security: Security,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Periods and timeouts.
    pub timing: Timing,
    /// Daemons that watch the platform; the others learn from them.
    pub watcher_count: usize,
    /// Daemons whose majority proves a configuration current.
    pub committee_size: usize,
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
    let platform_address = root.required("platform");
    let addresses = match root.table("listen") {
        Some(mut listen) => {
            let caller_address = listen.required("caller");
            let peer_address = listen.required("peer");
            let operator_address = listen.required("operator");
            listen.finish();
            caller_address.zip(peer_address).zip(operator_address)
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
    let watcher_count = count(root.integer_or("watchers", 1..=1_000, 7));
    let committee_size = count(root.integer_or("committee", 1..=101, 7));
    let log = read_log(&mut root);
    root.finish();
    let ((caller_address, peer_address), operator_address) = addresses?;
    Some(Settings {
        data_centre: data_centre?,
        platform_address: platform_address?,
        caller_address,
        peer_address,
        operator_address,
        security: security?,
        limits,
        timing,
        watcher_count,
        committee_size,
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
    let max_body_bytes = size("body-max-bytes", 64 << 20, defaults.max_body_bytes);
    let max_connections = size("connections", 1_000_000, defaults.max_connections);
    let max_requests = size("requests", 1_000_000, defaults.max_requests);
    let max_body_gap = millis(&mut table, "body-gap-ms", defaults.max_body_gap);
    let idle_timeout = millis(&mut table, "idle-ms", defaults.idle_timeout);
    table.finish();
    CallerLimits {
        max_body_bytes,
        max_body_gap,
        idle_timeout,
        max_connections,
        max_requests,
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
        probe_interval: millis(&mut table, "probe-ms", defaults.probe_interval),
        evidence_ttl: millis(&mut table, "evidence-ms", defaults.evidence_ttl),
        gossip_interval: millis(&mut table, "gossip-ms", defaults.gossip_interval),
        freshness_ttl: millis(&mut table, "freshness-ms", defaults.freshness_ttl),
        max_age: millis(&mut table, "max-age-ms", defaults.max_age),
        drain_timeout: millis(&mut table, "drain-ms", defaults.drain_timeout),
        platform_timeout: millis(&mut table, "platform-ms", defaults.platform_timeout),
        removal_timeout: millis(&mut table, "removal-ms", defaults.removal_timeout),
    };
    if timing.probe_interval >= timing.evidence_ttl {
        table.key_problem("probe-ms", "must be less than evidence-ms");
    }
    if timing.gossip_interval >= timing.freshness_ttl {
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
