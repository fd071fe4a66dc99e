//! The command that prints the status pages of processes.

use std::process::ExitCode;

use bpaf::Bpaf;
use bytes::Bytes;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::admin::ProcessStatus;
use crate::command::out::print_line;
use crate::limits;

/// Maximum size of a status page in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Processes to query.
#[derive(Debug, Clone, Bpaf)]
pub struct StatusFlags {
    /// Print the status pages as JSON, one per line
    json: bool,
    /// Admin addresses of the processes
    #[bpaf(positional("IP:PORT"), some("no admin address is given"))]
    admin: Vec<String>,
}

/// Queries each process and prints its status; the exit status is 1 if one can't be read.
pub async fn run(flags: StatusFlags) -> ExitCode {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut failed = false;
    for address in &flags.admin {
        match fetch_page(&client, address).await {
            Ok(page) if flags.json => print_line!("{}", String::from_utf8_lossy(&page)),
            Ok(page) => match serde_json::from_slice(&page) {
                Ok(status) => print_status(address, &status),
                Err(error) => {
                    eprintln!("error: {address}: invalid status page: {error}");
                    failed = true;
                }
            },
            Err(error) => {
                eprintln!("error: {address}: {error}");
                failed = true;
            }
        }
    }
    if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

async fn fetch_page(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: &str,
) -> Result<Bytes, String> {
    let uri: Uri = format!("http://{address}/admin/status")
        .parse()
        .map_err(|_| "the address is not of the form IP:PORT".to_owned())?;
    let fetch = async {
        let response = client.get(uri).await.map_err(|e| e.to_string())?;
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES)
            .collect()
            .await;
        body.map(|body| body.to_bytes()).map_err(|e| e.to_string())
    };
    match tokio::time::timeout(limits::CONTROL_TIMEOUT, fetch).await {
        Ok(result) => result,
        Err(_) => Err("the process did not answer in time".to_owned()),
    }
}

fn print_status(address: &str, status: &ProcessStatus) {
    let version = status.version.map_or("none".to_owned(), |v| v.to_string());
    print_line!(
        "{} name={} zone={} admin={address} version={version} digest={} draining={} incarnation={}",
        status.role,
        status.name,
        status.zone,
        status.digest.as_deref().unwrap_or("none"),
        status.draining,
        status.incarnation,
    );
    for note in &status.notes {
        print_line!("  {note}");
    }
}
