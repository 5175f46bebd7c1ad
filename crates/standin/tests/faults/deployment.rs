//! A local deployment with a caller's client, for tests of faults.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bulrushhoist_cli::read_directory;
use bulrushhoist_core::{SourceFile, VmName, VmPhase, VmStatus};
use bulrushhoist_standin::{EndpointSettings, LocalDeployment, LocalSettings};
use reqwest::{Client, Response};
use serde_json::Value;

/// Token of the team that the tests call as.
pub(crate) const TOKEN: &str = "nashville-example-token";
/// Time within which every group of the deployment must serve.
pub(crate) const SERVING_TIMEOUT: Duration = Duration::from_secs(40);

pub(crate) struct TestDeployment {
    pub(crate) local: LocalDeployment,
    pub(crate) client: Client,
}

pub(crate) fn files() -> Vec<SourceFile> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/small");
    read_directory(&directory).expect("the small deployment is readable")
}

impl TestDeployment {
    pub(crate) async fn start(daemons: usize, endpoints: EndpointSettings) -> Self {
        let endpoints = EndpointSettings {
            proxied: true,
            ..endpoints
        };
        let settings = LocalSettings {
            daemons,
            endpoints,
            ..LocalSettings::default()
        };
        let local = LocalDeployment::start(&files(), settings)
            .await
            .expect("the deployment starts");
        assert!(
            local.wait_until_serving(SERVING_TIMEOUT).await,
            "not every group serves in time"
        );
        let client = Client::builder()
            .no_proxy()
            .build()
            .expect("the client is valid");
        Self { local, client }
    }

    pub(crate) fn entry(&self, index: usize) -> SocketAddr {
        self.local.daemons[index % self.local.daemons.len()].caller_address()
    }

    pub(crate) async fn complete(&self, index: usize, body: &str) -> Response {
        let url = format!("http://{}/v1/chat/completions", self.entry(index));
        let request = self
            .client
            .post(url)
            .bearer_auth(TOKEN)
            .body(body.to_owned());
        request.send().await.expect("the entry answers")
    }

    pub(crate) async fn call(
        &self,
        index: usize,
        path: &str,
        ticket: Option<&str>,
        body: &str,
    ) -> Response {
        let url = format!("http://{}/v1/services/counter{path}", self.entry(index));
        let mut request = match ticket {
            Some(ticket) => self.client.post(url).header("ticket", ticket),
            None => self.client.get(url),
        };
        request = request.bearer_auth(TOKEN).body(body.to_owned());
        request.send().await.expect("the entry answers")
    }

    pub(crate) async fn ticket(&self, index: usize) -> String {
        let url = format!("http://{}/v1/tickets", self.entry(index));
        let request = self.client.post(url).bearer_auth(TOKEN);
        let answer: Value = json(request.send().await.expect("the entry answers")).await;
        answer["tickets"][0]
            .as_str()
            .expect("there is a ticket")
            .to_owned()
    }

    /// Returns the leader of a replica of `bench`.
    pub(crate) fn bench_leader(&self) -> VmName {
        let leader = self.local.endpoints.statuses().into_iter().find(|s| {
            s.rank == 0
                && s.phase == VmPhase::Ready
                && s.workload.as_ref().is_some_and(|w| w.as_str() == "bench")
        });
        leader.expect("a replica serves").vm
    }

    pub(crate) fn status(&self, vm: &VmName) -> VmStatus {
        let statuses = self.local.endpoints.statuses();
        let found = statuses.into_iter().find(|s| s.vm == *vm);
        found.expect("the endpoint exists")
    }

    /// Returns the status of every leader that runs requests.
    pub(crate) fn busy_leaders(&self) -> Vec<VmStatus> {
        self.local
            .endpoints
            .statuses()
            .into_iter()
            .filter(|s| s.running > 0)
            .collect()
    }

    /// Waits until an endpoint runs requests and returns its VM.
    pub(crate) async fn busy_leader(&self) -> VmName {
        for _ in 0..200 {
            if let Some(status) = self.busy_leaders().first() {
                return status.vm.clone();
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("no endpoint runs a request");
    }
}

pub(crate) async fn json(response: Response) -> Value {
    response.json().await.expect("the answer is JSON")
}
