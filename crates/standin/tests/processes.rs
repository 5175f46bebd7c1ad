//! The whole path through separate processes.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use reqwest::Client;
use support::{DaemonProcess, Process, TOKEN, eventually, operate, small_deployment};
use tokio::task::JoinSet;

struct Deployment {
    platform: SocketAddr,
    control: SocketAddr,
    daemons: Vec<DaemonProcess>,
    client: Client,
    _stand_ins: Vec<Process>,
}

impl Deployment {
    async fn start(daemons: usize) -> Self {
        let (platform_process, platform) =
            Process::start_listening("bulrushhoist-standin", &["platform"]);
        let address = platform.to_string();
        let arguments = [
            "endpoints",
            "--platform",
            &address,
            "--data-centres",
            "east,west",
        ];
        let (farm, control) = Process::start_listening("bulrushhoist-standin", &arguments);
        let data_centres = ["east", "west"];
        let daemons = (0..daemons)
            .map(|at| DaemonProcess::start(platform, data_centres[at % 2]))
            .collect();
        let client = Client::builder()
            .no_proxy()
            .build()
            .expect("a client can be built");
        let directory = small_deployment();
        let directory = directory.to_str().expect("the path is plain");
        let (code, output) = operate(platform, &["apply", directory]);
        assert_eq!(code, 0, "{output}");
        let stand_ins = vec![platform_process, farm];
        let deployment = Self {
            platform,
            control,
            daemons,
            client,
            _stand_ins: stand_ins,
        };
        for daemon in &deployment.daemons {
            deployment.wait_until_serving(daemon).await;
        }
        deployment
    }

    async fn wait_until_serving(&self, daemon: &DaemonProcess) {
        eventually("four groups serve", async || {
            let url = format!("http://{}/v1/status", daemon.operator);
            let request = self.client.get(url).bearer_auth("a-token-for-these-tests");
            let status: serde_json::Value = request.send().await.ok()?.json().await.ok()?;
            let groups = status["groups"].as_array()?;
            let serving = groups.iter().filter(|g| g["serving"] == true).count();
            let fresh = status["fresh"] == true;
            (serving == 4 && fresh).then_some(())
        })
        .await;
    }

    async fn wait_until_answering(&self, entry: SocketAddr) {
        let start = Instant::now();
        let body = r#"{"model":"bench","max_tokens":4,"messages":["passed on"]}"#;
        eventually("the fresh daemon answers", async || {
            let url = format!("http://{entry}/v1/chat/completions");
            let call = self.client.post(url).bearer_auth(TOKEN).body(body);
            let answer = call.send().await.ok()?;
            (answer.status() == 200).then_some(())
        })
        .await;
        assert!(start.elapsed() < PASSED_ON_WITHIN, "{:?}", start.elapsed());
    }

    async fn complete(&self, entry: SocketAddr, body: &str) -> reqwest::Response {
        let url = format!("http://{entry}/v1/chat/completions");
        let request = self
            .client
            .post(url)
            .bearer_auth(TOKEN)
            .body(body.to_owned());
        request.send().await.expect("the entry answers")
    }

    async fn ticket(&self, entry: SocketAddr) -> String {
        let request = self
            .client
            .post(format!("http://{entry}/v1/tickets"))
            .bearer_auth(TOKEN);
        let answer: serde_json::Value = request
            .send()
            .await
            .expect("the entry answers")
            .json()
            .await
            .expect("it is JSON");
        answer["tickets"][0]
            .as_str()
            .expect("there is a ticket")
            .to_owned()
    }

    async fn deposit(
        &self,
        entry: SocketAddr,
        header: (&str, &str),
        body: &str,
    ) -> reqwest::Response {
        let url = format!("http://{entry}/v1/services/counter/deposits");
        let request = self
            .client
            .post(url)
            .bearer_auth(TOKEN)
            .header(header.0, header.1);
        request
            .body(body.to_owned())
            .send()
            .await
            .expect("the entry answers")
    }

    /// Returns the requests that a data centre's endpoints ran or run.
    async fn served(&self, data_centre: &str) -> u64 {
        let url = format!("http://{}/v1/statuses", self.control);
        let request = self
            .client
            .get(url)
            .send()
            .await
            .expect("the stand-in answers");
        let statuses: serde_json::Value = request.json().await.expect("it is JSON");
        let inside = |s: &&serde_json::Value| {
            s["vm"]
                .as_str()
                .is_some_and(|vm| vm.starts_with(data_centre))
        };
        let count = |s: &serde_json::Value| {
            s["served"].as_u64().unwrap_or(0) + s["running"].as_u64().unwrap_or(0)
        };
        let statuses = statuses.as_array().expect("statuses are listed");
        statuses.iter().filter(inside).map(count).sum()
    }

    async fn executions(&self, marker: &str) -> u64 {
        let url = format!("http://{}/v1/ledger?marker={marker}", self.control);
        let report: serde_json::Value = self
            .client
            .get(url)
            .send()
            .await
            .expect("the stand-in answers")
            .json()
            .await
            .expect("it is JSON");
        report["executions"]
            .as_u64()
            .expect("executions are counted")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_a_streamed_completion_and_runs_a_deposit_once() {
    let deployment = Deployment::start(2).await;
    let (first, second) = (deployment.daemons[0].caller, deployment.daemons[1].caller);

    let body = r#"{"model":"bench","stream":true,"max_tokens":5,"messages":[]}"#;
    let text = deployment
        .complete(first, body)
        .await
        .text()
        .await
        .expect("the stream ends");
    assert_eq!(text.matches("id: s1_").count(), 5, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    for offset in 0..5 {
        let part = bulrushhoist_standin::expected_part(body.as_bytes(), offset);
        assert!(text.contains(&part), "part {offset} is missing: {text}");
    }

    // The same ticket at its owner and at another entry: one run, one answer.
    let ticket = deployment.ticket(first).await;
    let deposit = r#"{"deposit":"cup-17"}"#;
    let here = deployment
        .deposit(first, ("ticket", &ticket), deposit)
        .await;
    let there = deployment
        .deposit(second, ("ticket", &ticket), deposit)
        .await;
    assert_eq!([here.status(), there.status()], [200, 200]);
    assert_eq!(here.text().await.ok(), there.text().await.ok());
    assert_eq!(deployment.executions("cup-17").await, 1);

    // The same key at two entries.
    let deposit = r#"{"deposit":"cup-18"}"#;
    let here = deployment
        .deposit(first, ("idempotency-key", "k-18"), deposit)
        .await;
    let there = deployment
        .deposit(second, ("idempotency-key", "k-18"), deposit)
        .await;
    assert_eq!(here.text().await.ok(), there.text().await.ok());
    assert_eq!(deployment.executions("cup-18").await, 1);

    // A non-idempotent call without either is refused and not run.
    let refused = deployment
        .deposit(first, ("x-none", ""), r#"{"deposit":"cup-19"}"#)
        .await;
    assert_eq!(refused.status(), 400);
    let problem: serde_json::Value = refused.json().await.expect("a problem is JSON");
    assert_eq!(problem["reason"], "ticket_required");
    assert_eq!(problem["execution"], "not_run");
    assert_eq!(deployment.executions("cup-19").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_stops_seals_its_tickets_and_one_that_is_killed_leaves_them_unknown() {
    let mut deployment = Deployment::start(3).await;
    let entries: Vec<SocketAddr> = deployment.daemons.iter().map(|d| d.caller).collect();

    let (used, unused) = (
        deployment.ticket(entries[0]).await,
        deployment.ticket(entries[0]).await,
    );
    let answered = deployment
        .deposit(entries[0], ("ticket", &used), r#"{"deposit":"a1"}"#)
        .await;
    assert_eq!(answered.status(), 200);
    let stopped = &mut deployment.daemons[0].process;
    stopped.signal("TERM");
    let status = stopped.child.wait().expect("the daemon ends");
    assert!(status.success(), "{status}");

    let repeat = deployment
        .deposit(entries[1], ("ticket", &used), r#"{"deposit":"a1"}"#)
        .await;
    let repeat: serde_json::Value = repeat.json().await.expect("a problem is JSON");
    assert_eq!(repeat["execution"], "unknown", "{repeat}");
    let first = deployment
        .deposit(entries[1], ("ticket", &unused), r#"{"deposit":"a2"}"#)
        .await;
    let first: serde_json::Value = first.json().await.expect("a problem is JSON");
    assert_eq!(first["execution"], "not_run", "{first}");

    let ticket = deployment.ticket(entries[1]).await;
    deployment.daemons[1].process.signal("KILL");
    let lost = deployment
        .deposit(entries[2], ("ticket", &ticket), r#"{"deposit":"a3"}"#)
        .await;
    let lost: serde_json::Value = lost.json().await.expect("a problem is JSON");
    assert_eq!(lost["execution"], "unknown", "{lost}");

    assert_eq!(deployment.executions("a1").await, 1);
    assert_eq!(deployment.executions("a2").await, 0);
    assert_eq!(deployment.executions("a3").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_every_daemon_cuts_off_no_request() {
    replace_every_daemon(3).await;
}

/// As many daemons as a deployment has.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_seven_daemons_refuses_no_request() {
    replace_every_daemon(7).await;
}

/// Replaces each daemon in turn under load; every request must be answered.
async fn replace_every_daemon(entries: usize) {
    let mut deployment = Deployment::start(entries).await;
    let running = Arc::new(AtomicBool::new(true));
    let known: Vec<SocketAddr> = deployment.daemons.iter().map(|d| d.caller).collect();
    let told = Arc::new(Mutex::new(known));
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        let (running, told) = (Arc::clone(&running), Arc::clone(&told));
        callers.spawn(call_until_stopped(caller, running, told));
    }
    for at in 0..entries {
        let fresh = DaemonProcess::start(deployment.platform, "east");
        deployment.wait_until_serving(&fresh).await;
        told.lock()
            .expect("no caller panics with the lock")
            .push(fresh.caller);
        let mut old = std::mem::replace(&mut deployment.daemons[at], fresh);
        old.process.signal("TERM");
        let status = old.process.child.wait().expect("the daemon ends");
        assert_eq!(status.code(), Some(0), "requests were cut off");
    }
    running.store(false, Ordering::Relaxed);
    let mut answered = 0;
    while let Some(result) = callers.join_next().await {
        answered += result.expect("no caller fails");
    }
    assert!(answered > 20, "{answered} answers");
}

/// Calls as the interface asks of callers: asks for entries every second, and
/// goes to another one if a connection is refused.
async fn call_until_stopped(
    caller: usize,
    running: Arc<AtomicBool>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
) -> usize {
    let client = Client::builder()
        .no_proxy()
        .build()
        .expect("a client can be built");
    let mut answered = 0;
    let mut known: Vec<SocketAddr> = Vec::new();
    let mut asked = Instant::now();
    while running.load(Ordering::Relaxed) {
        if known.is_empty() || asked.elapsed() > Duration::from_secs(1) {
            asked = Instant::now();
            let seeds = entries
                .lock()
                .expect("no caller panics with the lock")
                .clone();
            known = ask_entries(&client, &seeds).await;
        }
        let entry = known[caller % known.len()];
        let body = format!(
            r#"{{"model":"bench","stream":true,"max_tokens":40,"messages":["{caller}-{answered}"]}}"#
        );
        let url = format!("http://{entry}/v1/chat/completions");
        let response = client.post(url).bearer_auth(TOKEN).body(body).send().await;
        let response = response.expect("a told entry takes connections");
        let status = response.status();
        let text = response.text().await.expect("the stream is not cut off");
        assert_eq!(
            status, 200,
            "caller {caller} at {entry} of {known:?}: {text}"
        );
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        answered += 1;
    }
    answered
}

async fn ask_entries(client: &Client, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    for seed in seeds.iter().rev() {
        let Ok(answer) = client
            .get(format!("http://{seed}/v1/entries?model=bench"))
            .send()
            .await
        else {
            continue;
        };
        let answer: serde_json::Value = answer.json().await.expect("it is JSON");
        let listed = answer["entries"].as_array().expect("entries are listed");
        let address = |e: &serde_json::Value| e["address"].as_str()?.parse().ok();
        let found: Vec<SocketAddr> = listed.iter().filter_map(address).collect();
        if !found.is_empty() {
            return found;
        }
    }
    panic!("no daemon tells entries")
}

/// Time within which a fresh daemon answers although another one vanished. It
/// waits 30 s for that one before it uses any replica itself.
const PASSED_ON_WITHIN: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_joins_beside_a_vanished_one_passes_requests_on() {
    let deployment = Deployment::start(3).await;
    deployment.daemons[0].process.signal("KILL");
    let fresh = DaemonProcess::start(deployment.platform, "east");
    deployment.wait_until_answering(fresh.caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_restarts_after_a_crash_passes_requests_on_and_gets_no_callers() {
    let mut deployment = Deployment::start(3).await;
    deployment.daemons[0].crash_and_restart();
    let (restarted, other) = (deployment.daemons[0].caller, deployment.daemons[1].caller);
    deployment.wait_until_answering(restarted).await;
    // What the crashed process sent may still run at endpoints.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let told = ask_entries(&deployment.client, &[other]).await;
    assert!(!told.contains(&restarted), "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_paused_takes_no_work_on_its_old_view() {
    let deployment = Deployment::start(3).await;
    let paused = &deployment.daemons[0];
    paused.process.signal("STOP");
    let arguments = ["data-centre", "out", "east", "--timeout", "1"];
    let (code, output) = operate(deployment.platform, &arguments);
    assert_eq!(
        code, 5,
        "one daemon cannot say that it is in force: {output}"
    );
    // Long enough for the others to have it in force, as for the paused one's
    // proof to expire.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = deployment.served("east").await;

    let mut waiting = JoinSet::new();
    for number in 0..8 {
        let url = format!("http://{}/v1/chat/completions", paused.caller);
        let body = format!(r#"{{"model":"bench","max_tokens":2,"messages":["p{number}"]}}"#);
        let request = deployment.client.post(url).bearer_auth(TOKEN).body(body);
        waiting.spawn(request.send());
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    paused.process.signal("CONT");
    while let Some(answer) = waiting.join_next().await {
        let answer = answer
            .expect("no caller panics")
            .expect("the daemon answers");
        if answer.status() != 200 {
            let problem: serde_json::Value = answer.json().await.expect("a problem is JSON");
            assert_eq!(problem["execution"], "not_run", "{problem}");
        }
    }
    assert_eq!(
        deployment.served("east").await,
        before,
        "work started in the data centre"
    );
}
