//! The configuration in force: routes, services, teams and limits of callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::Name;

/// What may be repeated of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum CallKind {
    /// Idempotent: it may run more than once.
    Safe,
    /// It may run at most once for each attempt of a caller.
    Unsafe,
    /// The answer is a stream of events.
    Stream,
}

/// A service to which a route sends part of its calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Share of the calls, relative to the route's other targets.
    pub weight: u32,
}

/// Where the calls of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Start of the paths; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub objective: Duration,
    /// Longest pause between events with which a stream is still on time.
    pub gap_objective: Duration,
    /// Rank of the calls; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the calls.
    pub targets: SmallVec<[Target; 2]>,
    /// Endpoints to which one attempt of a caller may be sent.
    pub max_attempts: u8,
    /// Whether calls need no key.
    pub public: bool,
    /// Whether a stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Regions in which the calls may run; empty if any may run them.
    pub regions: SmallVec<[Name; 2]>,
}

impl Route {
    /// Returns whether the call may run again after it may have run.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            CallKind::Safe => true,
            CallKind::Unsafe => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Returns the service for a draw between 0 and 1.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw.clamp(0.0, 1.0) * f64::from(total);
        for target in self.targets.iter().filter(|t| t.weight > 0) {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        let last = self.targets.iter().rev().find(|t| t.weight > 0);
        last.map(|t| &t.service)
    }
}

/// A model that endpoints of a service can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// VMs that one replica needs.
    pub group_size: usize,
    /// Factor on all times of the engine.
    pub time_factor: f64,
    /// Share of the work that is expected at the start.
    pub share: f64,
    /// Time to load the weights from the shared store.
    pub load_time: Duration,
    /// Time to load the weights from the VM's own host.
    pub warm_load_time: Duration,
}

/// Published figures of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub kv_cache_tokens: u64,
    /// Steps of one pass while requests are writing.
    pub stride: u32,
    /// Time of a token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each writing request adds to a step, in milliseconds.
    pub per_seq_ms: f64,
    /// Prompt tokens that are read per second.
    pub prefill_per_s: f64,
    /// Prompt tokens that one step reads at most.
    pub prefill_chunk: u32,
    /// Milliseconds per million pairs of a prompt token and an earlier one.
    pub attention_ms: f64,
    /// Tokens of a usual prompt.
    pub typical_prompt: f64,
    /// Age of the figures in a report.
    pub report_lag: Duration,
    /// Loads from the shared store that may start per second.
    pub loads_per_s: f64,
    /// Loads from the shared store that run at once without slowing each other.
    pub max_concurrent_loads: usize,
    /// Staged models that a host keeps.
    pub max_staged: usize,
    /// Factor on all times of a group whose members are in several domains.
    pub cross_domain_factor: f64,
    /// Time that a head takes from an order to open until it serves.
    pub open_time: Duration,
    /// The models.
    pub models: Vec<Model>,
}

/// A service that routes name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that an endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Requests per second that a cold endpoint carries; 0 if none is ever cold.
    pub cold_per_s: f64,
    /// Figures of the engines, if the service runs models.
    pub engine: Option<Engine>,
}

/// The unit of shares and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Rank of its calls, which goes before the route's.
    pub priority: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time in which a request's head must have arrived.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Why the configuration in force doesn't allow a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Denial {
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or no team holds it.
    UnknownKey,
}

/// One accepted configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version that the operators gave it.
    pub version: u64,
    routes: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    keys: HashMap<String, Team>,
    has_teams: bool,
    limits: Option<CallerLimits>,
}

impl Catalog {
    /// An index of one configuration. `teams` is `None` where callers need no keys.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<(Team, Vec<String>)>>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let has_teams = teams.is_some();
        let with_keys = teams.into_iter().flatten();
        let keys = with_keys
            .flat_map(|(team, keys)| keys.into_iter().map(move |key| (key, team.clone())))
            .collect();
        Self {
            version,
            routes: by_host,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            keys,
            has_teams,
            limits: Some(limits),
        }
    }

    /// Returns the limits of callers, once a configuration is known.
    #[must_use]
    pub const fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// Returns the route with the longest prefix of the path.
    ///
    /// # Errors
    ///
    /// [`Denial::NoRoute`] if there is none.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Denial> {
        let routes = self.routes.get(host).ok_or(Denial::NoRoute)?;
        let mut matching = routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.next().ok_or(Denial::NoRoute)
    }

    /// Returns the team that a key belongs to; `None` where none is needed.
    ///
    /// # Errors
    ///
    /// [`Denial::UnknownKey`] if the route needs a key and this is none.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Team>, Denial> {
        if !self.has_teams || route.public {
            return Ok(None);
        }
        let team = key.and_then(|k| self.keys.get(k));
        team.map(Some).ok_or(Denial::UnknownKey)
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
