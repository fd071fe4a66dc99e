//! Checks that no request reference ran more than once, over all replicas of a plain service.

use std::collections::BTreeMap;
use std::time::Duration;

use bpaf::Bpaf;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::client::Call;
use crate::client::Caller;
use crate::counters::Counts;
use crate::server::BoxError;

/// Time within which a service must send its counts.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the check.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address of a plain service; may be repeated
    #[bpaf(argument("URL"))]
    pub service: Vec<String>,
    /// Number of distinct references that must have run
    #[bpaf(argument("N"))]
    pub expect: usize,
}

/// Prints a summary line and a line for each reference that ran more than once; returns whether
/// there is none of these and the number of references is as expected.
///
/// # Errors
/// A service does not answer with valid counts.
pub async fn run(options: &Options) -> Result<bool, BoxError> {
    let mut runs = BTreeMap::<String, u64>::new();
    for service in &options.service {
        for reference in read_counts(service).await?.references {
            *runs.entry(reference.id).or_default() += reference.runs;
        }
    }
    let repeated: Vec<_> = runs.iter().filter(|&(_, &count)| count > 1).collect();
    println!(
        "references={} expected={} repeated={}",
        runs.len(),
        options.expect,
        repeated.len()
    );
    for (reference, count) in &repeated {
        println!("repeated_reference={reference} runs={count}");
    }
    Ok(repeated.is_empty() && runs.len() == options.expect)
}

async fn read_counts(service: &str) -> Result<Counts, BoxError> {
    let call = Call {
        method: Method::GET,
        uri: format!("{}/counts", service.trim_end_matches('/')).parse()?,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        stream: false,
        timeout: READ_TIMEOUT,
    };
    let answer = Caller::default().send(&call).await;
    if !answer.is_good() {
        return Err(format!("{service} answered with status {}", answer.status).into());
    }
    Ok(serde_json::from_slice(&answer.tail)?)
}
