//! Settings of the daemon, read from a TOML file and checked at the start.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{DataCentreName, Problem, Problems, TableReader, parse_document};

use crate::logging::{LogFormat, LogLevel, LogSettings};

/// Maximum value of a duration in the settings, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Minimum length of a shared secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time between two pieces of a request body.
    pub max_body_gap: Duration,
    /// Time without traffic after which a connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of open connections per listener.
    pub max_connections: usize,
    /// Maximum number of requests in progress.
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

/// Intervals, timeouts and lifetimes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two probes of an endpoint.
    pub probe_interval: Duration,
    /// Time for which an endpoint's report is evidence, counted from the sending of
    /// its probe.
    pub evidence_ttl: Duration,
    /// Interval between two probes of other daemons.
    pub gossip_interval: Duration,
    /// Age up to which a proof of a current configuration is valid.
    pub freshness_ttl: Duration,
    /// Time for which callers may cache an answer to `GET /v1/entries`.
    pub max_age: Duration,
    /// Maximum time that a planned stop waits for requests in progress.
    pub drain_timeout: Duration,
    /// Timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Time for which a daemon must be dead before it is removed from the register.
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

/// Secrets shared with other daemons and with operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Security {
    /// Key by which daemons authenticate to each other; `None` accepts every peer.
    pub peer_key: Option<String>,
    /// Bearer token of operators; `None` accepts everyone.
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
    /// Shared secrets.
    pub security: Security,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Intervals, timeouts and lifetimes.
    pub timing: Timing,
    /// Number of daemons that watch the platform; the others receive changes by gossip.
    pub watcher_count: usize,
    /// Number of daemons whose majority proves that a configuration is current.
    pub committee_size: usize,
    /// Settings of the log.
    pub log: LogSettings,
}

impl Settings {
    /// Parses and checks a settings file; `file` is its name in problems.
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
    let watcher_count = to_usize(root.integer_or("watchers", 1..=1_000, 7));
    let committee_size = to_usize(root.integer_or("committee", 1..=101, 7));
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

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Reads the secrets, which are required unless `insecure = true` is set.
fn read_security(root: &mut TableReader<'_>) -> Option<Security> {
    let Some(mut table) = root.table("security") else {
        root.key_problem(
            "security",
            "missing; peer-key and operator-token are required, or `insecure = true`",
        );
        return None;
    };
    let insecure = table.optional_boolean("insecure").unwrap_or(false);
    let peer_key = read_secret(&mut table, "peer-key", insecure);
    let operator_token = read_secret(&mut table, "operator-token", insecure);
    table.finish();
    Some(Security {
        peer_key,
        operator_token,
    })
}

fn read_secret(table: &mut TableReader<'_>, key: &'static str, insecure: bool) -> Option<String> {
    let found: Option<String> = table.optional(key);
    let long_enough = found.as_ref().is_some_and(|s| s.len() >= MIN_SECRET_BYTES);
    if found.is_some() && insecure {
        table.key_problem(key, "not allowed together with `insecure = true`");
    } else if !long_enough && !insecure {
        let message = format!("at least {MIN_SECRET_BYTES} bytes are required");
        table.key_problem(key, message);
    }
    found
}

fn read_limits(root: &mut TableReader<'_>) -> CallerLimits {
    let defaults = CallerLimits::default();
    let Some(mut table) = root.table("limits") else {
        return defaults;
    };
    let mut limit =
        |key, max, default: usize| to_usize(table.integer_or(key, 1..=max, default as u64));
    let max_body_bytes = limit("body-max-bytes", 64 << 20, defaults.max_body_bytes);
    let max_connections = limit("connections", 1_000_000, defaults.max_connections);
    let max_requests = limit("requests", 1_000_000, defaults.max_requests);
    let max_body_gap = read_millis(&mut table, "body-gap-ms", defaults.max_body_gap);
    let idle_timeout = read_millis(&mut table, "idle-ms", defaults.idle_timeout);
    table.finish();
    CallerLimits {
        max_body_bytes,
        max_body_gap,
        idle_timeout,
        max_connections,
        max_requests,
    }
}

fn read_millis(table: &mut TableReader<'_>, key: &'static str, default: Duration) -> Duration {
    let default = u64::try_from(default.as_millis()).unwrap_or(MAX_DURATION_MS);
    Duration::from_millis(table.integer_or(key, 1..=MAX_DURATION_MS, default))
}

fn read_timing(root: &mut TableReader<'_>) -> Timing {
    let defaults = Timing::default();
    let Some(mut table) = root.table("timing") else {
        return defaults;
    };
    let timing = Timing {
        probe_interval: read_millis(&mut table, "probe-ms", defaults.probe_interval),
        evidence_ttl: read_millis(&mut table, "evidence-ms", defaults.evidence_ttl),
        gossip_interval: read_millis(&mut table, "gossip-ms", defaults.gossip_interval),
        freshness_ttl: read_millis(&mut table, "freshness-ms", defaults.freshness_ttl),
        max_age: read_millis(&mut table, "max-age-ms", defaults.max_age),
        drain_timeout: read_millis(&mut table, "drain-ms", defaults.drain_timeout),
        platform_timeout: read_millis(&mut table, "platform-ms", defaults.platform_timeout),
        removal_timeout: read_millis(&mut table, "removal-ms", defaults.removal_timeout),
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
