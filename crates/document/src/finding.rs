//! Findings of the validation, with line and path.

use std::fmt;

/// Kind of a finding.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Problem {
    /// {0}
    Syntax(String),
    /// unknown field; expected one of {0}
    UnknownField(String),
    /// missing required field
    MissingField,
    /// expected {0}
    WrongType(String),
    /// {0}
    BadValue(String),
    /// the number must be {0}
    OutOfRange(String),
    /// "{0}" is already used at {1}
    Duplicate(String, String),
    /// "{0}" is not defined
    UndefinedReference(String),
    /// {0}
    Conflict(String),
}

/// A fault in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Line of the value, or of the table in which it is missing; counted from 1.
    pub line: usize,
    /// Path such as `services[1].routes[0].path`; empty if the fault concerns the whole document.
    pub path: String,
    /// Kind of the fault.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        self.problem.fmt(f)
    }
}

/// All findings of one document, ordered by line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    pub(crate) fn push(&mut self, line: usize, path: &str, problem: Problem) {
        let path = path.to_owned();
        self.0.push(Finding {
            line,
            path,
            problem,
        });
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
