//! Daemons and stand-ins in one process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bulrushhoist_cli::read_directory;
use bulrushhoist_core::{SourceFile, VmName, VmPhase, VmStatus};
use bulrushhoist_standin::{FarmSettings, Local, LocalSettings};
use reqwest::{Client, Response};
use serde_json::Value;

pub(crate) const TOKEN: &str = "nashville-example-token";
/// Time that a deployment gets to become whole.
pub(crate) const WHOLE: Duration = Duration::from_secs(40);

pub(crate) struct World {
    pub(crate) local: Local,
    pub(crate) client: Client,
}

pub(crate) fn files() -> Vec<SourceFile> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/small");
    read_directory(&directory).expect("the small deployment is readable")
}

impl World {
    pub(crate) async fn start(daemons: usize, farm: FarmSettings) -> Self {
        let farm = FarmSettings {
            relays: true,
            ..farm
        };
        let settings = LocalSettings {
            daemons,
            farm,
            ..LocalSettings::default()
        };
        let local = Local::start(&files(), settings)
            .await
            .expect("the deployment starts");
        assert!(
            local.wait_until_serving(WHOLE).await,
            "the deployment becomes whole"
        );
        let client = Client::builder()
            .no_proxy()
            .build()
            .expect("a client can be built");
        Self { local, client }
    }

    pub(crate) fn entry(&self, at: usize) -> SocketAddr {
        self.local.daemons[at % self.local.daemons.len()].caller_address()
    }

    pub(crate) async fn complete(&self, at: usize, body: &str) -> Response {
        let url = format!("http://{}/v1/chat/completions", self.entry(at));
        let request = self
            .client
            .post(url)
            .bearer_auth(TOKEN)
            .body(body.to_owned());
        request.send().await.expect("the entry answers")
    }

    pub(crate) async fn call(
        &self,
        at: usize,
        path: &str,
        ticket: Option<&str>,
        body: &str,
    ) -> Response {
        let url = format!("http://{}/v1/services/counter{path}", self.entry(at));
        let mut request = match ticket {
            Some(ticket) => self.client.post(url).header("ticket", ticket),
            None => self.client.get(url),
        };
        request = request.bearer_auth(TOKEN).body(body.to_owned());
        request.send().await.expect("the entry answers")
    }

    pub(crate) async fn ticket(&self, at: usize) -> String {
        let url = format!("http://{}/v1/tickets", self.entry(at));
        let request = self.client.post(url).bearer_auth(TOKEN);
        let answer: Value = json(request.send().await.expect("the entry answers")).await;
        answer["tickets"][0]
            .as_str()
            .expect("there is a ticket")
            .to_owned()
    }

    /// Returns a VM that takes the requests of a replica of `bench`.
    pub(crate) fn bench_leader(&self) -> VmName {
        let leader = self.local.farm.statuses().into_iter().find(|s| {
            s.rank == 0
                && s.phase == VmPhase::Ready
                && s.workload.as_ref().is_some_and(|w| w.as_str() == "bench")
        });
        leader.expect("a replica serves").vm
    }

    pub(crate) fn status(&self, vm: &VmName) -> VmStatus {
        let statuses = self.local.farm.statuses();
        let found = statuses.into_iter().find(|s| s.vm == *vm);
        found.expect("the endpoint exists")
    }

    /// Returns the leaders that run something.
    pub(crate) fn busy(&self) -> Vec<VmStatus> {
        self.local
            .farm
            .statuses()
            .into_iter()
            .filter(|s| s.running > 0)
            .collect()
    }

    pub(crate) async fn busy_leader(&self) -> VmName {
        for _ in 0..200 {
            if let Some(status) = self.busy().first() {
                return status.vm.clone();
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("nothing runs");
    }
}

pub(crate) async fn json(response: Response) -> Value {
    response.json().await.expect("the answer is JSON")
}
