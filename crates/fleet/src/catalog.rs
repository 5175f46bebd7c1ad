//! The configuration in force: routes, services, teams and limits on callers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::Name;
use crate::latency;

/// Whether a route's calls may be repeated, and whether they are answered by a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum CallKind {
    /// The call is idempotent: it may run more than once.
    Safe,
    /// The call may run at most once for each attempt of a caller.
    Unsafe,
    /// The answer is a stream of events. [`Route::resumable`] says whether the call may be
    /// repeated.
    Stream,
}

/// A service that gets part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Share of the calls, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// Defines which services get the calls to one host and path prefix, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host name in the callers' requests.
    pub host: Name,
    /// Prefix of the paths. It begins and ends with a slash.
    pub prefix: String,
    /// Whether the calls may be repeated, and whether they are answered by a stream.
    pub kind: CallKind,
    /// Maximum time that a caller waits for its answer.
    pub timeout: Duration,
    /// Maximum time to an answer, or to a stream's first event, that counts as on time.
    pub objective: Duration,
    /// Maximum gap between two events of a stream that counts as on time.
    pub gap_objective: Duration,
    /// Priority of the calls; 0 is the most urgent.
    pub priority: u8,
    /// Services that get the calls.
    pub targets: SmallVec<[Target; 2]>,
    /// Maximum number of endpoints to which one attempt of a caller is sent.
    pub max_attempts: u8,
    /// Whether calls are accepted without a key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Regions in which the calls may run; empty if there is no restriction.
    pub regions: SmallVec<[Name; 2]>,
}

impl Route {
    /// Returns whether a call may be repeated although it may have run already.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            CallKind::Safe => true,
            CallKind::Unsafe => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Returns a target's service, chosen by weight, for a random draw between 0 and 1.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&Name> {
        let total: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut remaining = draw.clamp(0.0, 1.0) * total;
        for target in self.targets.iter().filter(|t| t.weight > 0) {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
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
    /// Number of VMs in a group that serves it.
    pub group_size: usize,
    /// Factor on all published times of the engine.
    pub time_factor: f64,
    /// Expected share of the work, by which VMs are divided among the models.
    pub share: f64,
    /// Time to load the weights from the shared store.
    pub load_time: Duration,
    /// Time to load the weights from the VM's own host.
    pub warm_load_time: Duration,
}

/// Published figures of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests that run at once in a group.
    pub slots: u32,
    /// Number of tokens that fit into the key-value cache.
    pub kv_cache_tokens: u64,
    /// Number of steps in one pass of the engine while requests are decoding.
    pub stride: u32,
    /// Base time of a decode step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub per_seq_ms: f64,
    /// Prompt tokens read per second.
    pub prefill_per_s: f64,
    /// Maximum number of prompt tokens that one step reads.
    pub prefill_chunk: u32,
    /// Attention time in milliseconds per million pairs of a prompt token and an earlier
    /// one.
    pub attention_ms: f64,
    /// Number of tokens of a typical prompt.
    pub typical_prompt: f64,
    /// Age of the figures in an endpoint's report.
    pub report_lag: Duration,
    /// Maximum number of loads from the shared store that start per second.
    pub loads_per_s: f64,
    /// Maximum number of concurrent loads from the shared store that don't slow each
    /// other down.
    pub max_concurrent_loads: usize,
    /// Maximum number of staged models on a host.
    pub max_staged: usize,
    /// Factor on all times of a group that spans several fabric domains.
    pub cross_domain_factor: f64,
    /// Time from an order to open until the leader accepts requests.
    pub open_time: Duration,
    /// Models that the engines can serve.
    pub models: Vec<Model>,
}

/// A service that routes can send calls to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections that an endpoint accepts from all clients together.
    pub max_connections: u32,
    /// Maximum rate of requests to a cold endpoint, per second; 0 if endpoints are never
    /// cold.
    pub cold_per_s: f64,
    /// Figures of the engines, if the service serves models.
    pub engine: Option<Engine>,
}

/// A team of callers, the unit of shares and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Priority of its calls, which overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time until a request's head has arrived.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Why the configuration in force doesn't allow a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Denial {
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or belongs to no team.
    UnknownKey,
}

/// One accepted configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version number that the operators gave it.
    pub version: u64,
    routes: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    keys: HashMap<String, Team>,
    /// Services whose routes leave no time to send a request again.
    latency_critical: HashSet<Name>,
    /// Whether routes that aren't public need a key.
    has_teams: bool,
    limits: Option<CallerLimits>,
}

impl Catalog {
    /// Builds the indexes of one configuration. `teams` holds each team with its keys; it
    /// is `None` where callers need no keys.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<(Team, Vec<String>)>>,
        limits: CallerLimits,
    ) -> Self {
        let engines = services
            .iter()
            .filter_map(|s| Some((&s.name, s.engine.as_ref()?)));
        let latency_critical = engines.filter(|(name, engine)| {
            let own = |r: &&Route| r.targets.iter().any(|t| t.service == **name);
            let mut own = routes.iter().filter(own);
            own.any(|r| latency::is_critical(r, engine))
        });
        let latency_critical = latency_critical.map(|(name, _)| name.clone()).collect();
        let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let has_teams = teams.is_some();
        let teams = teams.into_iter().flatten();
        let keys = teams
            .flat_map(|(team, keys)| keys.into_iter().map(move |key| (key, team.clone())))
            .collect();
        Self {
            version,
            routes: by_host,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            keys,
            latency_critical,
            has_teams,
            limits: Some(limits),
        }
    }

    /// Returns the limits on callers, or `None` before a configuration is known.
    #[must_use]
    pub const fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// Returns the route of the host with the longest prefix of the path.
    ///
    /// # Errors
    ///
    /// [`Denial::NoRoute`] if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Denial> {
        let routes = self.routes.get(host).ok_or(Denial::NoRoute)?;
        let mut matching = routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.next().ok_or(Denial::NoRoute)
    }

    /// Returns the team that a key belongs to, or `None` if the route needs no key.
    ///
    /// # Errors
    ///
    /// [`Denial::UnknownKey`] if the route needs a key, and this one is missing or belongs
    /// to no team.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Team>, Denial> {
        if !self.has_teams || route.public {
            return Ok(None);
        }
        let team = key.and_then(|k| self.keys.get(k));
        team.map(Some).ok_or(Denial::UnknownKey)
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns whether a service has a streaming route whose objective leaves no time to
    /// send a request again.
    #[must_use]
    pub fn is_latency_critical(&self, service: &str) -> bool {
        self.latency_critical.contains(service)
    }

    /// Returns whether any service is latency-critical.
    #[must_use]
    pub fn has_latency_critical(&self) -> bool {
        !self.latency_critical.is_empty()
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
