//! Findings of the checks, with line and path.

use std::fmt;

/// What is wrong at one place of a document.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Problem {
    /// {0}
    Syntax(String),
    /// the field is unknown; known here are {0}
    UnknownField(String),
    /// the field is missing
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

/// One finding; lines count from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Line of the value, or of the table that lacks it.
    pub line: usize,
    /// Path such as `services[1].routes[0].path`; empty for the whole document.
    pub path: String,
    /// What is wrong.
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

/// All findings of one document, by line.
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
