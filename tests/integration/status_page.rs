//! The status page of a gateway.

use std::process::Command;

use http::StatusCode;
use siskinbend_standins::site::API_KEY;
use siskinbend_standins::site::build_config;
use siskinbend_standins::site::ranks::GroupShape;

use crate::deployment::Deployment;
use crate::deployment::RANKS;

/// Runs `siskinbend status` and returns what it prints.
fn print_status(address: std::net::SocketAddr) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskinbend"));
    let output = command.arg("status").arg(address.to_string()).output();
    let output = output.expect("the binary starts");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// Guards against operators who can't see which servers and groups a gateway sends nothing to.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_signals() {
    let deployment = Deployment::start().await;
    let [first, second] = [0, 1].map(|n| &deployment.site.plain_replicas[n]);
    first.signals.set_leaving(Some("1"));
    second.signals.set_pause(Some("60"));
    *first.limit.lock().expect("the lock") = Some(50.0);
    for number in 0..2 {
        deployment.call("/stock/x/", &format!("n{number}")).await;
    }
    deployment.call("/draft/x/", "n2").await;
    deployment
        .wait_for_metric("siskinbend_group_open{service=\"drafts\"} 1")
        .await;
    let text = print_status(deployment.metrics);
    for part in [
        "gateway name=edge-0 zone=a",
        "version=1",
        "server=i-desk0 service=desk state=leaving since_ms=",
        "server=i-desk0 service=desk state=limited limit=50/s",
        "server=i-desk1 service=desk state=paused left_ms=",
        "service=desk servers=2 ",
    ] {
        assert!(text.contains(part), "no {part} in {text}");
    }
    let page = deployment.call("/stock/x/", "n3").await;
    assert_eq!(page.status, Some(StatusCode::SERVICE_UNAVAILABLE));
}

/// Guards against serving an organisation where its regions do not allow it.
#[tokio::test(flavor = "multi_thread")]
async fn regions_are_enforced() {
    let deployment = Deployment::start().await;
    let shape = GroupShape::of_ranks(RANKS);
    let mut config = build_config(2, &shape);
    config["tenants"][0]["allowedRegions"] = serde_json::json!(["north"]);
    deployment.site.store.put_json("op", "config", &config);
    deployment
        .wait_for_metric("siskinbend_config_version 2")
        .await;
    let refused = deployment.call("/stock/x/", API_KEY).await;
    let body = refused.body.unwrap_or_default();
    assert!(body.contains("\"region_not_allowed\""), "{body}");
    assert_eq!(deployment.count_runs(API_KEY), 0);
}
