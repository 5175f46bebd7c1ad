//! State of one endpoint stand-in.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bulrushhoist_core::{Answer, Order, RequestId, VmPhase, VmRecord, VmStatus};
use bulrushhoist_engine::OrderReply;
use bulrushhoist_oracle::{Obeyed, obey, restart};
use bytes::Bytes;
use tokio::sync::watch;

use super::ledger::Ledger;
use super::model::FarmSettings;

/// Text in a body that crashes the endpoint which runs it.
const POISON: &[u8] = b"poison";

/// A stream that runs or has ended.
#[derive(Clone)]
pub(super) struct Stream {
    pub(super) body: Bytes,
    pub(super) parts: u64,
    pub(super) produced: watch::Receiver<Produced>,
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Produced {
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
    /// The call was not run.
    Refused,
    /// The endpoint ended while it ran the call.
    Crashed,
}

pub(super) struct Inner {
    status: VmStatus,
    streams: HashMap<RequestId, Stream>,
    calls: HashMap<RequestId, CallState>,
}

/// One endpoint.
pub(super) struct Vm {
    pub(super) record: Mutex<VmRecord>,
    settings: FarmSettings,
    ledger: Arc<Ledger>,
    inner: Mutex<Inner>,
    running: AtomicU32,
    slowdown: AtomicU32,
    /// Changes with each crash; connections of earlier runs are cut.
    epoch: watch::Sender<u64>,
}

impl Vm {
    pub(super) fn new(record: VmRecord, settings: FarmSettings, ledger: Arc<Ledger>) -> Arc<Self> {
        let status = VmStatus::started(record.vm.clone());
        let inner = Inner {
            status,
            streams: HashMap::new(),
            calls: HashMap::new(),
        };
        Arc::new(Self {
            record: Mutex::new(record),
            settings,
            ledger,
            inner: Mutex::new(inner),
            running: AtomicU32::new(0),
            slowdown: AtomicU32::new(1),
            epoch: watch::Sender::new(1),
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner
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
            ..self.inner().status.clone()
        }
    }

    pub(super) fn epochs(&self) -> watch::Receiver<u64> {
        self.epoch.subscribe()
    }

    /// Loses everything, as a process does that ends and starts again.
    pub(super) fn crash(&self) {
        let mut inner = self.inner();
        restart(&mut inner.status);
        inner.streams.clear();
        inner.calls.clear();
        let epoch = inner.status.epoch;
        drop(inner);
        self.running.store(0, Ordering::Relaxed);
        self.epoch.send_replace(epoch);
    }

    /// Turns cold without any announcement but its speed.
    pub(super) fn turn_cold(&self) {
        self.inner().status.served = 0;
    }

    /// Sets how many times longer the parts after the first take.
    pub(super) fn set_slowdown(&self, times: u32) {
        self.slowdown.store(times, Ordering::Relaxed);
    }

    pub(super) fn order(self: &Arc<Self>, order: &Order) -> OrderReply {
        let mut inner = self.inner();
        match obey(&mut inner.status, order, self.settings.fencing) {
            Obeyed::Refused(highest) => return OrderReply::Fenced { highest },
            Obeyed::Loading => {
                tokio::spawn(Arc::clone(self).finish_load(inner.status.epoch));
            }
            Obeyed::Done => {}
        }
        OrderReply::Accepted
    }

    async fn finish_load(self: Arc<Self>, epoch: u64) {
        tokio::time::sleep(self.settings.load).await;
        let mut inner = self.inner();
        if inner.status.epoch == epoch && inner.status.phase == VmPhase::Loading {
            inner.status.phase = VmPhase::Preloaded;
        }
    }

    /// Takes a place for one more request, or falls over.
    fn enter(&self) -> Option<u32> {
        let status = self.status();
        if status.phase != VmPhase::Ready || status.rank != 0 {
            return None;
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        if running > self.settings.capacity(status.served) * self.settings.fall_over {
            self.crash();
            return None;
        }
        Some(running)
    }

    fn leave(&self, epoch: u64) {
        let mut inner = self.inner();
        if inner.status.epoch == epoch {
            inner.status.served += 1;
            self.running.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn pace(&self, at_no_load: Duration) -> Duration {
        let status = self.status();
        at_no_load.mul_f64(self.settings.slowdown(status.running, status.served))
    }

    /// Starts a stream, or returns the one that runs under this identity.
    pub(super) fn start_stream(
        self: &Arc<Self>,
        id: RequestId,
        body: &Bytes,
        parts: u64,
    ) -> Option<Stream> {
        if let Some(stream) = self.stream(id) {
            return Some(stream);
        }
        self.enter()?;
        let (sender, produced) = watch::channel(Produced::Parts(0));
        let stream = Stream {
            body: body.clone(),
            parts,
            produced,
        };
        let mut inner = self.inner();
        inner.streams.insert(id, stream.clone());
        let epoch = inner.status.epoch;
        drop(inner);
        tokio::spawn(Arc::clone(self).produce(id, stream.clone(), sender, epoch));
        Some(stream)
    }

    pub(super) fn stream(&self, id: RequestId) -> Option<Stream> {
        self.inner().streams.get(&id).cloned()
    }

    pub(super) fn cancel_stream(&self, id: RequestId) {
        self.inner().streams.remove(&id);
    }

    async fn produce(
        self: Arc<Self>,
        id: RequestId,
        stream: Stream,
        sender: watch::Sender<Produced>,
        epoch: u64,
    ) {
        let poison = stream.body.windows(POISON.len()).any(|w| w == POISON);
        let mut wait = self.pace(self.settings.first_part);
        for produced in 1..=stream.parts {
            tokio::time::sleep(wait).await;
            if poison && self.status().epoch == epoch {
                self.crash();
            }
            if self.status().epoch != epoch {
                sender.send_replace(Produced::Crashed);
                return;
            }
            if self.stream(id).is_none() {
                self.leave(epoch);
                return;
            }
            sender.send_replace(Produced::Parts(produced));
            let slowdown = self.slowdown.load(Ordering::Relaxed);
            wait = self.pace(self.settings.part) * slowdown;
        }
        self.leave(epoch);
        tokio::time::sleep(Duration::from_secs(30)).await;
        self.cancel_stream(id);
    }

    /// Runs a call to a plain service, or returns the answer that it had.
    pub(super) async fn call(&self, id: RequestId, body: &Bytes) -> CallOutcome {
        if self.enter().is_none() {
            return CallOutcome::Refused;
        }
        self.ledger.execute(body);
        let epoch = {
            let mut inner = self.inner();
            inner.calls.insert(id, CallState::Running);
            inner.status.epoch
        };
        tokio::time::sleep(self.pace(self.settings.call)).await;
        let text = String::from_utf8_lossy(body);
        let answer = Answer {
            status: 200,
            content_type: Some("application/json".into()),
            body: serde_json::json!({ "request": id, "done": text })
                .to_string()
                .into_bytes(),
        };
        let mut inner = self.inner();
        if inner.status.epoch != epoch {
            return CallOutcome::Crashed;
        }
        inner.calls.insert(id, CallState::Done(answer.clone()));
        drop(inner);
        self.leave(epoch);
        CallOutcome::Answered(answer)
    }

    pub(super) fn call_state(&self, id: RequestId) -> Option<CallState> {
        self.inner().calls.get(&id).cloned()
    }
}
