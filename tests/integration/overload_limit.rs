//! The limit on requests under way, replayed on a service with more work than it can do in time.

use std::time::Duration;

use siskinbend_routing::ConcurrencyLimit;
use siskinbend_types::Time;

/// Time of an answer when nothing else runs, and what each other request adds.
const ALONE_MS: u64 = 150;
const EACH_MS: u64 = 5;
/// Goal of an answer: about 50 requests at a time can be answered within it.
const GOAL_MS: u64 = 400;

/// Sends a request every `gap` for 20 s to a service that slows down with its load; returns the
/// part that was answered in time.
fn play(gap: Duration, limited: bool) -> f64 {
    let mut limit = ConcurrencyLimit::default();
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let (mut sent, mut in_time) = (0, 0);
    let mut next = 0;
    for now in 0..20_000 {
        let (done, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(end, _)| *end <= now);
        ends = rest;
        for (end, took) in done {
            limit.release();
            let sent = Time::from_millis(end - took);
            limit.record_answer(took as f64 / GOAL_MS as f64, sent, Time::from_millis(end));
            in_time += u64::from(took <= GOAL_MS);
        }
        if now * 1_000 >= next {
            next += gap.as_micros() as u64;
            sent += 1;
            if limit.try_acquire(false) || !limited {
                let took = ALONE_MS + EACH_MS * ends.len() as u64;
                ends.push((now + took, took));
            }
        }
    }
    in_time as f64 / f64::from(sent)
}

/// Guards against a limit that refuses what could be answered in time.
#[test]
fn light_load_is_taken() {
    let share = play(Duration::from_millis(10), true);
    assert!(share > 0.95, "{share} in time");
}

/// Guards against an overload in which nothing is answered in time any more. The service can answer
/// about 125 requests a second in time; 190 come.
#[test]
fn overload_keeps_its_pace() {
    let gap = Duration::from_micros(5_260);
    let without = play(gap, false);
    let with = play(gap, true);
    assert!(without < 0.1, "{without} in time without a limit");
    assert!(with > 0.5, "{with} in time with a limit, {without} without");
}
