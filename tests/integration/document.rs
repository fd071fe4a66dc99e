//! Validation of the environment document. Guards against a fault that is accepted, reported at the
//! wrong place, or hides another one.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use siskinbend_document::Document;
use siskinbend_document::Findings;

const ADEYEMI: &str = include_str!("../../examples/adeyemi.toml");
const AGENCIA: &str = include_str!("../../examples/agencia.toml");

fn findings_of(text: &str) -> Findings {
    Document::parse(text).expect_err("the document has faults")
}

/// Number of the first line that contains `part`.
fn line_of(text: &str, part: &str) -> usize {
    text.lines()
        .position(|l| l.contains(part))
        .expect("present")
        + 1
}

#[test]
fn samples_are_valid_and_their_tokens_work() {
    for text in [ADEYEMI, AGENCIA] {
        let document = Document::parse(text).expect("valid");
        let tokens: Vec<_> = text
            .lines()
            .filter_map(|l| l.strip_prefix("# token "))
            .collect();
        assert_eq!(tokens.len(), document.organisations.len());
        for line in tokens {
            let (name, token) = line.split_once(' ').expect("name and token");
            let found = document.find_organisation(token).expect("known token");
            assert_eq!(found.name.as_str(), name);
        }
        assert_eq!(document.find_organisation("no-such-token"), None);
        assert_eq!(document.find_organisation(""), None);
    }
}

/// Guards against an entry that stops before the end of a request that it took, because the request's
/// route allows more time than the entry waits.
#[test]
fn entries_outlast_requests() {
    for text in [ADEYEMI, AGENCIA] {
        let text = text.replace("drain_ms = 60000", "drain_ms = 900000");
        let document = Document::parse(&text).expect("valid");
        let routes = document.services.iter().flat_map(|s| &s.routes);
        let longest = routes.map(|r| r.timeout_ms).max().expect("a route");
        let drain = document.longest_drain().expect("a service");
        assert!(drain >= Duration::from_millis(longest));
        let declared = document.services.iter().map(|s| s.drain_ms);
        assert!(declared.max() == Some(drain.as_millis() as u64));
    }
}

#[test]
fn second_token_of_a_rotation_works() {
    // Otherwise an organisation would be locked out while it rotates its token.
    let document = Document::parse(ADEYEMI).expect("valid");
    let found = document
        .find_organisation("ibadan-growers-next-token")
        .expect("known");
    assert_eq!(found.name.as_str(), "ibadan-growers");
}

#[test]
fn routes_match_whole_segments() {
    let document = Document::parse(ADEYEMI).expect("valid");
    let desk = document.find_service("hire-desk").expect("service");
    let booking = desk.find_route("POST", "/bookings/7").expect("route");
    assert!(!booking.idempotent);
    // A prefix match within a segment could treat another operation as idempotent.
    assert_eq!(desk.find_route("POST", "/bookingsx"), None);
    assert_eq!(desk.find_route("GET", "/bookings"), None);
    // A dot segment could reach a non-idempotent operation through an idempotent route.
    for path in [
        "/ladders/../bookings",
        "/ladders/%2E%2e/bookings",
        "/ladders/..%2Fbookings",
    ] {
        assert_eq!(desk.find_route("GET", path), None);
    }
    assert!(
        desk.find_route("GET", "/ladders")
            .expect("route")
            .idempotent
    );
}

#[test]
fn all_findings_are_reported_together() {
    let text = ADEYEMI
        .replace("queue_limit = 128", "queue_limit = 0\nqueue_limt = 4")
        .replacen("service = \"draft-pool\"", "service = \"draft-pol\"", 1)
        .replacen("slots = 6", "slots = 3", 1)
        .replace("name = \"oyo-citrus-union\"", "name = \"ibadan-growers\"")
        .replace("name = \"ogbomoso\"", "name = \"Ogbomoso\"")
        .replacen("weight = 1\n", "", 1)
        .replace("body_limit = \"4KiB\"", "body_limit = \"4 KB\"")
        .replace("stall_ms = 2000", "stall_ms = 9000");
    let findings = findings_of(&text);
    let paths: Vec<&str> = findings.0.iter().map(|f| f.path.as_str()).collect();
    let expected = [
        "zones[2].name",
        "organisations[1].name",
        "organisations[3].weight",
        "groups[0].service",
        "groups[0].experts",
        "services[1].queue_limit",
        "services[1].queue_limt",
        "services[1].routes[2].body_limit",
    ];
    for path in expected {
        assert!(paths.contains(&path), "{path} is missing in {findings}");
    }
    assert_eq!(paths.len(), expected.len(), "{findings}");
    let typo = findings
        .0
        .iter()
        .find(|f| f.path.ends_with("limt"))
        .expect("found");
    assert_eq!(typo.line, line_of(&text, "queue_limt"));
    let undefined = findings
        .0
        .iter()
        .find(|f| f.path == "groups[0].service")
        .expect("found");
    assert_eq!(undefined.line, line_of(&text, "draft-pol\""));
}

#[test]
fn single_faults_are_found() {
    // Old text, new text and path of the finding; a bar stands for a line break.
    let cases = r#"
        kind = "plain" => kind = "plan" => services[1].kind
        kind = "plain" => kind = "plain"|model = "m" => services[1].model
        drain_ms = 15000 => drain_ms = 15 => services[1].routes[0].timeout_ms
        drain_ms = 15000 => drain_ms = "15 s" => services[1].drain_ms
        path = "/returns" => path = "/bookings/" => services[1].routes[1].path
        path = "/returns" => path = "returns" => services[1].routes[1].path
        stall_ms = 2000 => stall_ms = 9000 => services[1].routes[2].stall_ms
        rate_limit = 300 => rate_limit = 0.0 => organisations[2].rate_limit
        weight = 6 => weight = 0 => organisations[2].weight
        weight = 6 => weight = 5000000000 => organisations[2].weight
        model = "reply-writer" => role = "both" => services[0].model
        concurrency = 32 => concurrency = 32|zones = ["lagos"] => services[1].zones[0]
        environment = "adeyemi" => environment = "adeyemi => "#;
    for case in cases.lines().skip(1) {
        let parts: Vec<&str> = case.trim_start().split(" => ").collect();
        let [old, new, path] = parts[..] else {
            panic!("{case}")
        };
        let new = new.replace('|', "\n");
        let findings = findings_of(&ADEYEMI.replacen(old, &new, 1));
        let found = findings.0.iter().any(|f| f.path == path);
        assert!(found, "{new}: {findings}");
    }
}

#[test]
fn shared_token_digest_is_found() {
    // Two organisations that share a token could read each other's answers.
    let mut lines = ADEYEMI
        .lines()
        .filter(|l| l.starts_with("token_digests = [\""));
    let (first, second) = (lines.next().expect("line"), lines.next().expect("line"));
    let digest = first.split('"').nth(1).expect("digest");
    let findings = findings_of(&ADEYEMI.replace(second, first));
    assert!(findings.to_string().contains(digest), "{findings}");
}

#[test]
fn digest_and_diff_follow_every_byte() {
    let longer = Document::digest(&format!("{ADEYEMI}\n"));
    assert_ne!(Document::digest(ADEYEMI), longer);
    assert_eq!(siskinbend_document::diff_texts(ADEYEMI, ADEYEMI), "");
    let changed = ADEYEMI.replace("weight = 6", "weight = 7");
    let diff = siskinbend_document::diff_texts(ADEYEMI, &changed);
    assert!(
        diff.contains("-weight = 6") && diff.contains("+weight = 7"),
        "{diff}"
    );
}

#[test]
fn committed_schema_is_current() {
    // Regenerate: cargo run -p siskinbend-document --example schema > docs/document.schema.json
    let committed = include_str!("../../docs/document.schema.json");
    assert_eq!(committed, siskinbend_document::render_schema());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn damaged_documents_never_panic(at in 0..ADEYEMI.len(), cut in 1usize..40, put in "[ -~]{0,6}") {
        let end = (at + cut).min(ADEYEMI.len());
        let text = format!("{}{put}{}", &ADEYEMI[..at], &ADEYEMI[end..]);
        if let Err(findings) = Document::parse(&text) {
            prop_assert!(!findings.0.is_empty());
        }
    }
}
