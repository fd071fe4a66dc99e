//! The concurrency limit of a group in a simulation in which the group stands still.

use std::time::Duration;

use siskinbend_routing::ConcurrencyLimit;
use siskinbend_types::Time;

/// Interval between two requests, and between two passes of the group, each of which sends one event
/// of every stream.
const REQUEST_MS: u64 = 50;
const PASS_MS: u64 = 60;
/// Events of a stream.
const EVENTS: u32 = 20;
/// Goal of the first event and longest pause between events.
const GOAL_MS: u64 = 400;
const GAP_MS: u64 = 150;
/// Interval at which the gateway asks whether the group is open.
const POLL_MS: u64 = 300;
/// When the group stands still, and for how long.
const STOP_MS: u64 = 6_000;
const STOPPED_MS: u64 = 1_100;
/// Time within which the limit from before must hold again.
const RECOVERY_MS: u64 = 1_000;

struct Stream {
    received: u64,
    last_data: Option<u64>,
    events: u32,
}

/// Sends steady load to a group for 14 s. `is_late` tells whether first events are late at a time.
/// Returns the limit before the standstill, the lowest one from then on, and when requests were
/// refused for the limit.
fn simulate(
    limit: &mut ConcurrencyLimit,
    is_polled: bool,
    is_late: fn(u64) -> bool,
) -> (u32, u32, Vec<u64>) {
    let mut streams: Vec<Stream> = Vec::new();
    let mut refused = Vec::new();
    let (mut before, mut lowest) = (0, u32::MAX);
    let is_stopped = |ms| (STOP_MS..STOP_MS + STOPPED_MS).contains(&ms);
    for ms in 1..14_000 {
        let now = Time::from_millis(ms);
        let is_closed = is_polled && is_stopped(ms - ms % POLL_MS);
        if is_polled && ms % POLL_MS == 0 {
            limit.record_state(!is_stopped(ms), now);
        }
        if ms % REQUEST_MS == 0 && !is_closed {
            match limit.try_acquire(false) {
                true => streams.push(Stream {
                    received: ms,
                    last_data: None,
                    events: 0,
                }),
                false => refused.push(ms),
            }
        }
        if ms % PASS_MS == 0 && !is_stopped(ms) {
            for stream in &mut streams {
                limit.record_data(
                    Time::from_millis(stream.last_data.unwrap_or(stream.received)),
                    now,
                );
                let added = if is_late(ms) { GOAL_MS } else { 0 };
                match stream.last_data.replace(ms) {
                    None => {
                        let ratio = (ms - stream.received + added) as f64 / GOAL_MS as f64;
                        limit.record_answer(ratio, Time::from_millis(stream.received), now);
                    }
                    Some(last) => {
                        limit.record_pause(ms - last > GAP_MS, Time::from_millis(last));
                    }
                }
                stream.events += 1;
            }
            streams.retain(|stream| {
                let is_running = stream.events < EVENTS;
                if !is_running {
                    limit.release();
                }
                is_running
            });
        }
        match ms {
            ..STOP_MS => before = limit.limit().unwrap_or(u32::MAX),
            _ => lowest = lowest.min(limit.limit().unwrap_or(u32::MAX)),
        }
    }
    (before, lowest, refused)
}

/// Returns a limit of about `peak` requests, as late answers leave it.
fn limit_of(peak: u32) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::default();
    (0..peak).for_each(|_| limit.acquire());
    let start = Time::from_millis(1_000);
    for _ in 0..4 {
        limit.record_answer(1.01, Time::from_millis(0), start);
    }
    (0..peak).for_each(|_| limit.release());
    assert!(limit.limit().is_some());
    limit
}

/// Guards against a limit that takes the late events of a standstill for overload. About 24 streams
/// run; a limit of 30 leaves few places for the requests of the standstill.
#[test]
fn limit_survives_standstill() {
    for (peak, is_polled) in [
        (0, false),
        (0, true),
        (60, false),
        (60, true),
        (33, false),
        (33, true),
    ] {
        let mut limit = match peak {
            0 => ConcurrencyLimit::default(),
            peak => limit_of(peak),
        };
        let (before, lowest, refused) = simulate(&mut limit, is_polled, |_| false);
        let case = format!("limit {before}, polled {is_polled}");
        assert!(lowest >= before, "{case}: the limit fell to {lowest}");
        let end = STOP_MS + STOPPED_MS + RECOVERY_MS;
        let late = refused.iter().filter(|ms| **ms > end).count();
        assert_eq!(late, 0, "{case}: refused at {refused:?}");
    }
}

/// Guards against a limit that a standstill exempts from overload for good.
#[test]
fn overload_after_standstill_counts() {
    let mut limit = limit_of(60);
    let (before, lowest, _) = simulate(&mut limit, true, |ms| ms > STOP_MS + STOPPED_MS);
    assert!(lowest < before, "{lowest} of {before}");
}

/// Guards against a group whose passes are all slow and which counts as standing still.
#[test]
fn slow_passes_are_overload() {
    let mut limit = ConcurrencyLimit::default();
    (0..40).for_each(|_| limit.acquire());
    for pass in 1..20 {
        let (start, now) = (pass * 700, (pass + 1) * 700);
        for _ in 0..4 {
            let (start, now) = (Time::from_millis(start), Time::from_millis(now));
            limit.record_data(start, now);
            limit.record_answer(1.75, start, now);
        }
    }
    assert!(limit.limit().is_some_and(|limit| limit < 40));
}

/// Guards against late answers to a burst that meets an idle group and that count as a standstill.
#[test]
fn burst_after_idle_is_overload() {
    let mut limit = ConcurrencyLimit::default();
    limit.record_data(Time::from_millis(100), Time::from_millis(150));
    (0..40).for_each(|_| limit.acquire());
    let (start, now) = (Time::from_millis(5_000), Time::from_millis(5_700));
    for _ in 0..8 {
        limit.record_data(start, now);
        limit.record_answer(1.75, start, now);
    }
    assert!(limit.limit().is_some_and(|limit| limit < 40));
}

/// Guards against a decrease shortly before the standstill became known that lasts.
#[test]
fn early_decrease_is_undone() {
    let mut limit = limit_of(60);
    let before = limit.limit();
    let at = Time::from_millis(5_000);
    limit.record_data(at.before(Duration::from_millis(50)), at);
    for _ in 0..4 {
        limit.record_answer(2.0, at.before(Duration::from_millis(800)), at);
    }
    assert!(limit.limit() < before);
    limit.record_state(false, at + Duration::from_millis(300));
    limit.record_state(true, at + Duration::from_millis(1_200));
    assert_eq!(limit.limit(), before);
}
