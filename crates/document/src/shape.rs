//! Checks the fields of a document against its schema, so that all faults are found at once.

use std::collections::BTreeMap;

use serde_json::Value;
use siskinbend_types::ByteSize;
use siskinbend_types::Digest;
use siskinbend_types::ParseError;
use siskinbend_types::name::is_valid_name;
use toml::Spanned;
use toml::de::DeArray;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::finding::Findings;
use crate::finding::Problem;
use crate::model::Document;

/// Builds the JSON Schema from the types.
pub(crate) fn build_schema() -> Value {
    schemars::schema_for!(Document).to_value()
}

/// Line of each path of a document.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    starts: Vec<usize>,
    lines: BTreeMap<String, usize>,
}

impl Lines {
    pub(crate) fn new(text: &str) -> Self {
        let starts = text.match_indices('\n').map(|(at, _)| at + 1).collect();
        let lines = BTreeMap::new();
        Self { starts, lines }
    }

    /// The line of a byte offset.
    pub(crate) fn line_at(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset) + 1
    }

    /// The line of a path or, if that is absent, of its nearest ancestor.
    pub(crate) fn line_of(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(cut) => path = &path[..cut],
                None => return 1,
            }
        }
    }
}

/// Walks a document beside its schema.
pub(crate) struct Walk<'a> {
    schema: &'a Value,
    pub(crate) lines: Lines,
    pub(crate) findings: Findings,
}

impl<'a> Walk<'a> {
    pub(crate) fn new(schema: &'a Value, text: &str) -> Self {
        let lines = Lines::new(text);
        let findings = Findings::default();
        Self {
            schema,
            lines,
            findings,
        }
    }

    /// Checks the whole document and removes unknown fields from it.
    pub(crate) fn check_document(&mut self, table: &mut DeTable<'_>) {
        self.check_table(table, self.schema, "", 1);
    }

    /// Follows references and takes the type of an optional field.
    fn resolve(&self, shape: &'a Value) -> &'a Value {
        let is_null = |option: &&Value| option["type"] != "null";
        if let Some(name) = shape["$ref"].as_str() {
            let name = name.rsplit('/').next().unwrap_or_default();
            return self.resolve(&self.schema["$defs"][name]);
        }
        match shape["anyOf"]
            .as_array()
            .and_then(|any| any.iter().find(is_null))
        {
            Some(option) => self.resolve(option),
            None => shape,
        }
    }

    fn check_table(&mut self, table: &mut DeTable<'_>, shape: &'a Value, path: &str, line: usize) {
        let join = |name: &str| match path {
            "" => name.to_owned(),
            _ => format!("{path}.{name}"),
        };
        let Some(known) = shape["properties"].as_object() else {
            return;
        };
        let keys: Vec<_> = table.keys().cloned().collect();
        for key in keys {
            let name = key.get_ref().as_ref();
            let place = join(name);
            let line = self.lines.line_at(key.span().start);
            self.lines.lines.insert(place.clone(), line);
            let field = known.get(name).map(|field| (field, self.resolve(field)));
            match (field, table.get_mut(name)) {
                (Some((own, field)), Some(value)) => self.check_value(value, own, field, &place),
                _ => {
                    let names: Vec<&str> = known.keys().map(String::as_str).collect();
                    let problem = Problem::UnknownField(names.join(", "));
                    self.findings.push(line, &place, problem);
                    table.remove(name);
                }
            }
        }
        let required = shape["required"].as_array().into_iter().flatten();
        for name in required.filter_map(Value::as_str) {
            if !table.contains_key(name) {
                self.findings.push(line, &join(name), Problem::MissingField);
            }
        }
    }

    /// Checks one value; `own` is the schema of the field, `shape` that of its type.
    fn check_value(
        &mut self,
        value: &mut Spanned<DeValue<'_>>,
        own: &'a Value,
        shape: &'a Value,
        path: &str,
    ) {
        let line = self.lines.line_at(value.span().start);
        let kind = name_type(shape);
        let problem = match (value.get_mut(), kind) {
            (DeValue::Table(table), "object") => {
                self.check_table(table, shape, path, line);
                None
            }
            (DeValue::Array(array), "array") => {
                self.check_array(array, shape, path);
                let short = shape["minItems"]
                    .as_u64()
                    .is_some_and(|n| (array.len() as u64) < n);
                short.then(|| Problem::BadValue("the list is empty".to_owned()))
            }
            (DeValue::Boolean(_), "boolean") => None,
            (DeValue::Integer(number), "integer") => {
                let read = i64::from_str_radix(number.as_str(), number.radix());
                check_integer(read.ok(), own, shape)
            }
            (DeValue::Integer(number), "number") => check_number(number.as_str(), own),
            (DeValue::Float(number), "number") => check_number(number.as_str(), own),
            (DeValue::String(text), "string") => check_text(text, own, shape),
            _ => Some(Problem::WrongType(describe_type(shape))),
        };
        if let Some(problem) = problem {
            self.findings.push(line, path, problem);
        }
    }

    fn check_array(&mut self, array: &mut DeArray<'_>, shape: &'a Value, path: &str) {
        let own = &shape["items"];
        let item = self.resolve(own);
        for (index, value) in array.iter_mut().enumerate() {
            let place = format!("{path}[{index}]");
            let line = self.lines.line_at(value.span().start);
            self.lines.lines.insert(place.clone(), line);
            self.check_value(value, own, item, &place);
        }
    }
}

/// The JSON type of a schema, `null` left out.
fn name_type(shape: &Value) -> &str {
    let first = |list: &'_ Vec<Value>| list.iter().position(|kind| kind != "null");
    match &shape["type"] {
        Value::String(kind) => kind,
        Value::Array(list) => first(list).and_then(|at| list[at].as_str()).unwrap_or(""),
        _ if shape.get("oneOf").is_some() => "string",
        _ => "",
    }
}

fn describe_type(shape: &Value) -> String {
    match name_type(shape) {
        "object" => "a table".to_owned(),
        "array" => "a list".to_owned(),
        "integer" => "a whole number".to_owned(),
        "boolean" => "true or false".to_owned(),
        "number" => "a number".to_owned(),
        _ => "a text".to_owned(),
    }
}

fn check_integer(number: Option<i64>, own: &Value, shape: &Value) -> Option<Problem> {
    let minimum = own["minimum"].as_i64().or(shape["minimum"].as_i64());
    let maximum = match shape["format"].as_str() {
        Some("uint32") => i64::from(u32::MAX),
        _ => i64::MAX,
    };
    let minimum = minimum.unwrap_or(0);
    match number {
        Some(number) if number < minimum => {
            Some(Problem::OutOfRange(format!("at least {minimum}")))
        }
        Some(number) if number <= maximum => None,
        _ => Some(Problem::OutOfRange(format!("at most {maximum}"))),
    }
}

fn check_number(text: &str, own: &Value) -> Option<Problem> {
    let number: f64 = text.parse().unwrap_or(f64::NAN);
    let minimum = own["minimum"].as_f64().unwrap_or(f64::MIN);
    if !number.is_finite() {
        Some(Problem::OutOfRange("finite".to_owned()))
    } else if number < minimum {
        Some(Problem::OutOfRange(format!("at least {minimum}")))
    } else {
        None
    }
}

fn check_text(text: &str, own: &Value, shape: &Value) -> Option<Problem> {
    let listed = |list: &Value, field: Option<&str>| -> Vec<String> {
        let values = list.as_array().into_iter().flatten();
        let pick = |value: &Value| field.map_or_else(|| value.clone(), |f| value[f].clone());
        values
            .map(pick)
            .filter_map(|v| v.as_str().map(str::to_owned))
            .collect()
    };
    let mut allowed = listed(&shape["enum"], None);
    allowed.extend(listed(&shape["oneOf"], Some("const")));
    if !allowed.is_empty() {
        let found = allowed.iter().any(|choice| choice == text);
        return (!found).then(|| Problem::WrongType(format!("one of {}", allowed.join(", "))));
    }
    let format = own["format"].as_str().or(shape["format"].as_str());
    let fault = match format {
        Some("name") if !is_valid_name(text) => ParseError::Name(text.to_owned()).to_string(),
        Some("sha256") => text.parse::<Digest>().err()?.to_string(),
        Some("size") => match text.parse::<ByteSize>() {
            Ok(ByteSize(0)) => "the size must be at least 1".to_owned(),
            Ok(_) => return None,
            Err(error) => error.to_string(),
        },
        Some("path") if !text.starts_with('/') || text.contains(['?', '#', ' ']) => {
            format!("\"{text}\" is not a path that starts with a slash, without query or blank")
        }
        _ => return None,
    };
    Some(Problem::BadValue(fault))
}
