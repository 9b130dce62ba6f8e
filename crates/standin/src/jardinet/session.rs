//! One connection to an instance.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use super::REPLICA_SET;
use super::group::Group;
use crate::server::lock;

/// Serves a connection until it ends.
pub fn serve(stream: TcpStream, index: usize, group: &Arc<Mutex<Group>>) {
    let session = Session {
        index,
        group: Arc::clone(group),
        prepared: HashMap::new(),
        transaction: None,
        has_failed: false,
        signature: 0,
    };
    if let Err(error) = session.run(stream) {
        tracing::debug!(%error, "connection to an instance ended");
    }
}

struct Session {
    index: usize,
    group: Arc<Mutex<Group>>,
    prepared: HashMap<String, String>,
    /// Writes of the open transaction.
    transaction: Option<Vec<(String, String)>>,
    has_failed: bool,
    signature: u64,
}

/// Row, if there is one, and success or an error code.
type Outcome = Result<Option<String>, &'static str>;

impl Session {
    fn run(mut self, stream: TcpStream) -> io::Result<()> {
        let mut output = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        let Some(first) = lines.next().transpose()? else { return Ok(()) };
        let expected = format!("i-{}", self.index);
        let fields: Vec<&str> = first.trim_end().split(' ').collect();
        if fields.get(1) != Some(&REPLICA_SET) || fields.get(3) != Some(&expected.as_str()) {
            return output.write_all(b"ERROR WRONGNODE another instance\r\n");
        }
        output.write_all(format!("READY I {}\r\n", self.position()).as_bytes())?;
        for line in lines {
            let line = line?;
            let Some(rest) = line.trim_end().strip_prefix("QUERY ") else { return Ok(()) };
            let Some((_, text)) = rest.split_once(' ') else { return Ok(()) };
            let answer = self.answer(text);
            output.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn position(&self) -> String {
        let (term, length) = lock(&self.group).position(self.index);
        format!("{term}.{length}")
    }

    fn answer(&mut self, text: &str) -> String {
        let outcome = self.execute(text);
        let mut answer = String::new();
        match outcome {
            Ok(row) => {
                if let Some(row) = row {
                    answer.push_str(&format!("DATAROW {row}\r\n"));
                }
                self.signature += 1;
                answer.push_str(&format!("COMPLETE s{}.{}\r\n", self.index, self.signature));
            }
            Err(code) => {
                self.has_failed = self.transaction.is_some();
                answer.push_str(&format!("ERROR {code} refused\r\n"));
            }
        }
        let state = match (&self.transaction, self.has_failed) {
            (Some(_), true) => "E",
            (Some(_), false) => "T",
            (None, _) => "I",
        };
        answer.push_str(&format!("READY {state} {}\r\n", self.position()));
        answer
    }

    fn execute(&mut self, text: &str) -> Outcome {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "MINPOS" => self.execute_from(rest),
            "BEGIN" => self.begin(rest == "READ"),
            "COMMIT" => self.commit(),
            "ROLLBACK" => {
                self.transaction = None;
                self.has_failed = false;
                Ok(None)
            }
            "READ" => self.read(rest),
            "WRITE" => {
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                self.write(item, data)
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                self.prepared.insert(name.to_owned(), shape.to_owned());
                Ok(None)
            }
            "EXECUTE" => self.execute_prepared(rest),
            "RESET" => {
                self.prepared.clear();
                Ok(None)
            }
            "STATUS" => Ok(Some(lock(&self.group).status(self.index))),
            "STEPDOWN" => {
                let mut group = lock(&self.group);
                group.step_down(self.index, rest.parse().unwrap_or_default());
                Ok(Some(group.status(self.index)))
            }
            _ => Ok(None),
        }
    }

    fn execute_from(&mut self, rest: &str) -> Outcome {
        let (position, text) = rest.split_once(' ').ok_or("MALFORMED")?;
        let (term, number) = position.split_once('.').ok_or("MALFORMED")?;
        let required: (u64, usize) =
            (term.parse().unwrap_or(u64::MAX), number.parse().unwrap_or(usize::MAX));
        if lock(&self.group).position(self.index) < required {
            return Err("LAGGING");
        }
        self.execute(text)
    }

    fn begin(&mut self, reads_only: bool) -> Outcome {
        if !reads_only && !lock(&self.group).leads(self.index) {
            return Err("READONLY");
        }
        self.transaction = Some(Vec::new());
        Ok(None)
    }

    fn commit(&mut self) -> Outcome {
        let writes = self.transaction.take().ok_or("MALFORMED")?;
        let mut group = lock(&self.group);
        if !writes.is_empty() && !group.leads(self.index) {
            return Err("READONLY");
        }
        group.commit(self.index, writes);
        Ok(None)
    }

    fn read(&self, item: &str) -> Outcome {
        Ok(Some(lock(&self.group).read(self.index, item).unwrap_or_else(|| "-".to_owned())))
    }

    fn write(&mut self, item: &str, data: &str) -> Outcome {
        let mut group = lock(&self.group);
        if !group.leads(self.index) {
            return Err("READONLY");
        }
        let write = (item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some(writes) => writes.push(write),
            None => group.commit(self.index, vec![write]),
        }
        Ok(None)
    }

    fn execute_prepared(&mut self, rest: &str) -> Outcome {
        let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
        let shape = self.prepared.get(name).cloned().ok_or("NOSTMT")?;
        match shape.split_once(' ') {
            Some(("WRITE", _)) => {
                let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
                self.write(item, data)
            }
            _ => self.read(arguments),
        }
    }
}
