//! Parses a document and checks entries against each other: duplicates, references and limits.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use siskinbend_types::ServiceName;
use siskinbend_types::Zone;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::finding::Findings;
use crate::finding::Problem;
use crate::model::Document;
use crate::model::Group;
use crate::model::Organisation;
use crate::model::Route;
use crate::model::Service;
use crate::model::ServiceKind;
use crate::model::ZoneEntry;
use crate::schema;
use crate::schema::LineIndex;
use crate::schema::SchemaValidator;

pub(crate) fn parse_document(text: &str) -> Result<Document, Findings> {
    let schema = schema::build_schema();
    let mut validator = SchemaValidator::new(&schema, text);
    let (mut table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let line = validator
            .lines
            .line_at(error.span().map_or(0, |span| span.start));
        let problem = Problem::Syntax(error.message().to_owned());
        validator.findings.push(line, "", problem);
    }
    if validator.findings.0.is_empty() {
        validator.check_document(table.get_mut());
        let mut checks = EntryChecks {
            lines: &validator.lines,
            findings: &mut validator.findings,
        };
        checks.check_all(table.get_ref());
    }
    let mut findings = validator.findings;
    if findings.0.is_empty() {
        match toml::from_str(text) {
            Ok(document) => return Ok(document),
            Err(error) => {
                let line = validator
                    .lines
                    .line_at(error.span().map_or(0, |span| span.start));
                findings.push(line, "", Problem::BadValue(error.message().to_owned()));
            }
        }
    }
    findings.0.sort_by_key(|finding| finding.line);
    Err(findings)
}

/// An entry of a list with its path.
struct Entry<Kind> {
    path: String,
    value: Kind,
}

/// Decodes the well-formed entries of a list.
fn read_entries<Kind>(table: &DeTable<'_>, list: &str) -> Vec<Entry<Kind>>
where
    Kind: DeserializeOwned,
{
    let read = |(index, value): (usize, &Spanned<DeValue<'_>>)| {
        let read = Kind::deserialize(toml::de::ValueDeserializer::from(value.clone()));
        let path = format!("{list}[{index}]");
        read.ok().map(|value| Entry { path, value })
    };
    match table.get(list).map(Spanned::get_ref) {
        Some(DeValue::Array(array)) => array.iter().enumerate().filter_map(read).collect(),
        _ => Vec::new(),
    }
}

/// Reads the names of all entries of a list, including malformed entries, so that references to a
/// malformed entry are not reported as undefined.
fn read_names(table: &DeTable<'_>, list: &str) -> Vec<String> {
    let read = |value: &Spanned<DeValue<'_>>| match value.get_ref() {
        DeValue::Table(entry) => entry.get("name")?.get_ref().as_str().map(str::to_owned),
        _ => None,
    };
    match table.get(list).map(Spanned::get_ref) {
        Some(DeValue::Array(array)) => array.iter().filter_map(read).collect(),
        _ => Vec::new(),
    }
}

struct EntryChecks<'a> {
    lines: &'a LineIndex,
    findings: &'a mut Findings,
}

impl EntryChecks<'_> {
    fn report(&mut self, path: &str, problem: Problem) {
        self.findings.push(self.lines.line_of(path), path, problem);
    }

    fn check_all(&mut self, table: &DeTable<'_>) {
        let zones: Vec<Entry<ZoneEntry>> = read_entries(table, "zones");
        let organisations: Vec<Entry<Organisation>> = read_entries(table, "organisations");
        let services: Vec<Entry<Service>> = read_entries(table, "services");
        let groups: Vec<Entry<Group>> = read_entries(table, "groups");
        for list in ["zones", "organisations", "services"] {
            if matches!(table.get(list).map(Spanned::get_ref), Some(DeValue::Array(a)) if a.is_empty())
            {
                self.report(
                    list,
                    Problem::BadValue("the list must not be empty".to_owned()),
                );
            }
        }
        self.check_unique(
            zones
                .iter()
                .map(|e| (format!("{}.name", e.path), e.value.name.to_string())),
        );
        self.check_unique(
            organisations
                .iter()
                .map(|e| (format!("{}.name", e.path), e.value.name.to_string())),
        );
        self.check_unique(
            services
                .iter()
                .map(|e| (format!("{}.name", e.path), e.value.name.to_string())),
        );
        self.check_unique(
            groups
                .iter()
                .map(|e| (format!("{}.name", e.path), e.value.name.to_string())),
        );
        self.check_unique(organisations.iter().flat_map(|entry| {
            let digests = entry.value.token_digests.iter().enumerate();
            digests.map(|(i, d)| {
                (
                    format!("{}.token_digests[{i}]", entry.path),
                    d.0.to_string(),
                )
            })
        }));
        let zone_names = read_names(table, "zones");
        for service in &services {
            self.check_service(service, &zone_names);
        }
        let service_names = read_names(table, "services");
        let plain = |entry: &&Entry<Service>| entry.value.kind == ServiceKind::Plain;
        let plain: Vec<_> = services
            .iter()
            .filter(plain)
            .map(|e| &e.value.name)
            .collect();
        for group in &groups {
            self.check_group(group, &service_names, &plain);
        }
    }

    fn check_unique<Names>(&mut self, names: Names)
    where
        Names: Iterator<Item = (String, String)>,
    {
        let mut seen: BTreeMap<String, String> = BTreeMap::new();
        for (path, name) in names {
            if let Some(first) = seen.get(&name) {
                self.report(&path, Problem::Duplicate(name, first.clone()));
            } else {
                seen.insert(name, path);
            }
        }
    }

    fn check_service(&mut self, entry: &Entry<Service>, zones: &[String]) {
        let service = &entry.value;
        for (index, zone) in service.zones.iter().map(Zone::as_str).enumerate() {
            if !zones.iter().any(|name| name == zone) {
                let path = format!("{}.zones[{index}]", entry.path);
                self.report(&path, Problem::UndefinedReference(zone.to_owned()));
            }
        }
        let given = [
            ("model", service.model.is_some()),
            ("adapter", service.adapter.is_some()),
            ("version", service.version.is_some()),
        ];
        match service.kind {
            ServiceKind::Model if service.model.is_none() => {
                self.report(&format!("{}.model", entry.path), Problem::MissingField);
            }
            ServiceKind::Model => {}
            ServiceKind::Plain => {
                for (field, _) in given.iter().filter(|(_, given)| *given) {
                    let message = format!("a plain service must not set {field}");
                    let path = format!("{}.{field}", entry.path);
                    self.report(&path, Problem::Conflict(message));
                }
            }
        }
        self.check_unique(service.routes.iter().enumerate().map(|(index, route)| {
            let path = route.path.trim_end_matches('/');
            let name = format!("{} {path}", route.method.as_str());
            (format!("{}.routes[{index}].path", entry.path), name)
        }));
        for (index, route) in service.routes.iter().enumerate() {
            self.check_route(route, service, &format!("{}.routes[{index}]", entry.path));
        }
    }

    fn check_route(&mut self, route: &Route, service: &Service, path: &str) {
        if route.stall_ms > route.timeout_ms {
            let message = format!(
                "the stall timeout of {} ms exceeds the timeout of {} ms",
                route.stall_ms, route.timeout_ms
            );
            self.report(&format!("{path}.stall_ms"), Problem::Conflict(message));
        }
        if route.timeout_ms > service.drain_ms {
            // A shorter drain time could cut off answers that are still within their timeout.
            let message = format!(
                "the timeout of {} ms exceeds the service's drain time of {} ms",
                route.timeout_ms, service.drain_ms
            );
            self.report(&format!("{path}.timeout_ms"), Problem::Conflict(message));
        }
    }

    fn check_group(&mut self, entry: &Entry<Group>, names: &[String], plain: &[&ServiceName]) {
        let group = &entry.value;
        let path = format!("{}.service", entry.path);
        if !names.iter().any(|name| name == group.service.as_str()) {
            self.report(
                &path,
                Problem::UndefinedReference(group.service.to_string()),
            );
        } else if plain.contains(&&group.service) {
            let message = format!("\"{}\" is a plain service", group.service);
            self.report(&path, Problem::Conflict(message));
        }
        let capacity = u64::from(group.slots) * u64::from(group.ranks);
        if u64::from(group.experts) > capacity {
            let message = format!(
                "{} experts don't fit in {} slots on each of {} ranks",
                group.experts, group.slots, group.ranks
            );
            self.report(
                &format!("{}.experts", entry.path),
                Problem::Conflict(message),
            );
        }
        if group.slots > group.experts {
            let message = format!(
                "{} slots per rank exceed the {} experts per layer",
                group.slots, group.experts
            );
            self.report(&format!("{}.slots", entry.path), Problem::Conflict(message));
        }
    }
}
