//! Sends records of streams to the gateways that hold them, and looks streams up there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bendhinge_fleet::{StreamId, StreamRecord};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_peer::{CallError, ObservedSoftware, ObservedStream, StreamAnswer};
use futures_lite::FutureExt;
use rustc_hash::FxHashMap;
use smol::Timer;
use smol::channel::{Receiver, bounded};

use super::ControlPlane;
use crate::streams::{NO_STREAM, StreamLookup, StreamNotifications};

/// The number of gateways that hold a record besides the one that made it.
const HOLDERS: usize = 2;
/// The number of gateways at which a stream is looked up in a large fleet. More than the holders, since gateways may have
/// come since; in a small fleet all are asked.
const LOOKUP_HOLDERS: usize = 4;
/// Time limit of a lookup. Gateways that are suspended or were just lost do not respond.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time between two batches of records. Those of one batch are lost with the gateway.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// The same in a large fleet.
const BATCH_INTERVAL_IN_LARGE_FLEET: Duration = Duration::from_millis(200);
/// The maximum number of records in a message, which take 24 bytes each.
const MAX_RECORDS_PER_MESSAGE: usize = 512;
/// How often a gateway that has just started asks another one which software was used before.
const HISTORY_REQUESTS: u32 = 5;
const HISTORY_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks that concern streams.
pub(super) fn start(control: &Rc<ControlPlane>, notifications: StreamNotifications) {
    if !control.context.streams.is_enabled() {
        return;
    }
    let StreamNotifications { lookups, unsent } = notifications;
    control.executor.spawn(send_records(Rc::clone(control), unsent)).detach();
    control.executor.spawn(serve_lookups(Rc::clone(control), lookups)).detach();
    control.executor.spawn(request_history(Rc::clone(control))).detach();
}

/// Sends new records in batches. Returns when the channel is closed.
async fn send_records(control: Rc<ControlPlane>, unsent: Receiver<()>) {
    while unsent.recv().await.is_ok() {
        let now = bendhinge_clock::now();
        let batches = control.unsent_batches(now);
        for (address, records) in batches {
            let task_control = Rc::clone(&control);
            let task = async move { task_control.send_to_holder(address, &records).await };
            control.executor.spawn(task).detach();
        }
        let is_small = control.roster.borrow().is_small();
        Timer::after(if is_small { BATCH_INTERVAL } else { BATCH_INTERVAL_IN_LARGE_FLEET }).await;
    }
}

/// Looks streams up at other gateways. Returns when the channel is closed.
async fn serve_lookups(control: Rc<ControlPlane>, lookups: Receiver<StreamLookup>) {
    while let Ok(StreamLookup { stream, pool, done }) = lookups.recv().await {
        let task_control = Rc::clone(&control);
        let task = async move {
            let timeout = async {
                Timer::after(LOOKUP_TIMEOUT).await;
            };
            task_control.look_up(stream, pool).or(timeout).await;
            // The request may have been cancelled.
            let _ = done.try_send(());
        };
        control.executor.spawn(task).detach();
    }
}

/// Asks other gateways after the start which software was used before it.
async fn request_history(control: Rc<ControlPlane>) {
    for _ in 0..HISTORY_REQUESTS {
        Timer::after(HISTORY_REQUEST_INTERVAL).await;
        let now = bendhinge_clock::now();
        // Any number serves to pick a gateway.
        let holders = control.roster.borrow().record_holders(rand::random(), 1, now);
        let Some(address) = holders.first().copied() else { continue };
        let asked_at = bendhinge_clock::now();
        if let Ok(answer) = control.ask(address, NO_STREAM, None).await {
            let watched_for = answer.watched_for;
            control.merge_answer(&answer, asked_at);
            if watched_for > HISTORY_REQUEST_INTERVAL * HISTORY_REQUESTS {
                return;
            }
        }
    }
}

impl ControlPlane {
    /// Takes the records to send, by the gateway that receives them.
    fn unsent_batches(&self, now: Instant) -> FxHashMap<SocketAddr, Vec<ObservedStream>> {
        let upstreams = &self.context.upstreams;
        let unsent =
            self.context.streams.take_unsent(|pool, lifetime| upstreams.needs_stream_records(pool, lifetime));
        let roster = self.roster.borrow();
        let mut batches: FxHashMap<SocketAddr, Vec<ObservedStream>> = FxHashMap::default();
        for unsent in unsent {
            let holders = roster.record_holders(unsent.record.stream.0, HOLDERS, now);
            let forwarder = unsent.forwarded_by.filter(|address| !holders.contains(address));
            for address in holders.into_iter().chain(forwarder) {
                batches.entry(address).or_default().push(ObservedStream::new(unsent.record, now));
            }
        }
        batches
    }

    /// Sends records to the gateway at `address`. If it does not respond, as one that was just lost, the next holder of
    /// each record takes its place.
    async fn send_to_holder(self: &Rc<Self>, address: SocketAddr, records: &[ObservedStream]) {
        if self.send_records(address, records).await {
            return;
        }
        let now = bendhinge_clock::now();
        let mut batches: FxHashMap<SocketAddr, Vec<ObservedStream>> = FxHashMap::default();
        for record in records {
            let holders = self.roster.borrow().record_holders(record.stream.0, HOLDERS + 1, now);
            if let Some(next) = holders.get(HOLDERS).filter(|next| **next != address) {
                batches.entry(*next).or_default().push(*record);
            }
        }
        for (next, records) in batches {
            self.send_records(next, &records).await;
        }
    }

    /// Returns `false` if the gateway at `address` did not take all records.
    async fn send_records(&self, address: SocketAddr, records: &[ObservedStream]) -> bool {
        for batch in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let sent = self.peers.call(address, async |peer| peer.record_streams(batch).await).await;
            self.context.metrics.count_sent_stream_records(batch.len(), sent.is_ok());
            if sent.is_err() {
                return false;
            }
        }
        true
    }

    /// Asks all gateways that may hold the record at once, until one of them has it or all have answered.
    async fn look_up(self: &Rc<Self>, stream: StreamId, pool: NameHash) {
        let now = bendhinge_clock::now();
        let holders = {
            let roster = self.roster.borrow();
            let count = if roster.is_small() { usize::MAX } else { LOOKUP_HOLDERS };
            roster.record_holders(stream.0, count, now)
        };
        let (sender, answers) = bounded(holders.len().max(1));
        for address in holders {
            let control = Rc::clone(self);
            let sender = sender.clone();
            let task = async move {
                if let Ok(answer) = control.ask(address, stream, Some(pool)).await {
                    let _ = sender.send(answer).await;
                }
            };
            self.executor.spawn(task).detach();
        }
        drop(sender);
        while let Ok(answer) = answers.recv().await {
            self.merge_answer(&answer, now);
            if answer.record.is_some() {
                return;
            }
        }
    }

    async fn ask(
        &self,
        address: SocketAddr,
        stream: StreamId,
        pool: Option<NameHash>,
    ) -> Result<StreamAnswer, CallError> {
        self.peers.call(address, async |peer| peer.find_stream(stream, pool).await).await
    }

    fn merge_answer(&self, answer: &StreamAnswer, asked_at: Instant) {
        if let Some(record) = answer.record {
            self.context.streams.merge(&[record]);
        }
        let served: Vec<_> = answer.served.iter().map(|served| served.to_served(asked_at)).collect();
        self.context.upstreams.merge_software_history(&served, answer.watched_for, asked_at);
    }

    /// Returns what this gateway knows of a stream and of the software of its pool.
    pub(super) fn stream_answer(&self, stream: StreamId, pool: Option<NameHash>) -> StreamAnswer {
        let now = bendhinge_clock::now();
        let (watched_for, served) = self.context.upstreams.software_history(pool);
        let served = served.into_iter().map(|served| ObservedSoftware::new(served, now));
        StreamAnswer {
            record: self.context.streams.observed(stream, now),
            watched_for,
            served: served.collect(),
        }
    }

    /// Hands all records over to the gateways that hold them once this one has ended.
    pub(crate) async fn hand_over_streams(self: &Rc<Self>) {
        let now = bendhinge_clock::now();
        let mut batches: FxHashMap<SocketAddr, Vec<ObservedStream>> = FxHashMap::default();
        for record in self.context.streams.all() {
            for address in self.holders_of(&record, now) {
                batches.entry(address).or_default().push(ObservedStream::new(record, now));
            }
        }
        let sending = batches.into_iter().map(|(address, records)| {
            let control = Rc::clone(self);
            self.executor.spawn(async move { control.send_to_holder(address, &records).await })
        });
        for task in sending.collect::<Vec<_>>() {
            task.await;
        }
    }

    fn holders_of(&self, record: &StreamRecord, now: Instant) -> Vec<SocketAddr> {
        self.roster.borrow().record_holders(record.stream.0, HOLDERS, now)
    }
}
