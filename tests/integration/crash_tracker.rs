//! Which requests and parts of prompts are blocked after crashes of backend servers.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use siskinbend_routing::AttemptStage;
use siskinbend_routing::CrashTracker;
use siskinbend_routing::crashes::Blocked;
use siskinbend_routing::crashes::Cause;
use siskinbend_routing::crashes::CrashReport;
use siskinbend_routing::crashes::Settings;
use siskinbend_routing::crashes::Suspect;
use siskinbend_types::Incarnation;
use siskinbend_types::PromptPart;
use siskinbend_types::RequestFingerprint;
use siskinbend_types::Time;

/// Time from one crash to the next: a group opens again, and the next request crashes it.
const CRASH_INTERVAL_MS: u64 = 4_500;
/// First fingerprint of the requests that are not the same as any other.
const FIRST_UNIQUE: u64 = 1_000;
/// Request of which tests don't ask whether it is blocked.
const OTHER_REQUEST: RequestFingerprint = RequestFingerprint(0);

fn parts(prompt: &[&str]) -> Vec<PromptPart> {
    let part = |text: &&str| text.parse().expect("any text is a part");
    prompt.iter().map(part).collect()
}

/// Creates a request that is not the same as any other.
fn suspect(request: &str, prompt: &[&str], stage: AttemptStage) -> Suspect {
    static REQUESTS: AtomicU64 = AtomicU64::new(FIRST_UNIQUE);
    Suspect {
        request: request.into(),
        fingerprint: Some(RequestFingerprint(REQUESTS.fetch_add(1, Ordering::Relaxed))),
        parts: parts(prompt),
        stage,
    }
}

/// Creates request `number`, which may come again under other ids.
fn repeated(number: u64, id: &str, prompt: &[&str], stage: AttemptStage) -> Suspect {
    Suspect {
        fingerprint: Some(RequestFingerprint(number)),
        ..suspect(id, prompt, stage)
    }
}

/// Creates a request of its own whose answer had just begun.
fn starting(prompt: &[&str]) -> Suspect {
    static REQUESTS: AtomicU32 = AtomicU32::new(0);
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    suspect(&format!("r{number}"), prompt, AttemptStage::Starting)
}

fn report(server: u64, suspects: Vec<Suspect>) -> CrashReport {
    CrashReport {
        server: format!("i-{server}").parse().expect("a name"),
        incarnation: Incarnation(1),
        service: "drafts".parse().expect("a name"),
        suspects,
    }
}

/// Time of crash `n`.
fn crash_time(n: u64) -> Time {
    Time::from_millis(1_000_000 + n * CRASH_INTERVAL_MS)
}

/// Records crash `n`, of a server of its own.
fn crash(tracker: &mut CrashTracker, n: u64, suspects: Vec<Suspect>) -> Vec<String> {
    let at = crash_time(n);
    let blocked = tracker.record_crash(report(n, suspects), at, at);
    names(&blocked)
}

/// Lists the parts that are blocked.
fn names(blocked: &[Blocked]) -> Vec<String> {
    let part = |b: &Blocked| match &b.cause {
        Cause::Part(part) => Some(part.to_string()),
        Cause::Request(_) => None,
    };
    blocked.iter().filter_map(part).collect()
}

/// Records crash `n` and returns whether `request` is blocked then.
fn crash_blocks(tracker: &mut CrashTracker, n: u64, suspects: Vec<Suspect>, request: u64) -> bool {
    crash(tracker, n, suspects);
    is_request_blocked(tracker, request, crash_time(n))
}

fn is_request_blocked(tracker: &CrashTracker, request: u64, now: Time) -> bool {
    let request = RequestFingerprint(request);
    tracker.find_blocked(request, &[], now).is_some()
}

fn is_blocked(tracker: &CrashTracker, part: &str, now: Time) -> bool {
    tracker
        .find_blocked(OTHER_REQUEST, &parts(&[part]), now)
        .is_some()
}

/// Guards against not finding the part among the requests that crashed with it, and against blocking
/// parts that sound requests share with it, although no answer is known of any of them.
#[test]
fn common_part_is_blocked() {
    let mut tracker = CrashTracker::default();
    let others = |n: u32| {
        [
            starting(&["first", &format!("other{n}")]),
            suspect(&format!("w{n}"), &["first"], AttemptStage::Waiting),
        ]
    };
    let with_others = |n| [vec![starting(&["first", "bad"])], others(n).to_vec()].concat();
    assert!(crash(&mut tracker, 0, with_others(0)).is_empty());
    assert_eq!(crash(&mut tracker, 1, with_others(1)), ["bad"]);
    let now = crash_time(1);
    assert!(is_blocked(&tracker, "bad", now));
    assert!(!is_blocked(&tracker, "first", now));
    assert_eq!(tracker.count_blocked_parts(now), 1);
}

/// Guards against blocking a sound part that happened to be at the same crashes as the one that
/// causes them.
#[test]
fn tied_parts_wait_for_more() {
    let mut tracker = CrashTracker::default();
    let both = || vec![starting(&["bad"]), starting(&["sound"])];
    for n in 0..2 {
        let blocked = crash(&mut tracker, n, both());
        assert!(blocked.is_empty(), "{blocked:?}");
    }
    assert_eq!(crash(&mut tracker, 2, vec![starting(&["bad"])]), ["bad"]);
    assert!(!is_blocked(&tracker, "sound", crash_time(2)));
}

/// Guards against parts that are never blocked because others are always at the same crashes.
#[test]
fn ties_end() {
    let mut tracker = CrashTracker::default();
    let both = || vec![starting(&["one"]), starting(&["other"])];
    let blocked: Vec<_> = (0..4).map(|n| crash(&mut tracker, n, both())).collect();
    assert!(blocked[..3].iter().all(Vec::is_empty), "{blocked:?}");
    assert_eq!(blocked[3].len(), 1);
}

/// Guards against blocking the other parts for crashes that a blocked part accounts for.
#[test]
fn explained_crashes_are_no_evidence() {
    let mut tracker = CrashTracker::default();
    for n in 0..2 {
        crash(&mut tracker, n, vec![starting(&["first", "bad"])]);
    }
    for n in 2..8 {
        let blocked = crash(&mut tracker, n, vec![starting(&["first", "bad"])]);
        assert!(blocked.is_empty(), "{blocked:?}");
    }
    let second = (8..10).map(|n| crash(&mut tracker, n, vec![starting(&["worse", "x"])]));
    assert_eq!(second.last(), Some(vec!["x".to_owned()]));
}

/// Guards against blocking a popular part because many servers were lost at the same time.
#[test]
fn simultaneous_crashes_count_once() {
    let mut tracker = CrashTracker::default();
    for server in 0..12 {
        let at = crash_time(0) + Duration::from_millis(30 * server);
        let suspects = vec![
            starting(&["popular"]),
            suspect("w", &["queued"], AttemptStage::Waiting),
        ];
        let blocked = tracker.record_crash(report(server, suspects), at, at);
        assert!(names(&blocked).is_empty(), "{blocked:?}");
    }
}

/// Guards against blocking a part that is answered between crashes, and against never blocking one
/// that was answered before it began to crash servers.
#[test]
fn answers_are_evidence() {
    let mut tracker = CrashTracker::default();
    let between = Duration::from_millis(CRASH_INTERVAL_MS / 2);
    for n in 0..10 {
        let blocked = crash(&mut tracker, n, vec![starting(&["sound"])]);
        assert!(blocked.is_empty(), "{blocked:?}");
        tracker.record_answer(OTHER_REQUEST, &parts(&["sound"]), crash_time(n) + between);
    }
    let later: Vec<_> = (11..15)
        .map(|n| crash(&mut tracker, n, vec![starting(&["sound"])]))
        .collect();
    assert!(later[..3].iter().all(Vec::is_empty), "{later:?}");
    assert_eq!(later[3], ["sound"]);
}

/// Guards against trusting a part because of an answer from long ago.
#[test]
fn old_answers_are_forgotten() {
    let mut tracker = CrashTracker::default();
    let long_ago = crash_time(0).before(Settings::default().retention);
    tracker.record_answer(OTHER_REQUEST, &parts(&["bad"]), long_ago);
    assert!(crash(&mut tracker, 0, vec![starting(&["bad"])]).is_empty());
    assert_eq!(crash(&mut tracker, 1, vec![starting(&["bad"])]), ["bad"]);
}

/// Guards against missing a part whose answers break before the gateway sees their beginning, and
/// against blaming answers that were well under way.
#[test]
fn stages_weigh_differently() {
    let mut tracker = CrashTracker::default();
    for n in 0..3 {
        let suspects = vec![
            suspect(&format!("w{n}"), &["waiting"], AttemptStage::Waiting),
            suspect(&format!("s{n}"), &["streaming"], AttemptStage::Streaming),
        ];
        let blocked = crash(&mut tracker, n, suspects);
        let expected: &[&str] = if n == 2 { &["waiting"] } else { &[] };
        assert_eq!(blocked, expected, "crash {n}");
    }
}

/// Guards against counting a crash for each gateway that reports it.
#[test]
fn reports_of_one_crash_are_merged() {
    let mut tracker = CrashTracker::default();
    for gateway in 0..5 {
        let at = crash_time(0) + Duration::from_secs(gateway);
        let blocked = tracker.record_crash(report(0, vec![starting(&["part"])]), at, at);
        assert!(names(&blocked).is_empty(), "{blocked:?}");
    }
    assert_eq!(crash(&mut tracker, 2, vec![starting(&["part"])]), ["part"]);
}

/// Guards against blocking a part because a single request was retried into several crashes.
#[test]
fn each_request_counts_once() {
    let mut tracker = CrashTracker::default();
    for n in 0..10 {
        let retried = repeated(1, "same", &["part"], AttemptStage::Starting);
        let blocked = crash(&mut tracker, n, vec![retried]);
        assert!(blocked.is_empty(), "{blocked:?}");
    }
}

/// Guards against a block that never ends, and against old crashes that count for ever.
#[test]
fn blocks_end() {
    let mut tracker = CrashTracker::default();
    for n in 0..2 {
        crash(&mut tracker, n, vec![starting(&["bad"])]);
    }
    let retention = Settings::default().retention;
    let end = crash_time(1) + retention;
    let just_before = end.before(Duration::from_millis(1));
    let left = tracker.find_blocked(OTHER_REQUEST, &parts(&["bad"]), just_before);
    assert_eq!(left.map(|(_, left)| left), Some(Duration::from_millis(1)));
    assert!(!is_blocked(&tracker, "bad", end));
    let blocked = tracker.record_crash(report(9, vec![starting(&["bad"])]), end, end);
    assert!(names(&blocked).is_empty(), "{blocked:?}");
}

/// Guards against a request that crashes servers under one id after the other, also of servers that
/// had not begun to answer, and against blaming the parts that it shares with others.
#[test]
fn repeated_request_is_blocked() {
    let mut tracker = CrashTracker::default();
    for (n, expected) in [(0, false), (1, true)] {
        let suspects = vec![
            repeated(1, &format!("d{n}"), &["shared"], AttemptStage::Waiting),
            suspect(&format!("w{n}"), &["shared"], AttemptStage::Waiting),
        ];
        let blocked = crash_blocks(&mut tracker, n, suspects, 1);
        assert_eq!(blocked, expected, "crash {n}");
    }
    for n in 2..10 {
        let later = vec![repeated(
            1,
            &format!("d{n}"),
            &["shared"],
            AttemptStage::Waiting,
        )];
        assert!(crash(&mut tracker, n, later).is_empty(), "crash {n}");
    }
    assert!(!is_blocked(&tracker, "shared", crash_time(9)));
    let end = crash_time(1) + Settings::default().request_block;
    assert!(!is_request_blocked(&tracker, 1, end));
}

/// Guards against a second crash by a request whose answer had just begun at the first one, and
/// against refusing it for good: it may have been there by chance.
#[test]
fn begun_request_is_held_back() {
    let mut tracker = CrashTracker::default();
    let begun = vec![
        repeated(1, "a", &[], AttemptStage::Starting),
        repeated(2, "b", &[], AttemptStage::Waiting),
        repeated(3, "c", &[], AttemptStage::Streaming),
    ];
    assert!(crash_blocks(&mut tracker, 0, begun, 1));
    assert!(!is_request_blocked(&tracker, 2, crash_time(0)));
    assert!(!is_request_blocked(&tracker, 3, crash_time(0)));
    let end = crash_time(0) + Settings::default().probation;
    assert!(!is_request_blocked(&tracker, 1, end));
    // The crash of another request does not hold it back again.
    let other = vec![repeated(4, "d", &[], AttemptStage::Starting)];
    tracker.record_crash(report(9, other), end, end);
    assert!(!is_request_blocked(&tracker, 1, end));
}

/// Guards against blocking a request that many callers send and that is answered elsewhere, and
/// against never blocking one that was answered before.
#[test]
fn answered_request_needs_more() {
    let mut tracker = CrashTracker::default();
    let popular = RequestFingerprint(1);
    tracker.record_answer(popular, &[], crash_time(0).before(Duration::from_secs(1)));
    // Servers that are lost together have the same requests.
    for server in 0..6 {
        let at = crash_time(0) + Duration::from_millis(20 * server);
        let suspects = vec![repeated(
            1,
            &format!("p{server}"),
            &[],
            AttemptStage::Starting,
        )];
        tracker.record_crash(report(100 + server, suspects), at, at);
    }
    assert!(!is_request_blocked(&tracker, 1, crash_time(1)));
    let between = crash_time(0) + Duration::from_secs(1);
    tracker.record_answer(popular, &[], between);
    for n in 1..4 {
        let suspects = vec![repeated(1, &format!("q{n}"), &[], AttemptStage::Waiting)];
        assert_eq!(
            crash_blocks(&mut tracker, n, suspects, 1),
            n == 3,
            "crash {n}"
        );
    }
    tracker.record_answer(popular, &[], crash_time(3) + Duration::from_secs(1));
    assert!(
        !is_request_blocked(&tracker, 1, crash_time(4)),
        "the answer ends the block"
    );
}

/// Guards against sending a request to server after server because the same id met several crashes
/// within a moment.
#[test]
fn retried_request_is_blocked() {
    let mut tracker = CrashTracker::default();
    for server in 0..2 {
        let at = crash_time(0) + Duration::from_millis(90 * server);
        let suspects = vec![repeated(1, "same", &[], AttemptStage::Waiting)];
        tracker.record_crash(report(server, suspects), at, at);
    }
    assert!(is_request_blocked(&tracker, 1, crash_time(1)));
}
