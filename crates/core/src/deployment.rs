//! The declared deployment: models, services, teams and data centres.
//!
//! Operators describe the whole deployment in a directory of TOML files, which
//! is checked and accepted as a whole. See `docs/DEPLOYMENT-FILES.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::ids::{DataCentreName, RegionName, TeamName, VersionName, WorkloadName};
use crate::tables::{Problem, Problems, TableReader, parse_document};

/// Most VMs that one replica may span.
const VMS_PER_REPLICA_MAX: u64 = 64;
/// Most replicas of one workload in one data centre.
const REPLICAS_MAX: u64 = 100_000;
/// Largest concurrency limit of one replica.
const LIMIT_MAX: u64 = 100_000;
/// Longest time to a first token or an answer that can be declared.
const TIMEOUT_MAX_MS: u64 = 3_600_000;

/// One file of a deployment, as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SourceFile {
    /// Name relative to the deployment's directory.
    pub name: String,
    /// Text of the file.
    pub text: String,
}

impl SourceFile {
    /// Returns the SHA-256 of the text in hexadecimal digits.
    #[must_use]
    pub fn digest(&self) -> String {
        Sha256::digest(&self.text)
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect()
    }
}

/// The accepted configuration: its generation and the files it consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Manifest {
    /// Files by name, each with the digest that names its stored part.
    pub parts: BTreeMap<String, String>,
}

/// What kind of endpoint a workload runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkloadKind {
    /// A model on engines that batch continuously.
    Model,
    /// A plain service beside the engines.
    Service,
}

/// Whether endpoints check who gives them an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// An order with an old fencing number is refused.
    Checked,
    /// Any order is obeyed.
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
    /// Every method.
    pub const ALL: [Self; 4] = [Self::Get, Self::Post, Self::Put, Self::Delete];
}

/// One call that a plain service offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// HTTP method.
    pub method: Method,
    /// Path; a last `*` stands for any rest.
    pub path: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

impl Route {
    /// Returns whether the route covers a request.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path_fits = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        path_fits && method.eq_ignore_ascii_case(&self.method.to_string())
    }
}

/// A model or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Workload {
    /// Name of the model or service.
    pub name: WorkloadName,
    /// Kind of endpoint that it runs on.
    pub kind: WorkloadKind,
    /// Version that replicas should serve.
    pub version: VersionName,
    /// Adapters that callers may name as models of their own.
    pub adapters: Vec<WorkloadName>,
    /// VMs that one replica spans.
    pub vms: u32,
    /// Requests that a freshly started replica can carry at a time.
    pub cold_limit: u32,
    /// Requests that a warm replica can carry at a time.
    pub warm_limit: u32,
    /// Requests after which a cold replica carries one more at a time.
    pub ramp_requests: u32,
    /// Whether endpoints check fencing numbers.
    pub fencing: Fencing,
    /// Time within which an answer must begin.
    pub first_token: Duration,
    /// Time within which an answer must be whole.
    pub answer_timeout: Duration,
    /// Desired replicas by data centre.
    pub replicas: BTreeMap<DataCentreName, u32>,
    /// Calls of a plain service; empty for a model.
    pub routes: Vec<Route>,
}

impl Workload {
    /// Returns the declared route for a request to a service.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|r| r.matches(method, path))
    }
}

/// A team: the unit of shares and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Weight of the team when capacity is short.
    pub share: u32,
    /// Requests in flight at one daemon at most.
    pub max_in_flight: u32,
    /// SHA-256 of the team's token in hexadecimal digits.
    pub token_sha256: String,
}

/// A data centre and the region it lies in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Region that it lies in.
    pub region: RegionName,
    /// Declared one-way delay to the other data centres of the region.
    pub one_way_delay: Duration,
}

/// A whole deployment that passed its check.
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
    /// Returns the workload with this name or with an adapter of this name.
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

    /// Returns the team that a token belongs to, comparing in constant time.
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

/// Checks the files of a deployment as a whole.
///
/// Either every file is sound and the deployment is returned, or every problem
/// of every file is.
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

/// A deployment in the making, with the places where things were declared.
#[derive(Default)]
struct Draft {
    deployment: Deployment,
    references: Vec<DataCentreReference>,
}

/// A data centre that a workload names.
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
            WorkloadKind::Model => table.integer("vms-per-replica", 1..=VMS_PER_REPLICA_MAX),
            WorkloadKind::Service => Some(1),
        };
        let adapters = match kind {
            WorkloadKind::Model => table.list("adapters"),
            WorkloadKind::Service => Vec::new(),
        };
        let cold = table.integer("cold-limit", 1..=LIMIT_MAX);
        let warm = table.integer("warm-limit", 1..=LIMIT_MAX);
        let ramp = table.integer_or("ramp-requests", 1..=LIMIT_MAX, 8);
        let checks = table.boolean("checks-fencing");
        let first_token = table.integer_or("first-token-ms", 1..=TIMEOUT_MAX_MS, 1_300);
        let answer = table.integer_or("answer-timeout-ms", 1..=TIMEOUT_MAX_MS, 60_000);
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
            vms: narrow(vms),
            cold_limit: narrow(cold),
            warm_limit: narrow(warm),
            ramp_requests: narrow(ramp),
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
        for (name, count) in replicas.named_integers::<DataCentreName>(&(0..=REPLICAS_MAX)) {
            self.references.push(DataCentreReference {
                data_centre: name.clone(),
                file: replicas.file().to_owned(),
                line: replicas.key_line(name.as_str()),
                key: format!("{}.{name}", replicas.path()),
            });
            found.insert(name, narrow(count));
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
            share: narrow(share),
            max_in_flight: narrow(max_in_flight),
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

fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
