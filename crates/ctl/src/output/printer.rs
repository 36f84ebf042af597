//! Output of an invocation.

use std::io::Write;

use serde::Serialize;

use crate::ctl_error::CtlError;
use crate::environment::Environment;

use super::Table;

const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// Output of an invocation, as tables or JSON.
pub struct Printer<'a> {
    environment: &'a mut Environment,
    json: bool,
}

impl<'a> Printer<'a> {
    /// Prints to the environment's streams.
    pub fn new(environment: &'a mut Environment, json: bool) -> Self {
        Self { environment, json }
    }

    /// Whether JSON is asked for.
    pub fn json(&self) -> bool {
        self.json
    }

    /// Whether the output is a terminal.
    pub fn terminal(&self) -> bool {
        self.environment.terminal
    }

    /// Prints a line.
    pub fn line(&mut self, line: &str) -> Result<(), CtlError> {
        writeln!(self.environment.output, "{line}")?;
        Ok(())
    }

    /// Prints lines.
    pub fn lines<L: AsRef<str>>(
        &mut self,
        lines: impl IntoIterator<Item = L>,
    ) -> Result<(), CtlError> {
        for line in lines {
            self.line(line.as_ref())?;
        }
        Ok(())
    }

    /// Prints a table.
    pub fn table(&mut self, table: &Table) -> Result<(), CtlError> {
        self.lines(table.lines())
    }

    /// Prints one JSON line.
    pub fn value(&mut self, value: &impl Serialize) -> Result<(), CtlError> {
        let text = serde_json::to_string(value)?;
        self.line(&text)
    }

    /// Clears the terminal.
    pub fn clear(&mut self) -> Result<(), CtlError> {
        write!(self.environment.output, "{CLEAR_SCREEN}")?;
        Ok(())
    }

    /// Prints a line for people beside the results.
    pub fn note(&mut self, line: &str) -> Result<(), CtlError> {
        writeln!(self.environment.errors, "{line}")?;
        Ok(())
    }

    /// Makes what was printed visible.
    pub fn flush(&mut self) -> Result<(), CtlError> {
        self.environment.output.flush()?;
        Ok(())
    }
}
