//! Small deployments for tests and measurements of the dispatcher.

use std::net::SocketAddr;

use bulrushhoist_core::{
    DaemonPhase, DataCentreName, DataCentreService, Deployment, Dispatcher, DispatcherSettings,
    FencingNumber, Group, GroupNumber, GroupPhase, Incarnation, Member, MemberId, Register,
    RegisteredDaemon, ReplicaKey, ReplicaView, SourceFile, Standing, Time, WorkloadName,
    check_files,
};
use smallvec::SmallVec;

/// Far enough away for any run.
pub const FOREVER: Time = Time::from_micros(u64::MAX);

/// Returns a deployment from one file's text.
///
/// # Panics
///
/// If the text has problems: a fixture is always sound.
#[must_use]
pub fn deployment(text: &str) -> Deployment {
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
        composition: FencingNumber::new(1),
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
    dispatcher.router_mut().set_standing(Standing::Settled);
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
