//! Start and planned stop of the process.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_fleet::StopPlan;
use derive_more::{Display, From};
use slog::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

use crate::dialect::{Dialect, ObjectKind};
use crate::node::Node;
use crate::peers;
use crate::serve::{self, ListenerRole, StopPhase};
use crate::settings::ReadSettings;
use crate::start::{self, Sockets};
use crate::state::Phase;
use crate::{endpoint_contact, groups, records, sync};

/// Interval at which the queues and idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the shares of limits are set anew.
const LIMIT_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Number of messages that announce a stop to the peers, since datagrams may be lost.
const STOP_MESSAGES: usize = 3;

/// Why the process could not start.
#[derive(Debug, Display, From)]
pub enum StartError {
    /// A socket, the runtime or a signal handler could not be set up.
    #[display("cannot listen: {_0}")]
    Io(io::Error),
    /// The metrics could not be set up.
    #[display("cannot measure: {_0}")]
    Metrics(prometheus::Error),
    /// There are no settings that can be used.
    #[display("{_0}")]
    Settings(String),
}

/// The signals that the process obeys.
struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs an entry until it receives SIGTERM and has finished its requests, or until the
/// grace period ends.
///
/// # Errors
///
/// [`StartError`] if it cannot start.
pub fn run(read_settings: ReadSettings, dialect: Rc<dyn Dialect>) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        // First of all, since a signal without a handler ends the process.
        let mut signals = Signals::new()?;
        let (node, sockets) = tokio::select! {
            _ = signals.terminate.recv() => return Ok(()),
            started = start::start(read_settings, dialect) => started?,
        };
        serve(signals, node, sockets, read_settings).await
    })
}

async fn serve(
    mut signals: Signals,
    node: Rc<Node>,
    sockets: Sockets,
    read_settings: ReadSettings,
) -> Result<(), StartError> {
    let socket = Rc::new(sockets.peers);
    let listen = &node.settings.listen;
    info!(node.log, "started"; "version" => env!("CARGO_PKG_VERSION"), "front" => %listen.callers, "incarnation" => socket.incarnation());
    let (stop, stopping) = watch::channel(StopPhase::Open);
    let local = sockets.local.into_iter().map(|l| (l, ListenerRole::Local));
    let metrics = sockets.metrics.map(|l| (l, ListenerRole::Metrics));
    let others = local
        .chain(metrics)
        .chain([(sockets.relay, ListenerRole::Relay)]);
    // Each of these stays open until the process ends, and holds a receiver of the stop phase.
    let mut other_listeners = 0;
    for (listener, role) in others {
        other_listeners += 1;
        spawn_local(serve::accept(
            node.clone(),
            listener,
            role,
            stopping.clone(),
        ));
    }
    let accepting = spawn_local(serve::accept(
        node.clone(),
        sockets.callers,
        ListenerRole::Callers,
        stopping,
    ));
    for kind in ObjectKind::FOLLOWED {
        spawn_local(sync::follow(node.clone(), kind));
    }
    spawn_local(records::keep_registered(node.clone()));
    spawn_local(peers::publish_periodically(node.clone(), socket.clone()));
    spawn_local(peers::listen(node.clone(), socket.clone()));
    spawn_local(groups::plan_groups(node.clone()));
    spawn_local(endpoint_contact::find_endpoints(node.clone()));
    spawn_local(sweep(node.clone()));
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => reload_settings(&node, read_settings),
        }
    }
    // The settings may have changed without a signal.
    reload_settings(&node, read_settings);
    let grace = node.bounds.get().grace;
    info!(node.log, "stopping"; "grace_ms" => grace.as_millis() as u64);
    let since = node.now();
    node.state.borrow_mut().phase = Phase::Leaving { since };
    for _ in 0..STOP_MESSAGES {
        socket.publish(&node);
    }
    let plan = StopPlan::within(grace);
    tokio::time::sleep_until(node.clock.instant(since + plan.close)).await;
    // Fails only if no connection is open.
    let _ = stop.send(StopPhase::Finishing);
    tokio::time::sleep_until(node.clock.instant(since + plan.last_accept)).await;
    accepting.abort();
    let open = || stop.receiver_count().saturating_sub(other_listeners);
    while open() > 0 && node.now() < since + plan.exit {
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
    let cut_off = open();
    info!(node.log, "stopped"; "cut_off" => cut_off);
    Ok(())
}

/// Reads the settings again. They are used only if all of them are valid.
fn reload_settings(node: &Node, read_settings: ReadSettings) {
    match read_settings() {
        Ok(new) => {
            let restart_needed = node.settings.restart_needed(&new).join(",");
            info!(node.log, "settings reloaded"; "changed" => node.bounds.get() != new.bounds, "after_restart" => restart_needed);
            node.bounds.set(new.bounds);
        }
        Err(error) => {
            warn!(node.log, "settings not usable, the last ones stay in force"; "cause" => error);
        }
    }
}

/// Advances the queues, closes idle connections and completes pending removals of
/// endpoints, at a fixed interval.
async fn sweep(node: Rc<Node>) {
    let mut paused = 0;
    let mut limits_refreshed = node.now();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = node.now();
        if now.since(limits_refreshed) >= LIMIT_REFRESH_INTERVAL {
            limits_refreshed = now;
            let mut state = node.state.borrow_mut();
            state.refresh_limits(now);
            let count = state.limits.count();
            drop(state);
            node.metrics.set_limited(count);
        }
        node.advance_queues();
        for (used, count) in node.state.borrow_mut().sends_by_use.take() {
            node.metrics.on_sends(used, count);
        }
        node.pool.sweep(now);
        let count = node.state.borrow().pauses.count(now);
        if count != paused {
            paused = count;
            node.metrics.set_paused(count);
        }
        records::settle_evacuated(&node, now);
        let gone = node.state.borrow_mut().roster.apply_removals(now);
        for id in gone {
            info!(node.log, "endpoint gone after the store's return"; "endpoint" => &*id);
            node.pool.drop_endpoint(&id);
            node.planner_wake.notify_one();
        }
    }
}
