//! Start and planned stop of the process.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, From};
use slog::{Logger, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

use crate::dialect::{Dialect, ObjectKind};
use crate::metrics::Metrics;
use crate::node::{Node, STOP_MARGIN};
use crate::peers::{self, PeerSocket};
use crate::serve::{self, Port, Stop};
use crate::settings::Settings;
use crate::state::Phase;
use crate::{groups, sync};

/// Time between two looks at the lines and idle connections.
const SWEEP: Duration = Duration::from_millis(50);
/// Time after the signal to stop during which connections are kept: callers that
/// hold an older directory answer go on using them.
const KEEP_OPEN: Duration = Duration::from_millis(3_500);

/// Messages that tell the other entries of a stop; datagrams may be lost.
const STOP_NOTICES: usize = 3;

/// Listeners that stay open until the end; each holds a receiver of the stop.
const LISTENERS_LEFT: usize = 4;

/// Why the process couldn't start.
#[derive(Debug, Display, From)]
pub enum StartError {
    /// A socket couldn't be opened.
    #[display("cannot listen: {_0}")]
    Io(io::Error),
    /// The metrics couldn't be set up.
    #[display("cannot measure: {_0}")]
    Metrics(prometheus::Error),
}

/// Runs an entry until it has been told to stop and has finished its requests.
///
/// # Errors
///
/// [`StartError`] if it can't start.
pub fn run(settings: Settings, dialect: Rc<dyn Dialect>, log: Logger) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(settings, dialect, log))
}

async fn serve(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    log: Logger,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let incarnation: u64 = rand::random();
    let listen = settings.listen.clone();
    let grace = settings.bounds.grace;
    let node = Rc::new(Node::new(settings, dialect, log, Metrics::new()?));
    info!(node.log, "started"; "version" => env!("CARGO_PKG_VERSION"), "front" => %listen.front, "incarnation" => incarnation);
    let socket = Rc::new(PeerSocket::bind(listen.peers, incarnation).await?);
    let (stop, stopping) = watch::channel(Stop::Open);
    let mut own = vec![listen.readiness];
    if listen.directory != listen.readiness {
        own.push(listen.directory);
    }
    for address in own {
        let listener = serve::listen(address)?;
        spawn_local(serve::accept(
            node.clone(),
            listener,
            Port::Own,
            stopping.clone(),
        ));
    }
    match serve::listen(listen.metrics) {
        Ok(listener) => {
            let serving = serve::accept(node.clone(), listener, Port::Metrics, stopping.clone());
            spawn_local(serving);
        }
        Err(error) => warn!(node.log, "metrics not served"; "cause" => %error),
    }
    let listener = serve::listen(listen.peers)?;
    spawn_local(serve::accept(
        node.clone(),
        listener,
        Port::Relay,
        stopping.clone(),
    ));
    let listener = serve::listen(listen.front)?;
    let accepting = spawn_local(serve::accept(node.clone(), listener, Port::Front, stopping));
    for kind in ObjectKind::FOLLOWED {
        spawn_local(sync::follow(node.clone(), socket.clone(), kind));
    }
    spawn_local(sync::register(node.clone()));
    spawn_local(peers::publish_regularly(node.clone(), socket.clone()));
    spawn_local(peers::listen(node.clone(), socket.clone()));
    spawn_local(groups::plan_groups(node.clone()));
    spawn_local(sweep(node.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => info!(node.log, "settings unchanged in force until the next start"),
        }
    }
    info!(node.log, "stopping"; "grace_ms" => grace.as_millis() as u64);
    let since = node.now();
    node.state.borrow_mut().phase = Phase::Leaving { since };
    for _ in 0..STOP_NOTICES {
        socket.publish(&node);
    }
    tokio::time::sleep(KEEP_OPEN.min(grace / 2)).await;
    // Fails only if every connection has ended.
    let _ = stop.send(Stop::Finish);
    let end = tokio::time::Instant::now() + grace.saturating_sub(KEEP_OPEN + STOP_MARGIN);
    let refuse_from = end - grace.mul_f64(0.15).min(Duration::from_secs(1));
    tokio::time::sleep_until(refuse_from).await;
    accepting.abort();
    while stop.receiver_count() > LISTENERS_LEFT && tokio::time::Instant::now() < end {
        tokio::time::sleep(SWEEP).await;
    }
    let cut_off = stop.receiver_count().saturating_sub(LISTENERS_LEFT);
    info!(node.log, "stopped"; "cut_off" => cut_off);
    Ok(())
}

/// Moves lines on and closes idle connections.
async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        node.advance_lines();
        let now = node.now();
        node.links.sweep(now);
        let gone = node.state.borrow_mut().roster.apply_removals(now);
        for id in gone {
            info!(node.log, "endpoint gone after the store's return"; "endpoint" => &*id);
            node.links.drop_endpoint(&id);
            node.planner_wake.notify_one();
        }
    }
}
