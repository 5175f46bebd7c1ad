//! Warnings for valid deployment files: entries without effect and limits that
//! contradict each other.
//!
//! Every warning has the file, line and key of a declared value. Warnings never
//! make a deployment invalid, because daemons read stored files with
//! [`check_files`](crate::check_files) and must accept what was accepted before;
//! they are for the operator who is about to apply the files. See
//! `docs/DEPLOYMENT-FILES.md`.

mod places;

use std::collections::BTreeMap;
use std::time::Duration;

use places::Places;

use crate::deployment::{Deployment, Route, SourceFile, Workload, WorkloadKind};
use crate::tables::{Problem, Problems};

/// Returns the warnings for files that [`check_files`](crate::check_files) read
/// as this deployment, sorted by file and line.
#[must_use]
pub fn lint_files(files: &[SourceFile], deployment: &Deployment) -> Problems {
    let mut lint = Lint {
        places: Places::of_files(files),
        deployment,
        found: Vec::new(),
    };
    for workload in deployment.workloads.values() {
        match workload.kind {
            WorkloadKind::Model => {
                lint.check_adapters(workload);
                lint.check_model_timeout(workload);
            }
            WorkloadKind::Service => {
                lint.check_routes(workload);
                lint.check_service_timeout(workload);
            }
        }
        lint.check_ramp(workload);
        lint.check_replicas(workload);
    }
    lint.check_tokens();
    lint.found
        .sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    Problems(lint.found)
}

/// A check in progress.
struct Lint<'a> {
    places: Places<'a>,
    deployment: &'a Deployment,
    found: Vec<Problem>,
}

impl Lint<'_> {
    fn warn(&mut self, path: &[&str], message: String) {
        self.found.push(self.places.problem(path, message));
    }

    /// Finds adapters that no request reaches, because the name resolves to
    /// another workload ([`Deployment::workload`]) or is listed twice.
    fn check_adapters(&mut self, model: &Workload) {
        for (index, adapter) in model.adapters.iter().enumerate() {
            let item = index.to_string();
            let path = ["models", model.name.as_str(), "adapters", item.as_str()];
            let Some(reached) = self.deployment.workload(adapter.as_str()) else {
                continue;
            };
            if reached.name != model.name || reached.name == *adapter {
                let message = format!(
                    "adapter `{adapter}` is never used; requests for `{adapter}` go to {} `{}`",
                    kind_word(reached.kind),
                    reached.name
                );
                self.warn(&path, message);
            } else if model.adapters[..index].contains(adapter) {
                self.warn(&path, format!("adapter `{adapter}` is listed twice"));
            }
        }
    }

    fn check_model_timeout(&mut self, model: &Workload) {
        let path = ["models", model.name.as_str(), "answer-timeout-ms"];
        if self.places.has(&path) {
            let message = "no effect; it applies to services only";
            self.warn(&path, message.to_owned());
        }
    }

    /// Finds routes that no request reaches, because the first route that
    /// matches a request is used.
    fn check_routes(&mut self, service: &Workload) {
        for (index, route) in service.routes.iter().enumerate() {
            let item = index.to_string();
            let path = ["services", service.name.as_str(), "routes", &item, "path"];
            let earlier = service.routes[..index].iter();
            let shadow = earlier.enumerate().find(|(_, r)| covers(r, route));
            if let Some((by, shadowing)) = shadow {
                let by = by.to_string();
                let by = ["services", service.name.as_str(), "routes", &by, "path"];
                let message = format!(
                    "{} {} never matches; {} at {} matches first",
                    route.method,
                    route.path,
                    shadowing.path,
                    self.places.describe(&by)
                );
                self.warn(&path, message);
            }
            let fixed = route.path.strip_suffix('*').unwrap_or(&route.path);
            if fixed.contains(['?', '#']) {
                let message = "matches only an encoded `?` or `#`; routes do not match the query";
                self.warn(&path, message.to_owned());
            } else if fixed.contains('*') {
                let message = "only a `*` at the end matches any rest; others match a literal `*`";
                self.warn(&path, message.to_owned());
            }
        }
    }

    /// Finds answers that must be complete before they need to begin.
    fn check_service_timeout(&mut self, service: &Workload) {
        let (answer, first) = (service.answer_timeout, service.first_token);
        if answer >= first {
            return;
        }
        let name = service.name.as_str();
        let timeout = ["services", name, "answer-timeout-ms"];
        let target = ["services", name, "first-token-ms"];
        let path = if self.places.has(&timeout) {
            timeout
        } else {
            target
        };
        let message = format!(
            "answer-timeout-ms, {}, is below first-token-ms, {}; answers are cut off before they are late",
            answer.as_millis(),
            first.as_millis()
        );
        self.warn(&path, message);
    }

    fn check_ramp(&mut self, workload: &Workload) {
        let path = [
            section(workload.kind),
            workload.name.as_str(),
            "ramp-requests",
        ];
        if workload.cold_limit == workload.warm_limit && self.places.has(&path) {
            let message = format!(
                "no effect; cold-limit and warm-limit are both {}",
                workload.warm_limit
            );
            self.warn(&path, message);
        }
    }

    /// Finds workloads that cannot run a request, and replicas whose network
    /// delay alone exceeds the target for requests of other data centres.
    fn check_replicas(&mut self, workload: &Workload) {
        let name = workload.name.as_str();
        let table = [section(workload.kind), name, "replicas"];
        if workload.replicas.values().all(|n| *n == 0) {
            let message = "no data centre has a replica; no request can run";
            self.warn(&table, message.to_owned());
        }
        if self.deployment.data_centres.len() < 2 {
            return;
        }
        for (name, count) in &workload.replicas {
            let Some(data_centre) = self.deployment.data_centres.get(name) else {
                continue;
            };
            let round_trip: Duration = data_centre.one_way_delay * 2;
            if *count == 0 || round_trip < workload.first_token {
                continue;
            }
            let message = format!(
                "the round trip from other data centres, {} ms, is not below first-token-ms, {}",
                round_trip.as_millis(),
                workload.first_token.as_millis()
            );
            self.warn(&[table[0], table[1], table[2], name.as_str()], message);
        }
    }

    /// Finds teams that no request belongs to, because the first team with the
    /// token is used ([`Deployment::team_of_token`]).
    fn check_tokens(&mut self) {
        let mut first = BTreeMap::new();
        for team in self.deployment.teams.values() {
            let Some(used) = first.get(&team.token_sha256) else {
                first.insert(&team.token_sha256, &team.name);
                continue;
            };
            let message = format!(
                "team `{}` is never used; requests with this token belong to team `{used}`",
                team.name
            );
            self.warn(&["teams", team.name.as_str(), "token-sha256"], message);
        }
    }
}

/// Returns whether every request that `later` matches is matched by `earlier`.
fn covers(earlier: &Route, later: &Route) -> bool {
    earlier.method == later.method
        && match earlier.path.strip_suffix('*') {
            // The `*` of the later path stands for any rest, so only the fixed
            // part is compared.
            Some(prefix) => later
                .path
                .strip_suffix('*')
                .unwrap_or(&later.path)
                .starts_with(prefix),
            None => earlier.path == later.path,
        }
}

const fn section(kind: WorkloadKind) -> &'static str {
    match kind {
        WorkloadKind::Model => "models",
        WorkloadKind::Service => "services",
    }
}

const fn kind_word(kind: WorkloadKind) -> &'static str {
    match kind {
        WorkloadKind::Model => "model",
        WorkloadKind::Service => "service",
    }
}
