//! State and request execution of one endpoint stand-in.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bulrushhoist_core::{Answer, Order, RequestId, VmPhase, VmRecord, VmStatus};
use bulrushhoist_engine::OrderReply;
use bulrushhoist_oracle::{OrderResult, apply_order, reset_status};
use bytes::Bytes;
use tokio::sync::watch;

use super::ledger::Ledger;
use super::model::EndpointSettings;

/// Text in a body that crashes the endpoint that runs the request.
const POISON: &[u8] = b"poison";

/// A running or ended stream, which can be read again from any part.
#[derive(Clone)]
pub(super) struct Stream {
    pub(super) body: Bytes,
    pub(super) parts: u64,
    pub(super) progress: watch::Receiver<Progress>,
}

/// Progress of a stream: the number of its parts so far, or its crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    Parts(u64),
    Crashed,
}

#[derive(Clone)]
pub(super) enum CallState {
    Running,
    Done(Answer),
}

pub(super) enum CallOutcome {
    Answered(Answer),
    /// The endpoint refused the call without running it.
    Refused,
    /// The endpoint crashed while it ran the call.
    Crashed,
}

pub(super) struct VmState {
    status: VmStatus,
    streams: HashMap<RequestId, Stream>,
    calls: HashMap<RequestId, CallState>,
}

/// One endpoint stand-in.
pub(super) struct Vm {
    pub(super) record: Mutex<VmRecord>,
    settings: EndpointSettings,
    ledger: Arc<Ledger>,
    state: Mutex<VmState>,
    running: AtomicU32,
    /// Factor on the time between parts, which [`Vm::set_part_slowdown`] sets.
    part_slowdown: AtomicU32,
    /// Changes with each crash, which ends the streams of earlier epochs.
    epoch: watch::Sender<u64>,
}

impl Vm {
    pub(super) fn new(
        record: VmRecord,
        settings: EndpointSettings,
        ledger: Arc<Ledger>,
    ) -> Arc<Self> {
        let status = VmStatus::started(record.vm.clone());
        let state = VmState {
            status,
            streams: HashMap::new(),
            calls: HashMap::new(),
        };
        Arc::new(Self {
            record: Mutex::new(record),
            settings,
            ledger,
            state: Mutex::new(state),
            running: AtomicU32::new(0),
            part_slowdown: AtomicU32::new(1),
            epoch: watch::Sender::new(1),
        })
    }

    fn state(&self) -> MutexGuard<'_, VmState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    pub(super) fn record(&self) -> VmRecord {
        self.record
            .lock()
            .expect("no thread panics while it holds the lock")
            .clone()
    }

    pub(super) fn status(&self) -> VmStatus {
        let running = self.running.load(Ordering::Relaxed);
        VmStatus {
            running,
            ..self.state().status.clone()
        }
    }

    pub(super) fn epoch_changes(&self) -> watch::Receiver<u64> {
        self.epoch.subscribe()
    }

    /// Resets the endpoint to a restarted process: streams and calls are lost.
    pub(super) fn crash(&self) {
        let mut state = self.state();
        reset_status(&mut state.status);
        state.streams.clear();
        state.calls.clear();
        let epoch = state.status.epoch;
        drop(state);
        self.running.store(0, Ordering::Relaxed);
        self.epoch.send_replace(epoch);
    }

    /// Turns the endpoint cold without a new epoch, so that only its count of served
    /// requests and its speed show it.
    pub(super) fn turn_cold(&self) {
        self.state().status.served = 0;
    }

    /// Sets the factor by which the time between parts is lengthened.
    pub(super) fn set_part_slowdown(&self, factor: u32) {
        self.part_slowdown.store(factor, Ordering::Relaxed);
    }

    /// Applies an order and loads weights in the background if it asks for that.
    pub(super) fn handle_order(self: &Arc<Self>, order: &Order) -> OrderReply {
        let mut state = self.state();
        match apply_order(&mut state.status, order, self.settings.fencing) {
            OrderResult::Refused(highest) => return OrderReply::Fenced { highest },
            OrderResult::Loading => {
                tokio::spawn(Arc::clone(self).finish_load(state.status.epoch));
            }
            OrderResult::Applied => {}
        }
        OrderReply::Accepted
    }

    async fn finish_load(self: Arc<Self>, epoch: u64) {
        tokio::time::sleep(self.settings.load_time).await;
        let mut state = self.state();
        if state.status.epoch == epoch && state.status.phase == VmPhase::Loading {
            state.status.phase = VmPhase::Preloaded;
        }
    }

    /// Admits one more request and returns how many run, or refuses it.
    ///
    /// Only the ready leader of a group admits requests. The endpoint crashes if
    /// it runs more than [`EndpointSettings::crash_factor`] times its limit.
    fn admit(&self) -> Option<u32> {
        let status = self.status();
        if status.phase != VmPhase::Ready || status.rank != 0 {
            return None;
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        if running > self.settings.concurrency_limit(status.served) * self.settings.crash_factor {
            self.crash();
            return None;
        }
        Some(running)
    }

    /// Ends a request that started in `epoch` and counts it as served, unless the
    /// endpoint has crashed since.
    fn finish(&self, epoch: u64) {
        let mut state = self.state();
        if state.status.epoch == epoch {
            state.status.served += 1;
            self.running.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Lengthens a delay by the slowdown under the current load.
    fn scaled_delay(&self, unloaded: Duration) -> Duration {
        let status = self.status();
        unloaded.mul_f64(self.settings.slowdown(status.running, status.served))
    }

    /// Starts a stream, or returns the existing one with this request id; `None`
    /// means that the request was refused.
    pub(super) fn start_stream(
        self: &Arc<Self>,
        id: RequestId,
        body: &Bytes,
        parts: u64,
    ) -> Option<Stream> {
        if let Some(stream) = self.stream(id) {
            return Some(stream);
        }
        self.admit()?;
        let (sender, progress) = watch::channel(Progress::Parts(0));
        let stream = Stream {
            body: body.clone(),
            parts,
            progress,
        };
        let mut state = self.state();
        state.streams.insert(id, stream.clone());
        let epoch = state.status.epoch;
        drop(state);
        tokio::spawn(Arc::clone(self).produce_parts(id, stream.clone(), sender, epoch));
        Some(stream)
    }

    pub(super) fn stream(&self, id: RequestId) -> Option<Stream> {
        self.state().streams.get(&id).cloned()
    }

    pub(super) fn cancel_stream(&self, id: RequestId) {
        self.state().streams.remove(&id);
    }

    /// Produces the parts of a stream until it is complete, cancelled or crashed.
    async fn produce_parts(
        self: Arc<Self>,
        id: RequestId,
        stream: Stream,
        sender: watch::Sender<Progress>,
        epoch: u64,
    ) {
        let poison = stream.body.windows(POISON.len()).any(|w| w == POISON);
        let mut wait = self.scaled_delay(self.settings.first_part);
        for produced in 1..=stream.parts {
            tokio::time::sleep(wait).await;
            if poison && self.status().epoch == epoch {
                self.crash();
            }
            if self.status().epoch != epoch {
                sender.send_replace(Progress::Crashed);
                return;
            }
            if self.stream(id).is_none() {
                self.finish(epoch);
                return;
            }
            sender.send_replace(Progress::Parts(produced));
            let part_slowdown = self.part_slowdown.load(Ordering::Relaxed);
            wait = self.scaled_delay(self.settings.part_gap) * part_slowdown;
        }
        self.finish(epoch);
        // An ended stream can still be resumed for a while.
        tokio::time::sleep(Duration::from_secs(30)).await;
        self.cancel_stream(id);
    }

    /// Runs a call to a plain service and keeps its answer.
    pub(super) async fn call(&self, id: RequestId, body: &Bytes) -> CallOutcome {
        if self.admit().is_none() {
            return CallOutcome::Refused;
        }
        self.ledger.execute(body);
        let epoch = {
            let mut state = self.state();
            state.calls.insert(id, CallState::Running);
            state.status.epoch
        };
        tokio::time::sleep(self.scaled_delay(self.settings.call_time)).await;
        let text = String::from_utf8_lossy(body);
        let answer = Answer {
            status: 200,
            content_type: Some("application/json".into()),
            body: serde_json::json!({ "request": id, "done": text })
                .to_string()
                .into_bytes(),
        };
        let mut state = self.state();
        if state.status.epoch != epoch {
            return CallOutcome::Crashed;
        }
        state.calls.insert(id, CallState::Done(answer.clone()));
        drop(state);
        self.finish(epoch);
        CallOutcome::Answered(answer)
    }

    pub(super) fn call_state(&self, id: RequestId) -> Option<CallState> {
        self.state().calls.get(&id).cloned()
    }
}
