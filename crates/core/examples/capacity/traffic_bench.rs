//! One traffic machine with its backend servers and its other side.

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

/// Host of the machine.
pub const HOST: HostId = HostId(1);
/// The other proxy.
pub const OTHER: HostId = HostId(2);
const PAYLOAD: &[u8] = b"UPDATE lots SET shelf = 12 WHERE lot = 4711";

/// Kind of the statements of a run.
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

/// A traffic machine. Everything that it asks for is answered at once, except held answers.
pub struct TrafficBench {
    pub traffic: Traffic<FloorPriority>,
    pub now_us: u64,
    pub finished: usize,
    /// Whether answers to probes and of the other proxy are held back.
    pub holds: bool,
    held: Vec<Event>,
    lsn: u64,
    pending: VecDeque<Event>,
    database: DatabaseId,
}

impl TrafficBench {
    /// Starts a machine with a view in force and its connections open.
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

    /// Opens callers of the first database.
    pub fn open_callers(&mut self, count: usize) -> Vec<CallerKey> {
        let profile = SessionParameters { database: self.database };
        let open = |_| self.traffic.open_caller(profile).expect("the caller is admitted");
        (0..count).map(open).collect()
    }

    /// Sends a statement of a caller.
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

    /// Sends a statement that arrived at the other proxy.
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
            from: OTHER,
            message: TrafficMessage::Execute(request),
        });
    }

    /// Hands over what was held back.
    pub fn release(&mut self) {
        self.holds = false;
        self.pending.extend(self.held.drain(..));
        self.settle();
    }

    /// Memory of the list of held events, which is not the machine's.
    pub fn held_bytes(&self) -> usize {
        self.held.capacity() * size_of::<Event>()
    }

    /// Feeds an event and all that follows from it, one event a tick.
    pub fn feed(&mut self, event: Event) {
        self.pending.push_back(event);
        self.settle();
    }

    fn settle(&mut self) {
        while let Some(event) = self.pending.pop_front() {
            self.traffic.push(event);
            self.tick();
        }
    }

    /// Ticks the machine and answers its actions.
    pub fn tick(&mut self) {
        self.now_us += 5;
        self.traffic.tick(self.now_us);
        let actions: Vec<Action> = self.traffic.drain_actions().collect();
        for action in actions {
            self.answer(action);
        }
    }

    fn answer(&mut self, action: Action) {
        match action {
            Action::OpenConnection { connection, .. } => {
                self.pending.push_back(Event::ConnectionOpened { connection });
            }
            Action::Execute { connection, work, .. } => {
                self.lsn += 1;
                let answer = Bytes::from_static(b"UPDATE 1");
                let status = TransactionStatus::Idle;
                let event =
                    Event::BackendAnswered { connection, work, answer, status, failed: false };
                self.pending.push_back(event);
            }
            Action::Probe { instance, probe_number, .. } => {
                let result = Ok(report(instance, self.lsn));
                self.push_later(Event::Probed { instance, probe_number, result });
            }
            Action::Send { message: TrafficMessage::Execute(request), .. } => {
                let event = answered(&request, self.lsn);
                self.push_later(event);
            }
            Action::Send { message: TrafficMessage::Answer { outcome, .. }, .. } => {
                assert!(matches!(outcome, Outcome::Answered { .. }), "refused: {outcome:?}");
                self.finished += 1;
            }
            Action::Deliver { .. } => self.finished += 1,
            Action::Refuse { code, .. } => panic!("a statement was refused: {code:?}"),
            _ => {}
        }
    }

    fn push_later(&mut self, event: Event) {
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

/// Answer of the other proxy to a statement.
fn answered(request: &ExecuteRequest, lsn: u64) -> Event {
    let outcome = Outcome::Answered {
        answer: Bytes::from_static(b"UPDATE 1"),
        status: TransactionStatus::Idle,
        transaction: None,
        min_position: Some(Position::new(Term::first_of_epoch(1), Lsn(lsn))),
        by_replica: false,
    };
    let (database, request) = (request.database, request.request);
    let message = TrafficMessage::Answer { database, entry_thread: 0, request, outcome };
    Event::MessageReceived { from: OTHER, message }
}
