//! A replica set whose replicas receive each commit at once.

/// A committed write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// What was written to.
    pub item: String,
    /// What was written.
    pub data: String,
    term: u64,
}

#[derive(Debug)]
struct Instance {
    is_up: bool,
    leads: bool,
    term: u64,
    log: Vec<Write>,
}

/// The instances of a replica set.
#[derive(Debug)]
pub struct Group {
    instances: Vec<Instance>,
    leader: usize,
    fences: Vec<u64>,
    superseded: Vec<Write>,
    /// Writes that were committed at a primary and that its successor lacks.
    rolled_back: Vec<Write>,
}

impl Group {
    /// Instances of the replica set.
    pub const INSTANCES: usize = 3;

    pub fn new() -> Self {
        let instance =
            |index| Instance { is_up: true, leads: index == 0, term: 1, log: Vec::new() };
        Self {
            instances: (0..Self::INSTANCES).map(instance).collect(),
            leader: 0,
            fences: Vec::new(),
            superseded: Vec::new(),
            rolled_back: Vec::new(),
        }
    }

    pub fn leader(&self) -> usize {
        self.leader
    }

    pub fn leads(&self, index: usize) -> bool {
        self.instances[index].leads
    }

    /// Term and length of an instance's log, as they stand in an answer.
    pub fn position(&self, index: usize) -> (u64, usize) {
        let log = &self.instances[index].log;
        (log.last().map_or(1, |write| write.term), log.len())
    }

    pub fn read(&self, index: usize, item: &str) -> Option<String> {
        let log = &self.instances[index].log;
        log.iter().rev().find(|write| write.item == item).map(|write| write.data.clone())
    }

    /// Commits writes at an instance that leads, and passes them on.
    pub fn commit(&mut self, index: usize, writes: Vec<(String, String)>) {
        let term = self.instances[index].term;
        for (item, data) in writes {
            let write = Write { item, data, term };
            if index != self.leader {
                self.superseded.push(write.clone());
            }
            self.instances[index].log.push(write);
        }
        let log = self.instances[index].log.clone();
        for (other, row) in self.instances.iter_mut().enumerate() {
            if other != index && row.is_up && !row.leads && row.term == term {
                row.log.clone_from(&log);
            }
        }
    }

    /// Role, term and log of an instance, as `STATUS` reports them.
    pub fn status(&self, index: usize) -> String {
        let row = &self.instances[index];
        let role = if row.leads { "primary" } else { "replica" };
        let (term, length) = self.position(index);
        format!("{role} {} {term}.{length} 0 0 0 1", row.term)
    }

    pub fn step_down(&mut self, index: usize, term: u64) {
        let row = &mut self.instances[index];
        if row.term < term {
            row.leads = false;
            self.follow(index);
        }
    }

    /// Takes the log and the term of the instance that leads.
    fn follow(&mut self, index: usize) {
        let (term, log) = {
            let leader = &self.instances[self.leader];
            (leader.term, leader.log.clone())
        };
        let row = &mut self.instances[index];
        row.term = term;
        row.log = log;
    }

    pub fn accept_promotion(&mut self, index: usize, fence: u64) -> bool {
        self.fences.push(fence);
        self.instances[index].is_up
    }

    pub fn promote(&mut self, index: usize) {
        if !self.instances[index].is_up || self.leader == index {
            return;
        }
        let kept = &self.instances[index].log;
        let former = self.instances[self.leader].log.iter().enumerate();
        let lost = former.filter(|(place, write)| kept.get(*place) != Some(*write));
        let lost: Vec<Write> = lost.map(|(_, write)| write.clone()).collect();
        self.rolled_back.extend(lost);
        let term = self.instances.iter().map(|row| row.term).max().unwrap_or(1) + 1;
        self.instances[index].leads = true;
        self.instances[index].term = term;
        self.leader = index;
        for other in 0..Self::INSTANCES {
            if other != index && !self.instances[other].leads {
                self.follow(other);
            }
        }
    }

    pub fn set_up(&mut self, index: usize, is_up: bool) {
        self.instances[index].is_up = is_up;
        if is_up && index != self.leader {
            self.instances[index].leads = false;
            self.follow(index);
        }
    }

    pub fn writes(&self) -> Vec<Write> {
        self.instances[self.leader].log.clone()
    }

    pub fn fences(&self) -> Vec<u64> {
        self.fences.clone()
    }

    pub fn rolled_back_writes(&self) -> Vec<Write> {
        self.rolled_back.clone()
    }

    pub fn superseded_writes(&self) -> Vec<Write> {
        self.superseded.clone()
    }
}
