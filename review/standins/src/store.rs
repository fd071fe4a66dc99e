//! The platform's metadata store: rows, the change feed, and a restore from an older copy.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Connection;
use crate::http::Request;

#[derive(Clone)]
struct Row {
    /// `None` marks a removed row.
    value: Option<Vec<u8>>,
    version: u64,
}

type Rows = BTreeMap<(String, String), Row>;

#[derive(Default)]
struct State {
    rows: Rows,
    version: u64,
    /// Number of the store's history.
    era: u64,
    is_down: bool,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Copy of the store.
pub struct Copy {
    rows: Rows,
    version: u64,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> io::Result<(Arc<Store>, SocketAddr)> {
        let store = Arc::new(Store::default());
        store.state().era = 1;
        let shared = Arc::clone(&store);
        let handler = move |request: &Request, connection: &mut Connection| {
            shared.handle(request, connection)
        };
        let address = http::serve(([127, 0, 0, 1], 0).into(), Arc::new(handler))?;
        Ok((store, address))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Writes a row as the operator or a replica.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.write(table, key, Some(value.to_string().into_bytes()));
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let row = Row { value, version };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        drop(state);
        self.changed.notify_all();
    }

    /// Copies all rows.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// Answers nothing any more: connections are reset.
    pub fn stop(&self) {
        self.state().is_down = true;
        self.changed.notify_all();
    }

    /// Comes back with the rows of a copy, in a new era.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state();
        state.rows = copy.rows;
        state.version = copy.version;
        state.era += 1;
        state.is_down = false;
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        if self.state().is_down {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let (status, body) = match request.path.as_str() {
            "/rows-get" => self.get(request),
            "/rows-feed" => self.feed(request),
            "/rows-tx" => self.transact(request),
            _ => (404, json!({})),
        };
        let state = self.state();
        if state.is_down {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let era = state.era;
        drop(state);
        let headers = [
            ("content-type", "application/json".to_owned()),
            ("store-era", era.to_string()),
        ];
        connection.answer(status, &headers, body.to_string().as_bytes())
    }

    fn get(&self, request: &Request) -> (u16, Value) {
        let table = request.parameter("table").unwrap_or_default();
        let from = request.parameter("from").unwrap_or_default();
        let state = self.state();
        let is_listed = |key: &(String, String), row: &Row| {
            key.0 == table && key.1.as_str() >= from && row.value.is_some()
        };
        let rows = state.rows.iter().filter(|(key, row)| is_listed(key, row));
        let rows: Vec<Value> = rows.map(encode).collect();
        (
            200,
            json!({"rows": rows, "truncated": false, "schemaVersion": state.version, "nowMs": 1}),
        )
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|t| t.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state();
        let era = state.era;
        loop {
            if after > state.version || state.era != era {
                return (410, json!({}));
            }
            let is_new = |key: &(String, String), row: &Row| key.0 == table && row.version > after;
            let found = state.rows.iter().filter(|(key, row)| is_new(key, row));
            let mut found: Vec<_> = found.collect();
            found.sort_by_key(|(_, row)| row.version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() || state.is_down {
                let rows: Vec<Value> = found.into_iter().map(encode).collect();
                let version = state.version;
                return (
                    200,
                    json!({"rows": rows, "truncated": false, "schemaVersion": version, "nowMs": 1}),
                );
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(&request.body) else {
            return (400, json!({}));
        };
        for part in ["writes", "remove"] {
            for row in call[part].as_array().into_iter().flatten() {
                let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
                if ["op", "servers"].contains(&text("table").as_str()) {
                    return (403, json!({}));
                }
                let value = STANDARD.decode(text("value")).unwrap_or_default();
                self.write(
                    &text("table"),
                    &text("key"),
                    (part == "writes").then_some(value),
                );
            }
        }
        (
            200,
            json!({"schemaVersion": self.state().version, "nowMs": 1}),
        )
    }
}

fn encode((key, row): (&(String, String), &Row)) -> Value {
    let mut encoded =
        json!({"table": key.0, "part": "", "key": key.1, "schemaVersion": row.version});
    match &row.value {
        Some(value) => encoded["value"] = json!(STANDARD.encode(value)),
        None => encoded["tombstone"] = json!(true),
    }
    encoded
}
