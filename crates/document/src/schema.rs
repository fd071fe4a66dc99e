//! Validates the fields of a document against its JSON Schema and collects all faults in one pass.

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

/// Derives the JSON Schema of the document from its types.
pub(crate) fn build_schema() -> Value {
    schemars::schema_for!(Document).to_value()
}

/// Maps the paths of a document to line numbers.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    line_starts: Vec<usize>,
    path_lines: BTreeMap<String, usize>,
}

impl LineIndex {
    pub(crate) fn new(text: &str) -> Self {
        let line_starts = text.match_indices('\n').map(|(at, _)| at + 1).collect();
        let path_lines = BTreeMap::new();
        Self {
            line_starts,
            path_lines,
        }
    }

    /// Returns the line of a byte offset.
    pub(crate) fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset) + 1
    }

    /// Returns the line of a path or, if it is absent, of its nearest ancestor.
    pub(crate) fn line_of(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(line) = self.path_lines.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return 1,
            }
        }
    }
}

/// Validates a document against its schema.
pub(crate) struct SchemaValidator<'a> {
    schema: &'a Value,
    pub(crate) lines: LineIndex,
    pub(crate) findings: Findings,
}

impl<'a> SchemaValidator<'a> {
    pub(crate) fn new(schema: &'a Value, text: &str) -> Self {
        let lines = LineIndex::new(text);
        let findings = Findings::default();
        Self {
            schema,
            lines,
            findings,
        }
    }

    /// Validates the whole document and removes unknown fields from it.
    pub(crate) fn check_document(&mut self, table: &mut DeTable<'_>) {
        self.check_table(table, self.schema, "", 1);
    }

    /// Resolves references and unwraps the type of an optional field.
    fn resolve(&self, schema: &'a Value) -> &'a Value {
        let is_not_null = |option: &&Value| option["type"] != "null";
        if let Some(name) = schema["$ref"].as_str() {
            let name = name.rsplit('/').next().unwrap_or_default();
            return self.resolve(&self.schema["$defs"][name]);
        }
        match schema["anyOf"]
            .as_array()
            .and_then(|any| any.iter().find(is_not_null))
        {
            Some(option) => self.resolve(option),
            None => schema,
        }
    }

    fn check_table(
        &mut self,
        table: &mut DeTable<'_>,
        type_schema: &'a Value,
        path: &str,
        line: usize,
    ) {
        let join = |name: &str| match path {
            "" => name.to_owned(),
            _ => format!("{path}.{name}"),
        };
        let Some(known) = type_schema["properties"].as_object() else {
            return;
        };
        let keys: Vec<_> = table.keys().cloned().collect();
        for key in keys {
            let name = key.get_ref().as_ref();
            let field_path = join(name);
            let line = self.lines.line_at(key.span().start);
            self.lines.path_lines.insert(field_path.clone(), line);
            let schemas = known.get(name).map(|field| (field, self.resolve(field)));
            match (schemas, table.get_mut(name)) {
                (Some((field_schema, type_schema)), Some(value)) => {
                    self.check_value(value, field_schema, type_schema, &field_path);
                }
                _ => {
                    let names: Vec<&str> = known.keys().map(String::as_str).collect();
                    let problem = Problem::UnknownField(names.join(", "));
                    self.findings.push(line, &field_path, problem);
                    table.remove(name);
                }
            }
        }
        let required = type_schema["required"].as_array().into_iter().flatten();
        for name in required.filter_map(Value::as_str) {
            if !table.contains_key(name) {
                self.findings.push(line, &join(name), Problem::MissingField);
            }
        }
    }

    /// Validates one value against the schema of its field and the resolved schema of its type.
    fn check_value(
        &mut self,
        value: &mut Spanned<DeValue<'_>>,
        field_schema: &'a Value,
        type_schema: &'a Value,
        path: &str,
    ) {
        let line = self.lines.line_at(value.span().start);
        let kind = json_type(type_schema);
        let problem = match (value.get_mut(), kind) {
            (DeValue::Table(table), "object") => {
                self.check_table(table, type_schema, path, line);
                None
            }
            (DeValue::Array(array), "array") => {
                self.check_array(array, type_schema, path);
                let too_short = type_schema["minItems"]
                    .as_u64()
                    .is_some_and(|n| (array.len() as u64) < n);
                too_short.then(|| Problem::BadValue("the list must not be empty".to_owned()))
            }
            (DeValue::Boolean(_), "boolean") => None,
            (DeValue::Integer(number), "integer") => {
                let read = i64::from_str_radix(number.as_str(), number.radix());
                check_integer(read.ok(), field_schema, type_schema)
            }
            (DeValue::Integer(number), "number") => check_number(number.as_str(), field_schema),
            (DeValue::Float(number), "number") => check_number(number.as_str(), field_schema),
            (DeValue::String(text), "string") => check_text(text, field_schema, type_schema),
            _ => Some(Problem::WrongType(describe_type(type_schema))),
        };
        if let Some(problem) = problem {
            self.findings.push(line, path, problem);
        }
    }

    fn check_array(&mut self, array: &mut DeArray<'_>, type_schema: &'a Value, path: &str) {
        let field_schema = &type_schema["items"];
        let item_type = self.resolve(field_schema);
        for (index, value) in array.iter_mut().enumerate() {
            let item_path = format!("{path}[{index}]");
            let line = self.lines.line_at(value.span().start);
            self.lines.path_lines.insert(item_path.clone(), line);
            self.check_value(value, field_schema, item_type, &item_path);
        }
    }
}

/// Returns the JSON type of a schema, ignoring `null`.
fn json_type(type_schema: &Value) -> &str {
    let first = |list: &'_ Vec<Value>| list.iter().position(|kind| kind != "null");
    match &type_schema["type"] {
        Value::String(kind) => kind,
        Value::Array(list) => first(list).and_then(|at| list[at].as_str()).unwrap_or(""),
        _ if type_schema.get("oneOf").is_some() => "string",
        _ => "",
    }
}

fn describe_type(type_schema: &Value) -> String {
    match json_type(type_schema) {
        "object" => "a table".to_owned(),
        "array" => "a list".to_owned(),
        "integer" => "an integer".to_owned(),
        "boolean" => "true or false".to_owned(),
        "number" => "a number".to_owned(),
        _ => "a string".to_owned(),
    }
}

fn check_integer(
    number: Option<i64>,
    field_schema: &Value,
    type_schema: &Value,
) -> Option<Problem> {
    let minimum = field_schema["minimum"]
        .as_i64()
        .or(type_schema["minimum"].as_i64());
    let maximum = match type_schema["format"].as_str() {
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

fn check_number(text: &str, field_schema: &Value) -> Option<Problem> {
    let number: f64 = text.parse().unwrap_or(f64::NAN);
    let minimum = field_schema["minimum"].as_f64().unwrap_or(f64::MIN);
    if !number.is_finite() {
        Some(Problem::OutOfRange("finite".to_owned()))
    } else if number < minimum {
        Some(Problem::OutOfRange(format!("at least {minimum}")))
    } else {
        None
    }
}

fn check_text(text: &str, field_schema: &Value, type_schema: &Value) -> Option<Problem> {
    let choices = |list: &Value, field: Option<&str>| -> Vec<String> {
        let values = list.as_array().into_iter().flatten();
        let pick = |value: &Value| field.map_or_else(|| value.clone(), |f| value[f].clone());
        values
            .map(pick)
            .filter_map(|v| v.as_str().map(str::to_owned))
            .collect()
    };
    let mut allowed = choices(&type_schema["enum"], None);
    allowed.extend(choices(&type_schema["oneOf"], Some("const")));
    if !allowed.is_empty() {
        let found = allowed.iter().any(|choice| choice == text);
        return (!found).then(|| Problem::WrongType(format!("one of {}", allowed.join(", "))));
    }
    let format = field_schema["format"]
        .as_str()
        .or(type_schema["format"].as_str());
    let message = match format {
        Some("name") if !is_valid_name(text) => ParseError::Name(text.to_owned()).to_string(),
        Some("sha256") => text.parse::<Digest>().err()?.to_string(),
        Some("size") => match text.parse::<ByteSize>() {
            Ok(ByteSize(0)) => "the size must be at least 1".to_owned(),
            Ok(_) => return None,
            Err(error) => error.to_string(),
        },
        Some("path") if !text.starts_with('/') || text.contains(['?', '#', ' ']) => {
            format!(
                "\"{text}\" is not a path that starts with a slash and has no query, fragment or space"
            )
        }
        _ => return None,
    };
    Some(Problem::BadValue(message))
}
