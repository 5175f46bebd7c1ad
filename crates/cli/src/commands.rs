//! Executes commands.

mod help;

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{DataCentreName, DataCentreService, ObjectKey, ServiceState, check_files};
use bulrushhoist_store::{HttpPlatform, Store};
use serde_json::{Value, json};

use crate::apply::{ApplyReport, FileDifference, apply_files, differences, stored_files};
use crate::arguments::{Arguments, Command, Verbosity};
use crate::check::{CheckReport, WarningPolicy, check};
use crate::data_centres::{remaining_replicas, set_service_state};
use crate::error::CliError;
use crate::files::read_directory;
use crate::fleet::{DaemonStatus, FleetClient};

/// Timeout of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// Exit code of `diff` if the files differ.
const EXIT_DIFFERENT: u8 = 3;

/// Executes a command and prints its result; returns the exit code.
pub async fn run(arguments: Arguments) -> Result<u8, CliError> {
    let platform = HttpPlatform::new(arguments.platform, PLATFORM_TIMEOUT)
        .map_err(bulrushhoist_store::StoreError::from)?;
    let session = Session {
        store: Store::new(Arc::new(platform)),
        fleet: FleetClient::new(arguments.token.clone())?,
        arguments,
    };
    session.run().await
}

/// One execution of a command, with its clients.
struct Session {
    arguments: Arguments,
    store: Store,
    fleet: FleetClient,
}

impl Session {
    async fn run(&self) -> Result<u8, CliError> {
        match &self.arguments.command {
            Command::Help(topic) => self.help(topic.as_deref()),
            Command::Version => self
                .print(&json!({ "version": env!("CARGO_PKG_VERSION") }), || {
                    vec![format!("bulrushhoist {}", env!("CARGO_PKG_VERSION"))]
                }),
            Command::Check {
                directory,
                warnings,
            } => {
                let report = check(&read_directory(directory)?, *warnings)?;
                self.print(&json!(report), || {
                    let mut lines: Vec<String> = report.warning_lines().collect();
                    lines.push(format!("{} files are valid", report.files));
                    lines
                });
            }
            Command::Diff(directory) => {
                let files = read_directory(directory)?;
                let (_, stored) = stored_files(&self.store).await?;
                let found = differences(&stored, &files);
                let checked = check(&files, WarningPolicy::Report);
                let warnings = checked.as_ref().ok().map(|r| &r.warnings);
                let value = json!({ "differences": found, "warnings": warnings });
                self.print(&value, || {
                    let mut lines = difference_lines(&found);
                    lines.extend(checked.iter().flat_map(CheckReport::warning_lines));
                    lines
                });
                // The differences help to find the problems, so they are shown first.
                checked?;
                return Ok(if found.is_empty() { 0 } else { EXIT_DIFFERENT });
            }
            Command::Apply {
                directory,
                base,
                wait,
            } => {
                let files = read_directory(directory)?;
                let applied = apply_files(&self.store, &files, *base).await?;
                self.report_apply(&applied, *wait).await?;
            }
            Command::Status => self.status().await?,
            Command::DataCentreOut { name, force } => self.take_out(name, *force).await?,
            Command::DataCentreIn(name) => self.set_service_state(name, ServiceState::In).await?,
            Command::DataCentreList => self.list_data_centres().await?,
            Command::Entries => self.entries().await?,
            Command::Explain(id) => self.explain(&id.to_string()).await?,
        }
        Ok(0)
    }

    fn print(&self, value: &Value, text: impl FnOnce() -> Vec<String>) {
        self.arguments.printer.print(value, text);
    }

    fn help(&self, topic: Option<&str>) {
        let text = help::text(topic);
        self.print(&json!({ "help": text }), || {
            vec![text.trim_end().to_owned()]
        });
    }

    async fn report_apply(&self, applied: &ApplyReport, wait: bool) -> Result<(), CliError> {
        let generation = applied.generation;
        let mut in_force = None;
        if wait {
            let in_force_at = |s: &DaemonStatus| s.generation >= generation;
            let took = self
                .fleet
                .wait_until_in_force(&self.store, self.arguments.timeout, in_force_at)
                .await?;
            in_force = Some(took.as_secs_f64());
        }
        let value = json!({ "applied": applied, "in_force_after_s": in_force });
        self.print(&value, || {
            let mut lines = difference_lines(&applied.differences);
            lines.push(match in_force {
                Some(s) => format!("generation {generation} in force everywhere after {s:.1} s"),
                None => format!("generation {generation} stored"),
            });
            lines
        });
        Ok(())
    }

    async fn status(&self) -> Result<(), CliError> {
        let statuses = self.fleet.statuses(&self.store).await?;
        let value: Vec<Value> = statuses
            .iter()
            .map(|(daemon, status)| json!({ "daemon": daemon, "status": status }))
            .collect();
        let verbose = self.arguments.verbosity == Verbosity::Verbose;
        self.print(&json!(value), || {
            let mut lines: Vec<String> = statuses
                .iter()
                .map(|(daemon, status)| {
                    daemon_line(&daemon.operator_address.to_string(), status.as_ref())
                })
                .collect();
            let view = statuses
                .iter()
                .find_map(|(_, s)| s.as_ref().filter(|s| s.fresh));
            lines.extend(view.map(|s| group_lines(s, verbose)).unwrap_or_default());
            lines
        });
        Ok(())
    }

    /// Takes a data centre out of service after printing the replicas that remain.
    ///
    /// Without `force` it refuses if a workload would have no serving replica left. It
    /// counts in the view of a daemon whose configuration is current; if none answers,
    /// nothing is counted and it does not refuse.
    async fn take_out(&self, name: &DataCentreName, force: bool) -> Result<(), CliError> {
        let statuses = self.fleet.statuses(&self.store).await?;
        let view = statuses
            .into_iter()
            .find_map(|(_, s)| s.filter(|s| s.fresh));
        let groups = view.map(|s| s.groups).unwrap_or_default();
        let counts = remaining_replicas(&groups, name);
        for (workload, count) in &counts {
            eprintln!(
                "{workload}: {} of {} serving replicas remain",
                count.remaining, count.serving
            );
        }
        let exhausted = counts.iter().find(|(_, c)| c.remaining == 0);
        if let Some((workload, _)) = exhausted
            && !force
        {
            let reason =
                format!("{workload} would have no serving replica left; --force overrides this");
            return Err(CliError::Refused { reason });
        }
        self.set_service_state(name, ServiceState::Out).await
    }

    /// Stores a service state and waits until it is in force at every daemon.
    async fn set_service_state(
        &self,
        name: &DataCentreName,
        state: ServiceState,
    ) -> Result<(), CliError> {
        let (_, files) = stored_files(&self.store).await?;
        let known = check_files(&files).is_ok_and(|d| d.data_centres.contains_key(name));
        if !known {
            let what = format!("no data centre `{name}` is declared");
            return Err(CliError::NotFound { what });
        }
        let revision = set_service_state(&self.store, name, state).await?;
        let in_force_at = |s: &DaemonStatus| s.service_revision >= Some(revision);
        let took = self
            .fleet
            .wait_until_in_force(&self.store, self.arguments.timeout, in_force_at)
            .await?;
        let seconds = took.as_secs_f64();
        let value = json!({ "data_centre": name, "state": state, "in_force_after_s": seconds });
        self.print(&value, || {
            let state = if state == ServiceState::In {
                "in"
            } else {
                "out of"
            };
            vec![format!(
                "{name} is {state} service everywhere after {seconds:.1} s"
            )]
        });
        Ok(())
    }

    async fn list_data_centres(&self) -> Result<(), CliError> {
        let (_, files) = stored_files(&self.store).await?;
        let deployment = check_files(&files)?;
        let service = self
            .store
            .read::<DataCentreService>(&ObjectKey::service())
            .await?;
        let service = service.map(|s| s.envelope.body).unwrap_or_default();
        let states: Vec<(DataCentreName, ServiceState)> = deployment
            .data_centres
            .into_keys()
            .map(|dc| (dc.clone(), service.state(&dc)))
            .collect();
        let value: Vec<Value> = states
            .iter()
            .map(|(dc, s)| json!({ "data_centre": dc, "state": s }))
            .collect();
        self.print(&json!(value), || {
            let word = |s: &ServiceState| if *s == ServiceState::In { "in" } else { "out" };
            states
                .iter()
                .map(|(dc, s)| format!("{dc}: {}", word(s)))
                .collect()
        });
        Ok(())
    }

    async fn entries(&self) -> Result<(), CliError> {
        let daemons = self.fleet.daemons(&self.store).await?;
        self.print(&json!(daemons), || {
            daemons
                .iter()
                .map(|d| {
                    format!("{} {} {:?}", d.caller_address, d.data_centre, d.phase).to_lowercase()
                })
                .collect()
        });
        Ok(())
    }

    /// Prints the traces that the daemons have of a request; several have one if its
    /// stream was resumed at another entry.
    async fn explain(&self, id: &str) -> Result<(), CliError> {
        let mut found = Vec::new();
        for daemon in self.fleet.daemons(&self.store).await? {
            let path = format!("/v1/requests/{id}");
            if let Ok(steps) = self.fleet.fetch::<Value>(&daemon, &path).await {
                found.push(json!({ "entry": daemon.caller_address, "trace": steps }));
            }
        }
        if found.is_empty() {
            let what = format!("no daemon has a trace of request {id}");
            return Err(CliError::NotFound { what });
        }
        self.print(&json!(found), || {
            found.iter().flat_map(trace_lines).collect()
        });
        Ok(())
    }
}

fn difference_lines(differences: &[FileDifference]) -> Vec<String> {
    let mut lines = Vec::new();
    for difference in differences {
        lines.push(difference.to_string());
        lines.extend(
            difference
                .removed
                .iter()
                .map(|l| format!("  -{}: {}", l.line, l.text)),
        );
        lines.extend(
            difference
                .added
                .iter()
                .map(|l| format!("  +{}: {}", l.line, l.text)),
        );
    }
    lines
}

fn daemon_line(operator: &str, status: Option<&DaemonStatus>) -> String {
    let Some(status) = status else {
        return format!("{operator}: no answer");
    };
    let fresh = if status.fresh {
        "current"
    } else {
        "not proven current"
    };
    let stopping = if status.stopping { ", stopping" } else { "" };
    format!(
        "{operator} in {}: generation {} ({fresh}), {} requests{stopping}",
        status.data_centre, status.generation, status.busy
    )
}

fn group_lines(status: &DaemonStatus, verbose: bool) -> Vec<String> {
    let serving = status.groups.iter().filter(|g| g.serving).count();
    let mut lines = vec![format!(
        "{serving} of {} groups are serving",
        status.groups.len()
    )];
    for group in &status.groups {
        let why = group.why_not.as_deref().unwrap_or("serving");
        if group.serving && !verbose {
            continue;
        }
        let spread = if group.domain.is_none() {
            ", spans fabric domains"
        } else {
            ""
        };
        let (name, workload, version) = (&group.group, &group.workload, &group.version);
        lines.push(format!("{name} {workload} {version}: {why}{spread}"));
        if verbose {
            lines.push(format!("  {}", group.members.join(" ")));
        }
    }
    lines
}

fn trace_lines(found: &Value) -> Vec<String> {
    let mut lines = vec![format!(
        "entry {}",
        found["entry"].as_str().unwrap_or_default()
    )];
    for step in found["trace"]["steps"].as_array().into_iter().flatten() {
        let seconds = step["at"].as_f64().unwrap_or_default() / 1e6;
        lines.push(format!(
            "  {seconds:.6} s  {}",
            step["what"].as_str().unwrap_or_default()
        ));
    }
    lines
}
