//! The declared deployment: models, services, teams and data centres.
//!
//! Operators describe the complete deployment in a directory of TOML files,
//! which are accepted together or not at all. See `docs/DEPLOYMENT-FILES.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::ids::{DataCentreName, RegionName, TeamName, VersionName, WorkloadName};
use crate::tables::{Problem, Problems, TableReader, parse_document};

/// Maximum number of VMs of one replica.
const MAX_VMS_PER_REPLICA: u64 = 64;
/// Maximum number of replicas of one workload in one data centre.
const MAX_REPLICAS: u64 = 100_000;
/// Maximum concurrency limit of one replica.
const MAX_LIMIT: u64 = 100_000;
/// Maximum time that can be declared for the first token or the complete answer.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A file of a deployment, as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SourceFile {
    /// Name relative to the deployment's directory.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

impl SourceFile {
    /// Returns the SHA-256 digest of the text in hexadecimal digits.
    #[must_use]
    pub fn digest(&self) -> String {
        Sha256::digest(&self.text)
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect()
    }
}

/// The files of the accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Manifest {
    /// Digest of each file by its name. A file is stored under its digest.
    pub parts: BTreeMap<String, String>,
}

/// Kind of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkloadKind {
    /// A model that runs on inference engines with continuous batching.
    Model,
    /// A plain service that does not run on an inference engine.
    Service,
}

/// Whether endpoints check the fencing tokens of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Endpoints refuse orders with an outdated fencing token.
    Checked,
    /// Endpoints execute every order.
    Ignored,
}

/// HTTP method of a service's route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
#[display(rename_all = "UPPERCASE")]
pub enum Method {
    /// GET
    Get,
    /// POST
    Post,
    /// PUT
    Put,
    /// DELETE
    Delete,
}

impl Method {
    /// All methods.
    pub const ALL: [Self; 4] = [Self::Get, Self::Post, Self::Put, Self::Delete];
}

/// A declared call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// HTTP method.
    pub method: Method,
    /// Path; a `*` at the end matches any remainder.
    pub path: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

impl Route {
    /// Returns whether the route matches a request's method and path.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        path_matches && method.eq_ignore_ascii_case(&self.method.to_string())
    }
}

/// A model or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Workload {
    /// Name of the model or service.
    pub name: WorkloadName,
    /// Kind of the workload.
    pub kind: WorkloadKind,
    /// Version that replicas should serve.
    pub version: VersionName,
    /// Adapters of the model, which callers address like models.
    pub adapters: Vec<WorkloadName>,
    /// Number of VMs of one replica.
    pub vms: u32,
    /// Concurrent requests of a freshly started replica.
    pub cold_limit: u32,
    /// Concurrent requests of a warm replica.
    pub warm_limit: u32,
    /// Served requests after which a cold replica's limit rises by one.
    pub ramp_requests: u32,
    /// Whether endpoints check fencing tokens.
    pub fencing: Fencing,
    /// Target time to the first token. A request that cannot start within it is
    /// refused, and slower answers reduce the replica's limit.
    pub first_token: Duration,
    /// Time within which a service's answer must be complete; answers of models
    /// are not bound by it.
    pub answer_timeout: Duration,
    /// Desired replicas by data centre.
    pub replicas: BTreeMap<DataCentreName, u32>,
    /// Calls of a plain service; empty for a model.
    pub routes: Vec<Route>,
}

impl Workload {
    /// Returns the route that matches a request to a service.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|r| r.matches(method, path))
    }
}

/// A team, the unit to which shares and limits apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Weight of the team in the admission queues.
    pub share: u32,
    /// Maximum number of running and queued requests at one daemon.
    pub max_in_flight: u32,
    /// SHA-256 digest of the team's token in hexadecimal digits.
    pub token_sha256: String,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Declared one-way network delay to the region's other data centres.
    pub one_way_delay: Duration,
}

/// A complete deployment that has passed the check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Deployment {
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreName, DataCentre>,
    /// Models and services by name.
    pub workloads: BTreeMap<WorkloadName, Workload>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
}

impl Deployment {
    /// Returns the workload that has this name or an adapter of this name.
    #[must_use]
    pub fn workload(&self, name: &str) -> Option<&Workload> {
        let direct = self
            .workloads
            .iter()
            .find(|(n, _)| n.as_str() == name)
            .map(|(_, w)| w);
        let serves = |w: &&Workload| w.adapters.iter().any(|a| a.as_str() == name);
        direct.or_else(|| self.workloads.values().find(serves))
    }

    /// Returns the team of a token. Digests are compared in constant time.
    #[must_use]
    pub fn team_of_token(&self, token: &str) -> Option<&Team> {
        let digest: String = Sha256::digest(token)
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        let belongs = |t: &&Team| bool::from(t.token_sha256.as_bytes().ct_eq(digest.as_bytes()));
        self.teams.values().find(belongs)
    }
}

/// Checks the files of a deployment.
///
/// Returns the deployment if all files are valid, and otherwise all problems of
/// all files.
pub fn check_files(files: &[SourceFile]) -> Result<Deployment, Problems> {
    let mut problems = Problems::default();
    let mut draft = Draft::default();
    for file in files {
        parse_document(&file.name, &file.text, &mut problems, |root| {
            draft.read_root(root);
            Some(())
        });
    }
    draft.check_references(&mut problems);
    if problems.0.is_empty() {
        return Ok(draft.deployment);
    }
    Err(problems)
}

/// A deployment that is being read, with the references still to be checked.
#[derive(Default)]
struct Draft {
    deployment: Deployment,
    references: Vec<DataCentreReference>,
}

/// A workload's reference to a data centre, with its position in the files.
struct DataCentreReference {
    data_centre: DataCentreName,
    file: String,
    line: usize,
    key: String,
}

impl Draft {
    fn read_root(&mut self, mut root: TableReader<'_>) {
        if let Some(mut section) = root.table("data-centres") {
            for (name, table) in section.named_tables() {
                self.read_data_centre(name, table);
            }
        }
        if let Some(mut section) = root.table("models") {
            for (name, table) in section.named_tables() {
                self.read_workload(name, WorkloadKind::Model, table);
            }
        }
        if let Some(mut section) = root.table("services") {
            for (name, table) in section.named_tables() {
                self.read_workload(name, WorkloadKind::Service, table);
            }
        }
        if let Some(mut section) = root.table("teams") {
            for (name, table) in section.named_tables() {
                self.read_team(name, table);
            }
        }
        root.finish();
    }

    fn read_data_centre(&mut self, name: DataCentreName, mut table: TableReader<'_>) {
        let region = table.required("region");
        let delay_us = table.integer_or("one-way-delay-us", 0..=10_000_000, 1_000);
        if self.deployment.data_centres.contains_key(&name) {
            table.problem("declared twice");
        }
        table.finish();
        let Some(region) = region else { return };
        let one_way_delay = Duration::from_micros(delay_us);
        let data_centre = DataCentre {
            name: name.clone(),
            region,
            one_way_delay,
        };
        self.deployment.data_centres.insert(name, data_centre);
    }

    fn read_workload(
        &mut self,
        name: WorkloadName,
        kind: WorkloadKind,
        mut table: TableReader<'_>,
    ) {
        let version = table.required("version");
        let vms = match kind {
            WorkloadKind::Model => table.integer("vms-per-replica", 1..=MAX_VMS_PER_REPLICA),
            WorkloadKind::Service => Some(1),
        };
        let adapters = match kind {
            WorkloadKind::Model => table.list("adapters"),
            WorkloadKind::Service => Vec::new(),
        };
        let cold = table.integer("cold-limit", 1..=MAX_LIMIT);
        let warm = table.integer("warm-limit", 1..=MAX_LIMIT);
        let ramp = table.integer_or("ramp-requests", 1..=MAX_LIMIT, 8);
        let checks = table.boolean("checks-fencing");
        let first_token = table.integer_or("first-token-ms", 1..=MAX_TIMEOUT_MS, 1_300);
        let answer = table.integer_or("answer-timeout-ms", 1..=MAX_TIMEOUT_MS, 60_000);
        let replicas = self.read_replicas(&mut table);
        let routes = match kind {
            WorkloadKind::Model => Vec::new(),
            WorkloadKind::Service => read_routes(&mut table),
        };
        if let (Some(cold), Some(warm)) = (cold, warm)
            && cold > warm
        {
            table.key_problem(
                "cold-limit",
                format!("found {cold}, expected at most warm-limit, {warm}"),
            );
        }
        if self.deployment.workloads.contains_key(&name) {
            table.problem("a model or service of this name is declared twice");
        }
        table.finish();
        let (Some(version), Some(vms), Some(cold), Some(warm), Some(checks)) =
            (version, vms, cold, warm, checks)
        else {
            return;
        };
        let workload = Workload {
            name: name.clone(),
            kind,
            version,
            adapters,
            vms: saturating_u32(vms),
            cold_limit: saturating_u32(cold),
            warm_limit: saturating_u32(warm),
            ramp_requests: saturating_u32(ramp),
            fencing: if checks {
                Fencing::Checked
            } else {
                Fencing::Ignored
            },
            first_token: Duration::from_millis(first_token),
            answer_timeout: Duration::from_millis(answer),
            replicas,
            routes,
        };
        self.deployment.workloads.insert(name, workload);
    }

    fn read_replicas(&mut self, table: &mut TableReader<'_>) -> BTreeMap<DataCentreName, u32> {
        let Some(mut replicas) = table.table("replicas") else {
            table.key_problem(
                "replicas",
                "missing; a table of replicas by data centre is required",
            );
            return BTreeMap::new();
        };
        let mut found = BTreeMap::new();
        for (name, count) in replicas.named_integers::<DataCentreName>(&(0..=MAX_REPLICAS)) {
            self.references.push(DataCentreReference {
                data_centre: name.clone(),
                file: replicas.file().to_owned(),
                line: replicas.key_line(name.as_str()),
                key: format!("{}.{name}", replicas.path()),
            });
            found.insert(name, saturating_u32(count));
        }
        replicas.finish();
        found
    }

    fn read_team(&mut self, name: TeamName, mut table: TableReader<'_>) {
        let share = table.integer_or("share", 1..=1_000_000, 1);
        let max_in_flight = table.integer_or("max-in-flight", 1..=1_000_000, 1_000);
        let token: Option<String> = table.required("token-sha256");
        if self.deployment.teams.contains_key(&name) {
            table.problem("declared twice");
        }
        let is_digest =
            |t: &String| t.len() == 64 && t.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if token.as_ref().is_some_and(|t| !is_digest(t)) {
            table.key_problem("token-sha256", "expected 64 lower-case hexadecimal digits");
        }
        table.finish();
        let Some(token_sha256) = token else { return };
        let team = Team {
            name: name.clone(),
            share: saturating_u32(share),
            max_in_flight: saturating_u32(max_in_flight),
            token_sha256,
        };
        self.deployment.teams.insert(name, team);
    }

    fn check_references(&self, problems: &mut Problems) {
        for reference in &self.references {
            if self
                .deployment
                .data_centres
                .contains_key(&reference.data_centre)
            {
                continue;
            }
            let known: Vec<&str> = self
                .deployment
                .data_centres
                .keys()
                .map(DataCentreName::as_str)
                .collect();
            let message = format!(
                "no data centre `{}` is declared; declared are: {}",
                reference.data_centre,
                if known.is_empty() {
                    "none".to_owned()
                } else {
                    known.join(", ")
                }
            );
            problems.0.push(Problem {
                file: reference.file.clone(),
                line: reference.line,
                key: reference.key.clone(),
                message,
            });
        }
    }
}

fn read_routes(table: &mut TableReader<'_>) -> Vec<Route> {
    let mut routes = Vec::new();
    for mut entry in table.tables("routes") {
        let method = entry.choice("method", &Method::ALL);
        let path: Option<String> = entry.required("path");
        let idempotent = entry.boolean("idempotent");
        if !entry.has("method") {
            entry.key_problem("method", "missing; GET, POST, PUT or DELETE is required");
        }
        if path.as_ref().is_some_and(|p| !p.starts_with('/')) {
            entry.key_problem("path", "expected a path that begins with `/`");
        }
        entry.finish();
        if let (Some(method), Some(path), Some(idempotent)) = (method, path, idempotent) {
            routes.push(Route {
                method,
                path,
                idempotent,
            });
        }
    }
    if routes.is_empty() {
        table.key_problem("routes", "a service needs at least one [[routes]] table");
    }
    routes
}

/// Converts a number that its allowed range limits to 32 bits.
fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
