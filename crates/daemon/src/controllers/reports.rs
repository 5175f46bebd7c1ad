//! Shares the results of endpoint probes between daemons.
//!
//! Each group is probed by two daemons on behalf of all. The others pull reports from
//! them, so that not every entry probes every VM. A report is dated on the receiver's
//! clock: the time at which the query was sent, less the age in the reply. Delays and
//! pauses can therefore only shorten the time for which the report counts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{
    DataCentreName, FencingToken, GroupNumber, LoadReport, MemberId, ProbeTarget, RelayedEvidence,
    ReplicaKey, Revision, ShareStatement, Time,
};
use bulrushhoist_wire::peer;
use bulrushhoist_wire::peer::peer_client::PeerClient;
use prost::Message as _;

use super::gossip::request;
use crate::node::{Core, Node, replica_key};
use crate::view::View;

/// Pulls reports from half of the live daemons at each interval, alternating halves,
/// so that the two probers of a group are asked at different times.
pub(super) async fn run(node: Arc<Node>) {
    let mut interval = tokio::time::interval(node.settings.timing.probe_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut half = 0;
    loop {
        interval.tick().await;
        half = 1 - half;
        let mut others = node.core().membership.live();
        others.sort_unstable_by_key(|o| o.member);
        for other in others.into_iter().skip(half).step_by(2) {
            tokio::spawn(pull_reports(Arc::clone(&node), other));
        }
    }
}

/// Pulls the reports of one daemon and records them with its share statement.
pub(super) async fn pull_reports(node: Arc<Node>, target: ProbeTarget) {
    let Some(channel) = node.peers.get(&node, target) else {
        return;
    };
    let sent = node.now();
    let query = request(&node, peer::ReportQuery {});
    let Ok(reply) = PeerClient::new(channel).pull_reports(query).await else {
        return;
    };
    let reply = reply.into_inner();
    if let Some(statement) = reply.shares {
        let sender = MemberId::new(statement.sender);
        node.record_statement(sender, from_wire(statement));
    }
    for reports in reply.data_centres {
        let Ok(data_centre) = reports.data_centre.parse::<DataCentreName>() else {
            continue;
        };
        for report in &reports.groups {
            let number = GroupNumber(report.number);
            let key = ReplicaKey {
                data_centre: data_centre.clone(),
                number,
            };
            record_report(&node, sent, &key, report);
        }
    }
}

fn from_wire(statement: peer::ShareStatement) -> ShareStatement {
    let replica = |id: peer::ReplicaId| {
        Some(ReplicaKey {
            data_centre: id.data_centre.parse().ok()?,
            number: GroupNumber(id.number),
        })
    };
    ShareStatement {
        register: Revision::new(statement.register),
        over_share: statement.beyond.into_iter().filter_map(replica).collect(),
    }
}

/// Builds this daemon's statement about its requests in flight: the register by which
/// it divides limits, and the replicas at which it exceeds its share.
fn share_statement(node: &Node, core: &Core, view: &View) -> peer::ShareStatement {
    let replica = |key: ReplicaKey| peer::ReplicaId {
        data_centre: key.data_centre.to_string(),
        number: key.number.0,
    };
    let over_share = core.dispatcher.over_share();
    peer::ShareStatement {
        sender: node.id.get(),
        register: view.register_revision.get(),
        beyond: over_share.into_iter().map(replica).collect(),
    }
}

/// Records one group's report, dated by the sending of the query.
fn record_report(node: &Node, sent: Time, key: &ReplicaKey, report: &peer::GroupReport) {
    let evidence = RelayedEvidence {
        composition: FencingToken::new(report.composition),
        as_of: sent - Duration::from_micros(report.age_us),
    };
    let load = LoadReport {
        epoch: report.epoch,
        served: report.served,
        running: report.running,
    };
    let load_as_of = sent - Duration::from_micros(report.load_age_us);
    node.record_relayed_report(key, evidence, load_as_of, load);
}

/// Builds the reports from this daemon's own probes, with its share statement.
///
/// Groups without current evidence of serving are left out.
pub(super) fn own_reports(node: &Node) -> peer::GroupReports {
    let view = node.view();
    let core = node.core();
    let now = node.now();
    let ttl = node.settings.timing.evidence_ttl;
    let mut by_data_centre: BTreeMap<&str, Vec<peer::GroupReport>> = BTreeMap::new();
    for (allocation, group) in view.groups() {
        if !view.is_probed(&replica_key(allocation, group)) {
            continue;
        }
        let Ok(until) = core.evidence.serving_until(now, group) else {
            continue;
        };
        let leader = group
            .members
            .first()
            .and_then(|m| core.evidence.latest(&m.vm));
        let Some((leader_sent, status)) = leader else {
            continue;
        };
        // `until` is the date of the evidence plus its TTL.
        let age = (now + ttl).since(until);
        let load = LoadReport::from(status);
        let reports = by_data_centre
            .entry(allocation.data_centre.as_str())
            .or_default();
        reports.push(peer::GroupReport {
            number: group.number.0,
            composition: group.composition.get(),
            age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            epoch: load.epoch,
            served: load.served,
            running: load.running,
            load_age_us: u64::try_from(now.since(leader_sent).as_micros()).unwrap_or(u64::MAX),
        });
    }
    let data_centres = by_data_centre
        .into_iter()
        .map(|(name, groups)| peer::DataCentreReports {
            data_centre: name.to_owned(),
            groups,
        })
        .collect();
    let reports = peer::GroupReports {
        data_centres,
        shares: Some(share_statement(node, &core, &view)),
    };
    node.metrics.on_peer_bytes(reports.encoded_len());
    reports
}
