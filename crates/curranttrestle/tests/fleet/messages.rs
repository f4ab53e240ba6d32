//! Messages between routers, and load reports.

use super::*;

impl Fleet {
    pub(super) fn send(&mut self, from: usize, messages: Vec<(InstanceId, PeerMessage)>) {
        for (to, message) in messages {
            let to = self
                .routers
                .iter()
                .position(|router| router.member.instance == to)
                .unwrap();
            let mut due_ms = self.now_ms;
            if from != to {
                let kind = kind_of(&message);
                let bytes = postcard::to_stdvec(&message).unwrap().len() as u64;
                let count = self.observed.messages.entry(kind).or_default();
                count.0 += 1;
                count.1 += bytes;
                *self.observed.sent_bytes.entry(from).or_default() += bytes;
                due_ms += self.setup.link_ms;
                if self.is_partitioned(from, to) || self.rng.random_bool(self.setup.loss) {
                    continue;
                }
            }
            self.next_id += 1;
            let incarnation = self.routers[from].member.incarnation;
            self.in_transit
                .insert((due_ms, self.next_id), (from, to, incarnation, message));
        }
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (from, to, incarnation, message) = entry.remove();
            if self.routers[to].alive && !self.is_partitioned(from, to) {
                self.receive(from, to, incarnation, &message);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, incarnation: Incarnation, message: &PeerMessage) {
        let now = self.now();
        let sender = self.routers[from].member.instance.clone();
        let router = &mut self.routers[to];
        router.needs_control_step = true;
        let responses = match message {
            PeerMessage::Bid(bid) => router.slot_owner.receive_bid(&sender, bid, now),
            PeerMessage::Void(void) => {
                router.slot_holder.receive_void(&sender, void, now);
                Vec::new()
            }
            PeerMessage::Lend(lend) => {
                router.slot_holder.receive_lend(&sender, lend, now);
                Vec::new()
            }
            PeerMessage::Return(returned) => {
                router.slot_owner.receive_return(&sender, returned, now);
                Vec::new()
            }
            PeerMessage::Recall(recall) => {
                router.slot_holder.receive_recall(&sender, recall, now);
                Vec::new()
            }
            PeerMessage::Renewal(renewal) => {
                router.slot_owner.receive_renewal(&sender, renewal, now)
            }
            PeerMessage::Renewed(renewed) => {
                router.slot_holder.receive_renewed(&sender, renewed, now);
                Vec::new()
            }
            PeerMessage::ServiceReport(report) => {
                router
                    .fair_share
                    .receive_report(&sender, incarnation, report, now);
                Vec::new()
            }
            PeerMessage::ServiceTotals(totals) => {
                router.fair_share.receive_totals(&sender, totals, now)
            }
            _ => Vec::new(),
        };
        self.send(to, responses);
    }

    /// Takes load reports and delivers them to all live routers after `report_lag_ms`.
    pub(super) fn report(&mut self, used: &IndexMap<EndpointId, u32>) {
        if self.now_ms.is_multiple_of(250) {
            self.reports.push_back((self.now_ms, used.clone()));
        }
        let lag_ms = self.setup.report_lag_ms;
        while let Some((taken_ms, _)) = self.reports.front()
            && taken_ms + lag_ms <= self.now_ms
        {
            let now = self.now();
            let Some((taken_ms, used)) = self.reports.pop_front() else {
                break;
            };
            for endpoint in self.sheet.endpoints.keys() {
                let report = SlotLoadReport {
                    running: used.get(endpoint).copied().unwrap_or(0),
                    digest: 0,
                    taken_ms,
                };
                for router in self.routers.iter_mut().filter(|router| router.alive) {
                    router
                        .slot_owner
                        .receive_load_report(endpoint, report, None, now);
                }
            }
        }
    }
}

fn kind_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Bid(_) => "bid",
        PeerMessage::Lend(_) => "lend",
        PeerMessage::Return(_) => "return",
        PeerMessage::Recall(_) => "recall",
        PeerMessage::Renewal(_) => "renewal",
        PeerMessage::Renewed(_) => "renewed",
        PeerMessage::ServiceReport(_) => "report",
        PeerMessage::ServiceTotals(_) => "totals",
        _ => "other",
    }
}
