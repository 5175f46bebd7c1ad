//! Entry processes, started as the deploy file says.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/bulrushhoist-entry";

/// A range of loopback addresses of this case, on which nobody listens.
#[derive(Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    pub fn free() -> Self {
        let process = std::process::id();
        for attempt in 0..200 {
            let number = process.wrapping_mul(7).wrapping_add(attempt);
            let network = Self(20 + (number % 200) as u8, (number / 200 % 250) as u8);
            let unused = |host| TcpListener::bind((network.ip(host), 9_464)).is_ok();
            if (1..=4).all(unused) {
                return network;
            }
        }
        panic!("no free addresses");
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host))
    }

    /// Returns an address with a free port.
    pub fn address(self, host: u8) -> SocketAddr {
        let listener = TcpListener::bind((self.ip(host), 0)).expect("there are free ports");
        listener.local_addr().expect("it is bound")
    }
}

/// An entry VM and its process.
pub struct Entry {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Entry {
    /// Writes the settings and starts the process. `bounds` are those of the site's sheet.
    pub fn start(
        network: Network,
        host: u8,
        (zone, region): (&str, &str),
        store: SocketAddr,
        bounds: &str,
        folder: &Path,
        ) -> Self {
        let name = format!("edge-{zone}-{host}");
        let (front, readiness) = (network.address(host), network.address(host));
        let (control, directory) = (network.address(host), network.address(host));
        // The first of 16 ports, of which this program uses one.
        let first = network.address(host).port().min(65_500);
        let text = format!(
            "{{\"NodeName\":\"{name}\",\"Role\":\"entry\",\"MachineClass\":\"edge\",\"Serves\":[\"edge\",\"registry\"],\"Ip\":\"{}\",\"Zone\":\"{zone}\",\"Region\":\"{region}\",\"Zones\":{{\"{zone}\":\"{region}\"}},\"Listen\":{{\"Front\":\"{front}\",\"Readiness\":\"{readiness}\",\"Control\":\"{control}\",\"Directory\":\"{directory}\"}},\"PortRange\":[{first},{}],\"Seeds\":[],\"Bootstrap\":true,\"InTolerance\":false,\"Limits\":{{\"CpuFraction\":0.25,\"Cores\":1,\"MemoryMb\":260,\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0}},\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"registry\",\"HeartbeatMs\":1200,\"Bounds\":{bounds},\"Platform\":{{\"Address\":\"{store}\",\"form\":\"objects\",\"WritesPerS\":400,\"ReadsPerS\":2000,\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}}}",
            network.ip(host),
            first + 15
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the folder can be written");
        let log = folder.join(format!("{name}.log"));
        let mut entry = Self { front, readiness, settings, log, child: None };
        entry.run();
        entry
    }

    fn run(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .envs(std::env::vars().filter(|(n, _)| ["PATH", "HOME", "LANG"].contains(&&**n)))
            .env("BULRUSHHOIST_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("the program is built"));
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Waits until the process has ended, as long as `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.as_mut()?.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = crate::http::connect(self.readiness) else {
            return false;
        };
        let request = "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        let deadline = Instant::now() + Duration::from_secs(1);
        crate::http::exchange(&mut stream, request, b"", deadline).status == 200
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
