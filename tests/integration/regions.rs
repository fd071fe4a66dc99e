//! Regions that routes and organisations allow.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_platform::config::parse_config;
use siskinbend_platform::parse_settings;
use siskinbend_routing::LoadReport;
use siskinbend_routing::Observation;
use siskinbend_routing::Picker;
use siskinbend_routing::Requirements;
use siskinbend_routing::picker::Settings;
use siskinbend_site::Config;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Region;
use siskinbend_types::RegionSet;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;
use siskinbend_types::ZoneRegions;

const SETTINGS: &str = "node=edge-0\nip=10.0.0.1\nzone=a\nportRange=9000,9003\n\
    platform.address=10.0.0.9:80\nzones.a=north\nzones.b=south\n";

fn region(name: &str) -> Region {
    name.parse().expect("any text")
}

fn zone(name: &str) -> Zone {
    name.parse().expect("a name")
}

fn only(names: &[&str]) -> RegionSet {
    RegionSet::only(names.iter().map(|n| region(n)).collect())
}

/// Parses a configuration whose route and organisation have the given fields.
fn config(route: &str, tenant: &str) -> Config {
    let text = format!(
        r#"{{"version":1,"routes":[{{"host":"h","prefix":"/","kind":"idempotent","timeoutMs":900,
        "service":"s"{route}}}],"services":[],"tenants":[{{"name":"t","apiKeys":["k"]{tenant}}}]}}"#
    );
    parse_config(text.as_bytes()).expect("a valid configuration")
}

fn decode(route: &str) -> RegionSet {
    let config = config(route, "");
    config
        .find_route("h", "/")
        .expect("the route")
        .regions
        .clone()
}

/// Guards against zones without regions because of a misspelt field that nobody is told of.
#[test]
fn zones_have_regions() {
    let settings = parse_settings(SETTINGS).expect("valid settings");
    assert_eq!(settings.regions.find(&zone("b")), Some(&region("south")));
    assert_eq!(settings.regions.find(&zone("c")), None);
    let broken = format!("{SETTINGS}zones.B=east\nzones.=east\nzones.d=\n");
    let findings = parse_settings(&broken).expect_err("three errors");
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 3);
    assert!(texts.contains(&"line 10: zones.d: the zone has no region".to_owned()));
}

/// Guards against a malformed list that allows more than its valid part, and against lists that
/// change without a new fingerprint.
#[test]
fn lists_are_decoded() {
    let none: &[&str] = &[];
    for (text, expected) in [
        ("", RegionSet::default()),
        (r#","allowedRegions":null"#, RegionSet::default()),
        (r#","allowedRegions":[]"#, RegionSet::default()),
        (r#","allowedRegions":["north"]"#, only(&["north"])),
        (r#","allowedRegions":["north",7]"#, only(&["north"])),
        (r#","allowedRegions":[7]"#, only(none)),
        (r#","allowedRegions":"north""#, only(none)),
    ] {
        assert_eq!(decode(text), expected, "{text}");
    }
    let list = r#","allowedRegions":["north"]"#;
    let fingerprints = [config("", ""), config(list, ""), config("", list)];
    let [first, second, third] = fingerprints.map(|c| c.fingerprint());
    assert!(first != second && first != third && second != third);
    let keys = config("", list).keys.expect("keys");
    assert_eq!(
        keys.get("k").map(|o| o.regions.clone()),
        Some(only(&["north"]))
    );
}

/// Guards against serving a request where only its route or only its organisation allows it, and
/// where the region is unknown.
#[test]
fn both_lists_apply() {
    let (route, owner) = (only(&["north", "south"]), only(&["south", "west"]));
    let both = route.intersect(&owner);
    assert_eq!(both, only(&["south"]));
    assert_eq!(route.intersect(&RegionSet::default()), route);
    assert_eq!(RegionSet::default().intersect(&owner), owner);
    assert!(both.allows(Some(&region("south"))) && !both.allows(Some(&region("north"))));
    assert!(!both.allows(None) && RegionSet::default().allows(None));
    assert!(
        !route
            .intersect(&only(&["east"]))
            .allows(Some(&region("north")))
    );
}

/// Creates a picker with a server in each of the zones a, b and c, where c has no known region.
fn picker(draining: &str) -> Picker {
    let mut picker = Picker::new(Settings::default(), zone("a"));
    let mut regions = ZoneRegions::default();
    regions.insert(zone("a"), region("north"));
    regions.insert(zone("b"), region("south"));
    picker.set_regions(regions);
    for name in ["a", "b", "c"] {
        let observation = Observation {
            incarnation: Incarnation(1),
            window: Window(0),
            zone: zone(name),
            draining: name == draining,
            report: LoadReport {
                slots: 4,
                ..LoadReport::default()
            },
            report_age: Duration::ZERO,
        };
        let server = format!("i-{name}").parse().expect("a name");
        picker.observe(&server, observation, Time::default());
    }
    picker
}

/// Guards against choosing a server outside the allowed regions, and against naming the region if the
/// servers in it are the reason.
#[test]
fn choice_is_limited() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut choose = |picker: &mut Picker, regions: RegionSet| {
        let requirements = Requirements {
            regions,
            ..Requirements::default()
        };
        let choice = picker.choose(&requirements, Time::default(), &mut random);
        choice.map(|c| c.agent.to_string())
    };
    for _ in 0..50 {
        let choice = choose(&mut picker(""), only(&["south", "west"]));
        assert_eq!(choice.as_deref(), Ok("i-b"));
    }
    assert!(choose(&mut picker(""), RegionSet::default()).is_ok());
    let nowhere = choose(&mut picker(""), only(&["west"]));
    assert_eq!(nowhere, Err(Reason::RegionNotAllowed));
    let unusable = choose(&mut picker("b"), only(&["south"]));
    assert_eq!(unusable, Err(Reason::NoReplica));
}
