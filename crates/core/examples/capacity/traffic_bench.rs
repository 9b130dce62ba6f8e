//! One traffic state machine with fake backend servers and a fake second proxy.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::message::{ExecuteRequest, Outcome, TrafficMessage};
use flamingorock_core::traffic::{
    Action, CallerRequest, Event, FloorPriority, SessionParameters, Traffic, TrafficConfig,
};
use flamingorock_core::{
    CallerKey, DatabaseId, HostId, InstanceId, InstanceReport, InstanceRole, Lsn, Position,
    RankIndex, RequestKey, StatementKind, Term, TransactionStatus, View,
};

/// The proxy host under measurement.
pub const HOST: HostId = HostId(1);
/// The second proxy, as entry proxy or owner.
pub const OTHER_HOST: HostId = HostId(2);
const PAYLOAD: &[u8] = b"UPDATE lots SET shelf = 12 WHERE lot = 4711";

/// The statements of a run.
#[derive(Clone, Copy)]
pub enum Load {
    Write,
    FreshRead,
    StaleRead,
}

impl Load {
    fn kind(self) -> StatementKind {
        match self {
            Self::Write => StatementKind::Write,
            Self::FreshRead | Self::StaleRead => StatementKind::Read,
        }
    }

    fn max_staleness_us(self) -> u64 {
        if matches!(self, Self::StaleRead) { 2_000_000 } else { 0 }
    }
}

/// A traffic state machine whose actions complete at once, except for held probes and responses.
pub struct TrafficBench {
    pub traffic: Traffic<FloorPriority>,
    pub now_us: u64,
    pub finished: usize,
    /// Whether probe results and responses of the second proxy are held until `release`.
    pub holds: bool,
    held: Vec<Event>,
    lsn: u64,
    pending: VecDeque<Event>,
    database: DatabaseId,
}

impl TrafficBench {
    /// Starts a traffic state machine with a view and opens its connections.
    pub fn new(view: View) -> Self {
        let database = view.configuration.databases[0].id;
        let mut bench = Self {
            traffic: Traffic::new(TrafficConfig::new(HOST, "port-louis")),
            now_us: 1_000_000,
            finished: 0,
            holds: false,
            held: Vec::new(),
            lsn: 1,
            pending: VecDeque::new(),
            database,
        };
        bench.feed(Event::ViewChanged(Arc::new(view)));
        bench
    }

    /// Connects callers to the first database.
    pub fn open_callers(&mut self, count: usize) -> Vec<CallerKey> {
        let parameters = SessionParameters { database: self.database };
        let open = |_| self.traffic.open_caller(parameters).expect("the caller is admitted");
        (0..count).map(open).collect()
    }

    /// Sends a statement from a caller.
    pub fn request(&mut self, caller: CallerKey, load: Load) {
        let request = CallerRequest {
            kind: load.kind(),
            rank: RankIndex(1),
            max_staleness_us: load.max_staleness_us(),
            deadline_us: None,
            payload: Bytes::from_static(PAYLOAD),
        };
        self.feed(Event::RequestReceived { caller, request });
    }

    /// Sends a statement that the second proxy forwards.
    pub fn forwarded(&mut self, request: RequestKey, load: Load) {
        let request = ExecuteRequest {
            request,
            entry_thread: 0,
            database: self.database,
            kind: load.kind(),
            rank: RankIndex(1),
            remaining_us: 5_000_000,
            max_staleness_us: load.max_staleness_us(),
            min_position: Some(Position::new(Term::first_of_epoch(1), Lsn(1))),
            transaction: None,
            payload: Bytes::from_static(PAYLOAD),
        };
        self.feed(Event::MessageReceived {
            from: OTHER_HOST,
            message: TrafficMessage::Execute(request),
        });
    }

    /// Delivers the held events and stops holding.
    pub fn release(&mut self) {
        self.holds = false;
        self.pending.extend(self.held.drain(..));
        self.deliver_pending();
    }

    /// Returns the memory of the list of held events, which is not part of the state machine.
    pub fn held_bytes(&self) -> usize {
        self.held.capacity() * size_of::<Event>()
    }

    /// Delivers an event and all events that follow from it, one per tick.
    pub fn feed(&mut self, event: Event) {
        self.pending.push_back(event);
        self.deliver_pending();
    }

    fn deliver_pending(&mut self) {
        while let Some(event) = self.pending.pop_front() {
            self.traffic.push(event);
            self.tick();
        }
    }

    /// Ticks the state machine and completes its actions.
    pub fn tick(&mut self) {
        self.now_us += 5;
        self.traffic.tick(self.now_us);
        let actions: Vec<Action> = self.traffic.drain_actions().collect();
        for action in actions {
            self.complete(action);
        }
    }

    fn complete(&mut self, action: Action) {
        match action {
            Action::OpenConnection { connection, .. } => {
                self.pending.push_back(Event::ConnectionOpened { connection });
            }
            Action::Execute { connection, work, .. } => {
                self.lsn += 1;
                let response = Bytes::from_static(b"UPDATE 1");
                let status = TransactionStatus::Idle;
                let event =
                    Event::BackendResponded { connection, work, response, status, failed: false };
                self.pending.push_back(event);
            }
            Action::Probe { instance, probe_number, .. } => {
                let result = Ok(report(instance, self.lsn));
                self.hold_or_push(Event::Probed { instance, probe_number, result });
            }
            Action::Send { message: TrafficMessage::Execute(request), .. } => {
                let event = completed(&request, self.lsn);
                self.hold_or_push(event);
            }
            Action::Send { message: TrafficMessage::Outcome { outcome, .. }, .. } => {
                assert!(matches!(outcome, Outcome::Completed { .. }), "refused: {outcome:?}");
                self.finished += 1;
            }
            Action::Deliver { .. } => self.finished += 1,
            Action::Refuse { code, .. } => panic!("a statement was refused: {code:?}"),
            _ => {}
        }
    }

    fn hold_or_push(&mut self, event: Event) {
        if self.holds {
            self.held.push(event);
        } else {
            self.pending.push_back(event);
        }
    }
}

fn report(instance: InstanceId, lsn: u64) -> InstanceReport {
    let is_primary = instance.index == 0;
    let term = Term::first_of_epoch(1);
    InstanceReport {
        accepted_term: term,
        position: Position::new(term, Lsn(lsn)),
        role: if is_primary { InstanceRole::Primary } else { InstanceRole::Replica },
        primary_heard_ms: (!is_primary).then_some(10),
        accepted: true,
    }
}

/// Returns the response of the second proxy to a statement.
fn completed(request: &ExecuteRequest, lsn: u64) -> Event {
    let outcome = Outcome::Completed {
        response: Bytes::from_static(b"UPDATE 1"),
        status: TransactionStatus::Idle,
        transaction: None,
        min_position: Some(Position::new(Term::first_of_epoch(1), Lsn(lsn))),
        by_replica: false,
    };
    let (database, request) = (request.database, request.request);
    let message = TrafficMessage::Outcome { database, entry_thread: 0, request, outcome };
    Event::MessageReceived { from: OTHER_HOST, message }
}
