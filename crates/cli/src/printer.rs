//! Printing.

use core::fmt::Display;
use std::io::Write;

use flamingorock_platform::StoredConfiguration;
use serde::Serialize;

use crate::arguments::Output;
use crate::{ExitStatus, Failure};

/// Prints reports and failures.
#[derive(Debug)]
pub(crate) struct Printer<'a, O, E> {
    /// Form of what is printed.
    pub(crate) output: Output,
    /// Standard output.
    pub(crate) out: &'a mut O,
    /// Standard error.
    pub(crate) err: &'a mut E,
}

impl<O: Write, E: Write> Printer<'_, O, E> {
    /// Prints a report.
    pub(crate) fn print<R: Display + Serialize>(
        &mut self,
        result: Result<R, Failure>,
    ) -> ExitStatus {
        match (result, self.output) {
            (Ok(report), Output::Text) => self.write(&report.to_string()),
            (Ok(report), Output::Json) => self.write(&json(&report)),
            (Err(failure), _) => self.fail(&failure),
        }
    }

    /// Prints a document: its text alone, or all that the store holds of it.
    pub(crate) fn print_document(
        &mut self,
        result: Result<StoredConfiguration, Failure>,
    ) -> ExitStatus {
        match (result, self.output) {
            (Ok(document), Output::Text) => self.write(&document.text),
            (Ok(document), Output::Json) => self.write(&json(&document)),
            (Err(failure), _) => self.fail(&failure),
        }
    }

    /// Prints something that has no JSON form.
    pub(crate) fn print_text(&mut self, result: Result<String, Failure>) -> ExitStatus {
        match result {
            Ok(text) => self.write(&text),
            Err(failure) => self.fail(&failure),
        }
    }

    fn write(&mut self, text: &str) -> ExitStatus {
        // The reader may have closed the pipe; the command has been carried out all the same.
        drop(writeln!(self.out, "{}", text.trim_end_matches('\n')));
        ExitStatus::Done
    }

    fn fail(&mut self, failure: &Failure) -> ExitStatus {
        match self.output {
            Output::Text => drop(writeln!(self.err, "{failure}")),
            Output::Json => drop(writeln!(self.out, "{}", json(failure))),
        }
        failure.exit_status()
    }
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("reports have a JSON form")
}
