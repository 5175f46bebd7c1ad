//! Small deployments and dispatchers for tests and benchmarks.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{
    DaemonPhase, DataCentreName, DataCentreService, Deployment, Dispatcher, DispatcherSettings,
    FencingToken, Fingerprint, Group, GroupNumber, GroupPhase, Incarnation, JoinState, Member,
    MemberId, NewRequest, Register, RegisteredDaemon, ReplicaKey, ReplicaView, RequestId,
    SourceFile, Time, WorkloadName, check_files,
};
use smallvec::SmallVec;

/// Expiry time that no run reaches.
pub const NO_EXPIRY: Time = Time::from_micros(u64::MAX);
/// Multiplier that spreads the prompt hashes of consecutive requests.
const PREFIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time within which a request must be dispatched to a replica.
const START_TIMEOUT: Duration = Duration::from_secs(1);

/// Parameters of a deployment with the model `bench` and the team `shop`.
#[derive(Clone, Copy, Debug)]
pub struct ModelFixture<'a> {
    /// Number of VMs per replica.
    pub vms: u32,
    /// Maximum number of concurrent requests of a cold replica.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests of a warm replica.
    pub warm_limit: u32,
    /// Number of served requests that raise a cold replica's limit by one.
    pub ramp_requests: u32,
    /// Number of replicas in each data centre.
    pub replicas: &'a [(&'a str, u32)],
    /// Maximum number of concurrent requests of the team.
    pub team_limit: u32,
}

impl ModelFixture<'_> {
    /// Returns the deployment.
    ///
    /// # Panics
    ///
    /// Panics if a parameter is out of its bounds.
    #[must_use]
    pub fn deployment(&self) -> Deployment {
        let Self {
            vms,
            cold_limit,
            warm_limit,
            ramp_requests,
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
             cold-limit = {cold_limit}\n\
             warm-limit = {warm_limit}\n\
             ramp-requests = {ramp_requests}\n\
             checks-fencing = true\n\
             [models.bench.replicas]\n\
             {counts}\
             [teams.shop]\n\
             max-in-flight = {team_limit}\n\
             token-sha256 = \"{token}\"\n"
        ))
    }
}

/// Returns a request of the team `shop` for the model `bench`, whose prompt
/// differs for each `number`.
#[must_use]
pub fn request(number: u64, now: Time) -> NewRequest {
    NewRequest {
        id: RequestId::from(u128::from(number)),
        team: parse_name("shop"),
        workload: parse_name("bench"),
        prefix: number.wrapping_mul(PREFIX_MULTIPLIER),
        fingerprint: Fingerprint::new(number),
        deadline: now + START_TIMEOUT,
        avoid: SmallVec::new(),
        forwardable: false,
    }
}

/// Parses the text of a deployment file, which must be valid.
fn deployment(text: &str) -> Deployment {
    let files = [SourceFile {
        name: "fixture.toml".into(),
        text: text.into(),
    }];
    check_files(&files).expect("the fixture is a valid deployment")
}

/// Parses a name.
///
/// # Panics
///
/// Panics if `text` is not a valid name.
pub fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("the fixture's names are valid")
}

/// Returns an active group of one VM with this group number.
#[must_use]
pub fn replica(workload: &WorkloadName, number: u64) -> Group {
    let member = Member {
        vm: parse_name(&format!("v{number}")),
        address: address(1),
    };
    Group {
        number: GroupNumber(number),
        workload: workload.clone(),
        version: parse_name("1"),
        domain: None,
        composition: FencingToken::new(1),
        members: SmallVec::from_iter([member]),
        phase: GroupPhase::Active,
        replacements: SmallVec::new(),
    }
}

/// Returns the register entry of an active daemon.
#[must_use]
pub fn daemon(id: MemberId, data_centre: &DataCentreName) -> RegisteredDaemon {
    let address = address(u16::try_from(id.get()).unwrap_or(u16::MAX));
    RegisteredDaemon {
        id,
        incarnation: Incarnation::from(u128::from(id.get())),
        data_centre: data_centre.clone(),
        caller_address: address,
        peer_address: address,
        operator_address: address,
        phase: DaemonPhase::Active,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the dispatcher of the only entry, to which every replica of `groups`
/// is available.
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
    dispatcher.set_fresh_until(NO_EXPIRY);
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
        dispatcher.router_mut().set_serving(&key, Some(NO_EXPIRY));
    }
    dispatcher
}
