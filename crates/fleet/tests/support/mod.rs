//! Builders of test values.
#![allow(dead_code)]

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    CallKind, CallerLimits, Endpoint, EndpointPhase, Engine, GroupMembership, GroupState, Model,
    Name, Route, Service, Target,
};
use smallvec::{SmallVec, smallvec};

pub(crate) fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub(crate) fn engine() -> Engine {
    Engine {
        slots: 8,
        kv_cache_tokens: 100_000,
        stride: 5,
        step_ms: 6.0,
        per_seq_ms: 0.25,
        prefill_per_s: 46_000.0,
        prefill_chunk: 2_048,
        attention_ms: 0.7,
        typical_prompt: 1_000.0,
        report_lag: Duration::from_millis(200),
        loads_per_s: 4.0,
        max_concurrent_loads: 6,
        max_staged: 1,
        cross_domain_factor: 2.5,
        open_time: Duration::from_millis(300),
        models: vec![model("large", 4, 0.67), model("small", 2, 0.33)],
    }
}

pub(crate) fn model(name: &str, group_size: usize, share: f64) -> Model {
    Model {
        name: name.into(),
        group_size,
        time_factor: 1.0,
        share,
        load_time: Duration::from_secs(16),
        warm_load_time: Duration::from_millis(1_600),
    }
}

pub(crate) fn service() -> Service {
    Service {
        name: "engines".into(),
        health_path: "/healthz".to_owned(),
        max_connections: 100,
        cold_per_s: 26.0,
        engine: Some(engine()),
    }
}

pub(crate) fn endpoint(id: &str, domain: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        incarnation: 1,
        sequence: 0,
        service: "engines".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-a".into(),
        domain: domain.into(),
        phase: EndpointPhase::Ready,
        slots: 8,
        cold_remaining: Duration::ZERO,
        staged: SmallVec::new(),
        model: None,
        membership: None,
    }
}

pub(crate) fn member(
    group: &str,
    epoch: u64,
    rank: u32,
    state: GroupState,
) -> Option<GroupMembership> {
    Some(GroupMembership {
        group: group.into(),
        epoch,
        rank,
        state,
    })
}

pub(crate) fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.to_owned(),
        kind: CallKind::Safe,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(300),
        gap_objective: Duration::ZERO,
        priority: 1,
        targets: smallvec![Target {
            service: Name::from(service),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        resumable: false,
        regions: SmallVec::new(),
    }
}

pub(crate) fn limits() -> CallerLimits {
    CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}
