//! Small deployments for tests and measurements of the dispatcher.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{
    DaemonPhase, DataCentreName, DataCentreService, Deployment, Dispatcher, DispatcherSettings,
    FencingToken, Fingerprint, Group, GroupNumber, GroupPhase, Incarnation, JoinState, Member,
    MemberId, NewRequest, Register, RegisteredDaemon, ReplicaKey, ReplicaView, RequestId,
    SourceFile, Time, WorkloadName, check_files,
};
use smallvec::SmallVec;

/// Far enough away for any run.
pub const FOREVER: Time = Time::from_micros(u64::MAX);
/// Factor that spreads the prompts of consecutive requests.
const PREFIX_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time within which a request must have started.
const PATIENCE: Duration = Duration::from_secs(1);

/// What a fixture declares: the model `bench` and the team `shop`.
#[derive(Clone, Copy, Debug)]
pub struct ModelFixture<'a> {
    /// VMs of each replica.
    pub vms: u32,
    /// Requests that a cold replica carries at a time.
    pub cold: u32,
    /// Requests that a warm replica carries at a time.
    pub warm: u32,
    /// Served requests after which a cold replica carries one more.
    pub ramp: u32,
    /// Replicas of each data centre.
    pub replicas: &'a [(&'a str, u32)],
    /// Requests of the team at a time.
    pub team_limit: u32,
}

impl ModelFixture<'_> {
    /// Returns the deployment.
    ///
    /// # Panics
    ///
    /// If a figure is out of bounds: a fixture is always sound.
    #[must_use]
    pub fn deployment(&self) -> Deployment {
        let Self {
            vms,
            cold,
            warm,
            ramp,
            replicas,
            team_limit,
        } = self;
        let data_centres: String = replicas
            .iter()
            .map(|(name, _)| {
                format!("[data-centres.{name}]\nregion = \"south\"\none-way-delay-us = 4000\n")
            })
            .collect();
        let counts: String = replicas
            .iter()
            .map(|(name, count)| format!("{name} = {count}\n"))
            .collect();
        let token = "0".repeat(64);
        deployment(&format!(
            "{data_centres}\
             [models.bench]\n\
             version = \"1\"\n\
             vms-per-replica = {vms}\n\
             cold-limit = {cold}\n\
             warm-limit = {warm}\n\
             ramp-requests = {ramp}\n\
             checks-fencing = true\n\
             [models.bench.replicas]\n\
             {counts}\
             [teams.shop]\n\
             max-in-flight = {team_limit}\n\
             token-sha256 = \"{token}\"\n"
        ))
    }
}

/// Returns a request of the team `shop` for the model `bench`, with a prompt of
/// its own.
#[must_use]
pub fn request(number: u64, now: Time) -> NewRequest {
    NewRequest {
        id: RequestId::from(u128::from(number)),
        team: name("shop"),
        workload: name("bench"),
        prefix: number.wrapping_mul(PREFIX_SPREAD),
        fingerprint: Fingerprint::new(number),
        deadline: now + PATIENCE,
        avoid: SmallVec::new(),
        forwardable: false,
    }
}

/// Returns a deployment from one file's text, which is always sound.
fn deployment(text: &str) -> Deployment {
    let files = [SourceFile {
        name: "fixture.toml".into(),
        text: text.into(),
    }];
    check_files(&files).expect("a fixture is sound")
}

/// Returns a name.
///
/// # Panics
///
/// If the text is no name: a fixture is always sound.
pub fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a fixture's names are sound")
}

/// Returns a replica of one VM.
#[must_use]
pub fn replica(workload: &WorkloadName, number: u64) -> Group {
    let member = Member {
        vm: name(&format!("v{number}")),
        address: address(1),
    };
    Group {
        number: GroupNumber(number),
        workload: workload.clone(),
        version: name("1"),
        domain: None,
        composition: FencingToken::new(1),
        members: SmallVec::from_iter([member]),
        phase: GroupPhase::Active,
        replacements: SmallVec::new(),
    }
}

/// Returns the record of a daemon.
#[must_use]
pub fn daemon(id: MemberId, data_centre: &DataCentreName) -> RegisteredDaemon {
    let address = address(u16::try_from(id.get()).unwrap_or(u16::MAX));
    RegisteredDaemon {
        id,
        incarnation: Incarnation::from(u128::from(id.get())),
        data_centre: data_centre.clone(),
        caller: address,
        peer: address,
        operator: address,
        phase: DaemonPhase::Active,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the dispatcher of an only entry, which may use every replica of
/// `groups` at once.
#[must_use]
pub fn dispatcher(
    deployment: &Deployment,
    settings: DispatcherSettings,
    home: &DataCentreName,
    groups: &[(DataCentreName, Group)],
) -> Dispatcher {
    let own = MemberId::new(1);
    let mut register = Register::default();
    register.insert(daemon(own, home));
    let mut dispatcher = Dispatcher::new(settings, own);
    dispatcher.router_mut().set_join_state(JoinState::Joined);
    dispatcher.set_fresh_until(FOREVER);
    let views = groups
        .iter()
        .map(|(data_centre, group)| ReplicaView { data_centre, group });
    let service = DataCentreService::default();
    dispatcher.reconfigure(deployment, &service, &register, home, views);
    for (data_centre, group) in groups {
        let key = ReplicaKey {
            data_centre: data_centre.clone(),
            number: group.number,
        };
        dispatcher.router_mut().set_serving(&key, Some(FOREVER));
    }
    dispatcher
}
