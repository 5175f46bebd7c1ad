//! Runs the programs of the workspace as child processes.

use std::io::{BufRead as _, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Time within which an awaited condition must hold.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Token of the team that the tests call as.
pub(crate) const TOKEN: &str = "nashville-example-token";

/// Returns the path of a program of this workspace.
pub(crate) fn program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("a test knows its own path");
    path.pop();
    path.pop();
    path.join(name)
}

/// First port given to daemons.
///
/// It is below the ephemeral port range, from which an outgoing connection could
/// otherwise take a port before its daemon binds it.
const FIRST_PORT: u16 = 20_000;

/// Returns an address with a free port.
///
/// The process id spreads the ports of test processes that run in parallel.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let port_offset = u16::try_from(std::process::id() % 100).unwrap_or(0) * 100;
    loop {
        let port = FIRST_PORT + port_offset + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Environment variable that sends the programs' logs to the test's output.
const SHOW_LOGS: &str = "BULRUSHHOIST_TEST_LOGS";

fn log_output() -> Stdio {
    match std::env::var_os(SHOW_LOGS) {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    }
}

/// A child process that is killed when it is dropped.
pub(crate) struct Process {
    pub(crate) child: Child,
}

impl Process {
    pub(crate) fn start(program: &str, arguments: &[&str]) -> Self {
        let child = Command::new(self::program(program))
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(log_output())
            .spawn()
            .expect("the program was built");
        Self { child }
    }

    /// Starts a program and returns the address at the end of its first output line.
    pub(crate) fn start_listening(program: &str, arguments: &[&str]) -> (Self, SocketAddr) {
        let mut child = Command::new(self::program(program))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program was built");
        let stdout = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program prints its address");
        let address = line
            .split_whitespace()
            .last()
            .expect("the line ends with an address");
        let address = address.parse().expect("the line ends with an address");
        (Self { child }, address)
    }

    /// Sends a signal by name, for example `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(status.is_ok_and(|s| s.success()), "cannot send {name}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A daemon process with its addresses.
pub(crate) struct DaemonProcess {
    pub(crate) process: Process,
    settings_path: String,
    pub(crate) caller: SocketAddr,
    pub(crate) operator: SocketAddr,
}

impl DaemonProcess {
    pub(crate) fn start(platform: SocketAddr, data_centre: &str) -> Self {
        let (caller, peer, operator) = (free_address(), free_address(), free_address());
        let settings = format!(
            "data-centre = \"{data_centre}\"\nplatform = \"{platform}\"\n\
             [listen]\ncaller = \"{caller}\"\npeer = \"{peer}\"\noperator = \"{operator}\"\n\
             [security]\npeer-key = \"a-key-for-these-tests\"\n\
             operator-token = \"a-token-for-these-tests\"\n"
        );
        let name = format!("bulrushhoist-{}-{}.toml", std::process::id(), caller.port());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, settings).expect("the temporary directory is writable");
        let path = file
            .to_str()
            .expect("the temporary directory has a plain name");
        let process = Process::start("bulrushhoistd", &[path]);
        Self {
            process,
            settings_path: path.to_owned(),
            caller,
            operator,
        }
    }

    /// Kills the process and starts a new one with the same settings.
    pub(crate) fn crash_and_restart(&mut self) {
        self.process.signal("KILL");
        let ended = self.process.child.wait();
        assert!(ended.is_ok(), "the process ends");
        self.process = Process::start("bulrushhoistd", &[&self.settings_path]);
    }
}

/// Runs the operator command line tool; returns its exit code and output.
pub(crate) fn operate(platform: SocketAddr, arguments: &[&str]) -> (i32, String) {
    let output = Command::new(program("bulrushhoist"))
        .args(arguments)
        .env("BULRUSHHOIST_PLATFORM", platform.to_string())
        .env("BULRUSHHOIST_OPERATOR_TOKEN", "a-token-for-these-tests")
        .output()
        .expect("the program was built");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.code().unwrap_or(-1), text)
}

/// Waits until a condition returns a value, and returns it.
pub(crate) async fn eventually<F, T>(what: &str, mut condition: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let start = Instant::now();
    while start.elapsed() < CONDITION_TIMEOUT {
        if let Some(found) = condition().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("not within {CONDITION_TIMEOUT:?}: {what}");
}

/// Returns the directory of a small deployment: 2 data centres, 2 replicas of
/// 4 VMs each, and a service.
pub(crate) fn small_deployment() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/small")
}
