//! Small deployments with the figures of the users' sheets: two entry VMs, and a few replicas
//! whose groups have two members.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::consumer::{HOST, KEY, Kind};
use crate::entry::{Entry, Network};
use crate::record::Record;
use crate::replica::{Fleet, Setup};
use crate::store::Store;

pub const MODEL: &str = "daka510000";

/// What a case takes from the sheet of a site.
pub struct Sheet {
    zone: &'static str,
    region: &'static str,
    /// The bounds.
    bounds: &'static str,
    /// The engine, with groups of two.
    engine: &'static str,
    slots: usize,
    /// Time between two events at a full head.
    pass: Duration,
    /// Whether there is a plain service, `counter-app` with three replicas, and its route.
    plain: bool,
    /// Routes to the model: kind of request, objective and longest gap in ms.
    routes: &'static [(Kind, u32, u32)],
}

/// `log-chat` of `karnlogg-grown`.
pub const CHAT: Kind =
    Kind { path: "/pufi791/", tokens: "674,217", deadline: Duration::from_millis(5_000) };
/// `interval-describe` of `karnlogg-grown`.
pub const DESCRIBE: Kind =
    Kind { path: "/lohu930/", tokens: "1420,175", deadline: Duration::from_millis(8_000) };
/// `estimate-draft` of `cupwright`.
pub const ESTIMATE: Kind =
    Kind { path: "/lohu930/", tokens: "1420,135", deadline: Duration::from_millis(8_000) };

/// `deposit-post` of `cupwright`, an unsafe request. It works for 15 ms in the mean and 110 ms
/// at most.
pub const DEPOSIT_PATH: &str = "/puxa403/";
pub const DEPOSIT_TIMEOUT: Duration = Duration::from_millis(600);
const DEPOSIT_WORK: Duration = Duration::from_millis(60);

/// The sheet of `karnlogg-grown`. A pass is 7 steps of 5.95 ms and 30 times 0.0445 ms.
pub const KARNLOGG: Sheet = Sheet {
    zone: "norr-a",
    region: "norr",
    bounds: "{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":4000,\"AckMs\":6000,\"CatchUpS\":6,\"DrainMs\":3000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigMs\":3000,\"DowngradeMs\":250,\"PartitionMs\":6000,\"FailClosed\":false,\"RevokeMs\":5000,\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":276,\"ColdOvershoot\":1.5,\"ColdSlack\":5,\"EvacuateMs\":5000,\"RecoverS\":15,\"PassMs\":200,\"RetryAfterS\":0,\"StallMs\":4000,\"Fencing\":false,\"CeilingWindowS\":5,\"CeilingOvershoot\":1.1,\"ttl_max_s\":5}",
    engine: "{\"Slots\":30,\"KvCapacity\":1590000,\"KvBytes\":327680,\"LinkMbps\":400000.0,\"Stride\":7,\"Models\":[{\"Name\":\"daka510000\",\"size\":2,\"Share\":1.0,\"pace\":1.0,\"LoadS\":16.0,\"WarmS\":1.6}],\"step_ms\":5.95,\"per_seq_ms\":0.0445,\"context_per_k\":0.00813,\"read_per_s\":50700.0,\"pairs_per_m\":0.368,\"chunk\":2048,\"report_lag_ms\":200.0,\"LoadsPerS\":18.0,\"loads_at_once\":27,\"delays\":[],\"usual\":{\"prompt\":850,\"answer\":204},\"Keeps\":1,\"far_x\":3.0,\"FormMs\":300.0}",
    slots: 30,
    pass: Duration::from_millis(51),
    plain: false,
    routes: &[(CHAT, 250, 200), (DESCRIBE, 300, 300)],
};

/// The sheet of `cupwright`. A pass is 5 steps of 6.07 ms and 26 times 0.241 ms.
pub const CUPWRIGHT: Sheet = Sheet {
    zone: "southeast-a",
    region: "southeast",
    bounds: "{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckMs\":4000,\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigMs\":2000,\"DowngradeMs\":250,\"PartitionMs\":5000,\"FailClosed\":false,\"RevokeMs\":5000,\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":132,\"ColdOvershoot\":1.5,\"ColdSlack\":5,\"EvacuateMs\":5000,\"RecoverS\":12,\"PassMs\":120,\"RetryAfterS\":0,\"StallMs\":4000,\"Fencing\":false,\"CeilingWindowS\":5,\"CeilingOvershoot\":1.1,\"ttl_max_s\":5}",
    engine: "{\"Slots\":26,\"KvCapacity\":1400000,\"KvBytes\":35136,\"LinkMbps\":400000.0,\"Stride\":5,\"Models\":[{\"Name\":\"daka510000\",\"size\":2,\"Share\":1.0,\"pace\":1.0,\"LoadS\":12.0,\"WarmS\":1.1}],\"step_ms\":6.07,\"per_seq_ms\":0.241,\"context_per_k\":0.00488,\"read_per_s\":46000.0,\"pairs_per_m\":0.7,\"chunk\":2048,\"report_lag_ms\":200.0,\"LoadsPerS\":4.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":1076,\"answer\":116},\"Keeps\":1,\"far_x\":2.5,\"FormMs\":300.0}",
    slots: 26,
    pass: Duration::from_millis(62),
    plain: true,
    routes: &[(ESTIMATE, 500, 300)],
};

impl Sheet {
    fn manifest(&self) -> String {
        let routes = self.routes.iter().enumerate().map(|(number, (kind, slo, gap))| {
            format!(
                "{{\"Name\":\"r-{number}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{}\",\"Type\":\"streaming\",\"TimeoutMs\":{},\"SloMs\":{slo},\"Priority\":1,\"Service\":\"model\",\"MaxAttempts\":2,\"Public\":false,\"SessionAffinity\":true,\"StreamResume\":true,\"GapTargetMs\":{gap}}}",
                kind.path,
                kind.deadline.as_millis()
            )
        });
        let mut routes: Vec<String> = routes.collect();
        let mut services = vec![format!(
            "{{\"Name\":\"model\",\"HealthPath\":\"/healthz\",\"MaxConnections\":334,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"Engine\":{}}}",
            self.engine
        )];
        if self.plain {
            routes.push(format!(
                "{{\"Name\":\"r-deposit\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{DEPOSIT_PATH}\",\"Type\":\"unsafe\",\"TimeoutMs\":{},\"SloMs\":120,\"Priority\":2,\"Service\":\"counter-app\",\"MaxAttempts\":1,\"Public\":false}}",
                DEPOSIT_TIMEOUT.as_millis()
            ));
            services.push("{\"Name\":\"counter-app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}".into());
        }
        format!(
            "{{\"Version\":7,\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
            routes.join(","),
            services.join(",")
        )
    }
}

/// The deployment while a case runs. Its processes end with it.
pub struct Site {
    pub entries: Vec<Entry>,
    pub fleet: Fleet,
    pub store: Store,
    folder: PathBuf,
}

impl Site {
    /// Starts everything, and waits until `groups` groups are open and the entries are ready.
    pub fn start(
        record: &Record,
        sheet: &Sheet,
        (replicas, per_domain): (usize, usize),
        groups: usize,
        during_start: impl FnOnce(&Fleet, &Store),
    ) -> Result<Self, String> {
        let network = Network::free();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let store_address: SocketAddr = network.address(3);
        let store = Store::start(store_address);
        store.put("config", "main", &sheet.manifest());
        let fleet = Fleet::new(store.clone(), record.clone());
        for number in 0..replicas {
            fleet.start(Setup {
                id: format!("i-{number}"),
                service: "model".into(),
                address: network.address(4),
                zone: sheet.zone.into(),
                domain: format!("d{}", number / per_domain),
                slots: sheet.slots,
                engine: true,
                pace: sheet.pass,
                load: Duration::from_millis(1_600),
            });
        }
        for number in 0..if sheet.plain { 3 } else { 0 } {
            fleet.start(Setup {
                id: format!("i-counter-{number}"),
                service: "counter-app".into(),
                address: network.address(4),
                zone: sheet.zone.into(),
                domain: String::new(),
                slots: 6,
                engine: false,
                pace: DEPOSIT_WORK,
                load: Duration::ZERO,
            });
        }
        let place = (sheet.zone, sheet.region);
        let start = |host| Entry::start(network, host, place, store_address, sheet.bounds, &folder);
        let entries = vec![start(1), start(2)];
        let site = Self { entries, fleet, store, folder: folder.clone() };
        during_start(&site.fleet, &site.store);
        let limit = Instant::now() + Duration::from_secs(20);
        while site.fleet.open_groups() < groups || !site.entries.iter().all(Entry::is_ready) {
            if Instant::now() >= limit {
                return Err("the groups did not open or an entry isn't ready".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line("the groups are open and both entries are ready");
        // From here on every entry knows of the groups, and of the other entry.
        std::thread::sleep(Duration::from_secs(2));
        Ok(site)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}
