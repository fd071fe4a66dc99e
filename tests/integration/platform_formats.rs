//! Formats of the users' platform: valid and malformed settings, configurations, registry entries
//! and headers.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use siskinbend_platform::PlatformHeaders;
use siskinbend_platform::config::parse_config;
use siskinbend_platform::parse_settings;
use siskinbend_platform::servers::parse_server;
use siskinbend_site::ForwardHead;
use siskinbend_site::HeaderCodec;
use siskinbend_site::RequestKind;
use siskinbend_site::ServerState;

const SETTINGS: &str = "node=edge-1
zone=ibadan
ip=10.1.0.40
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
portRange=7340,7355
platform.address=10.200.1.7:8223
bounds.revokeMs=5000
bounds.graceS=8
something.new=1,2
";

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"a","host":"Shop.example","prefix":"/a/","kind":"streaming","timeoutMs":8000,
"latencyGoalMs":400,"priority":1,"trafficSplit":[{"service":"s1","weight":90},
{"service":"s2","weight":10}],"maxAttempts":2,"public":false,"streamResume":true},
{"name":"b","host":"shop.example","prefix":"/a/b/","kind":"non_idempotent","timeoutMs":900,
"service":"s2","maxAttempts":1,"public":true}],
"services":[{"name":"s1","engine":{"slots":12,"sets":4,"experts":72,"placements":8,"spare":3}},
{"name":"s2","maxConnections":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},
"tenants":[{"name":"growers","apiKeys":["k1","k2"],"priority":1}]}"#;

/// Guards against accepting a settings file with missing or malformed fields, and against reporting
/// only some of its errors.
#[test]
fn settings_are_checked() {
    let settings = parse_settings(SETTINGS).expect("the settings are complete");
    assert_eq!(settings.peers, ([10, 1, 0, 40], 7340).into());
    assert_eq!(settings.bounds.revoke, Duration::from_secs(5));
    let broken = SETTINGS.replace("zone=ibadan\n", "").replace("7340,", "x,") + "nonsense\n";
    let findings = parse_settings(&broken).expect_err("three errors");
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 3, "{texts:?}");
    assert!(
        texts.contains(&"zone: the field is missing".to_owned()),
        "{texts:?}"
    );
    assert!(
        texts
            .iter()
            .any(|t| t.starts_with("line 5") && t.contains("portRange"))
    );
}

/// Guards against routing by a shorter prefix than the longest match, and against misread weights,
/// request kinds and keys.
#[test]
fn config_is_decoded() {
    let config = parse_config(CONFIG.as_bytes()).expect("a valid configuration");
    let route = config
        .find_route("shop.example:80", "/a/x")
        .expect("a route");
    assert_eq!(
        (route.kind, route.max_attempts),
        (RequestKind::ResumableStream, 2)
    );
    assert_eq!(route.choose_service(89).map(|s| s.as_str()), Some("s1"));
    assert_eq!(route.choose_service(95).map(|s| s.as_str()), Some("s2"));
    let longest = config
        .find_route("SHOP.example", "/a/b/c")
        .expect("a route");
    assert_eq!(longest.kind, RequestKind::NonIdempotent);
    assert!(config.find_route("shop.example", "/ab").is_none());
    let keys = config.keys.as_ref().expect("keys are needed");
    assert_eq!(
        keys.get("k2").map(|k| k.organisation.as_str()),
        Some("growers")
    );
    assert!(parse_config(&CONFIG.as_bytes()[..300]).is_err());
}

/// Guards against malformed registry entries of other writers: they must not receive requests or
/// make the registry unreadable.
#[test]
fn entries_may_be_malformed() {
    let valid = r#"{"service":"s1","address":"10.1.0.9:80","zone":"a","slots":12,"state":"ready"}"#;
    let server = parse_server("i-1", valid.as_bytes()).expect("a server");
    assert_eq!((server.state, server.started_ms), (ServerState::Ready, 0));
    for malformed in [
        &valid[..30],
        &valid.replace("ready", "sleeping"),
        &valid.replace("\"10.1.0.9:80\"", "7"),
        &valid.replace("\"slots\":12,", ""),
        "\u{0}",
    ] {
        assert!(
            parse_server("i-1", malformed.as_bytes()).is_none(),
            "{malformed}"
        );
    }
}

/// Guards against forwarding a caller's API key, and against trusting an organisation or target
/// that the caller set.
#[test]
fn headers_are_replaced() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("authorization", "Bearer k1"),
        ("x-tenant", "somebody"),
        ("x-target-instance", "i-9"),
        ("x-request-id", "abc"),
        ("x-deadline-ms", "8000"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let request = PlatformHeaders.decode_request(&headers);
    assert_eq!(request.key.as_deref(), Some("k1"));
    assert_eq!(request.timeout, Some(Duration::from_secs(8)));
    let head = ForwardHead {
        target: "i-1".parse().expect("a valid name"),
        timeout: Duration::from_millis(750),
        organisation: Some("growers".parse().expect("a valid name")),
        last_event: Some("12".into()),
        priority: None,
    };
    PlatformHeaders.encode_forward(&mut headers, &head);
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    assert_eq!(text("authorization"), None);
    assert_eq!(text("x-tenant"), Some("growers"));
    assert_eq!(text("x-target-instance"), Some("i-1"));
    assert_eq!(text("x-deadline-ms"), Some("750"));
    assert_eq!(text("last-event-id"), Some("12"));
    assert_eq!(text("x-request-id"), Some("abc"));
}

/// Guards against taking the part of a single request for one that requests share, and against
/// losing the order of the parts.
#[test]
fn prompt_parts_are_read() {
    let shared = |value: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-prompt-prefix", HeaderValue::from_static(value));
        let request = PlatformHeaders.decode_request(&headers);
        let parts = request.shared_parts().iter();
        parts.map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(shared("5c1e:800,91bd:410,e440:250"), ["5c1e", "91bd"]);
    assert_eq!(shared(" 5c1e , e440:250,"), ["5c1e"]);
    for single in ["e440:250", ",", ""] {
        assert!(shared(single).is_empty(), "{single}");
    }
}

/// Guards against missing the request limit of a server, and against taking text that is no rate for
/// one.
#[test]
fn server_limits_are_read() {
    let limit = |value: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert("server-limit", HeaderValue::from_static(value));
        let response = PlatformHeaders.decode_response(200, &headers);
        response.limit.map(|rate| rate.per_second())
    };
    assert_eq!(limit("2.5"), Some(2.5));
    assert_eq!(limit(" 40 "), Some(40.0));
    for malformed in ["", "many", "-1", "inf", "NaN", "2,5"] {
        assert_eq!(limit(malformed), None, "{malformed}");
    }
}

/// Guards against missing the cold time of a server, against taking other text for one, and against
/// losing a server or a configuration because of a malformed one.
#[test]
fn cold_times_are_read() {
    let stated = |value: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-cold-ms", HeaderValue::from_static(value));
        PlatformHeaders.decode_response(200, &headers).cold_for
    };
    assert_eq!(stated(" 1500.5 "), Some(Duration::from_micros(1_500_500)));
    for malformed in ["", "soon", "-1", "inf", "NaN", "1,5"] {
        assert_eq!(stated(malformed), None, "{malformed}");
    }
    for (text, millis) in [("2500", 2_500), ("\"soon\"", 0), ("-1", 0), ("null", 0)] {
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":{text}}}"
        );
        let server = parse_server("i-1", entry.as_bytes()).expect("a server");
        assert_eq!(server.cold_for, Duration::from_millis(millis), "{text}");
    }
    for (text, is_limited) in [("20", true), ("\"20\"", false), ("-1", false), ("0", false)] {
        let config = format!(
            "{{\"version\":1,\"routes\":[],\"services\":[{{\"name\":\"desk\",\
             \"coldStartS\":{text},\"coldPerS\":34}}]}}"
        );
        let config = parse_config(config.as_bytes()).expect("a configuration");
        assert_eq!(
            config.services[0].slow_start.is_some(),
            is_limited,
            "{text}"
        );
    }
}

/// Guards against treating a response as "not run" without the header or status that proves it.
#[test]
fn not_run_needs_proof() {
    let headers = HeaderMap::new();
    assert!(!PlatformHeaders.decode_response(503, &headers).not_run);
    assert!(PlatformHeaders.decode_response(421, &headers).not_run);
    let mut headers = HeaderMap::new();
    headers.insert("x-not-executed", HeaderValue::from_static("1"));
    headers.insert("x-server-load", HeaderValue::from_static("3,1,8"));
    let response = PlatformHeaders.decode_response(503, &headers);
    assert!(response.not_run);
    assert_eq!(
        response.load.map(|l| (l.running, l.queued, l.slots)),
        Some((3, 1, 8))
    );
}
