//! The concurrency limit in a simulation of an overloaded service.

use std::time::Duration;

use siskinbend_routing::ConcurrencyLimit;
use siskinbend_types::Time;

/// Answer time without other requests, and the time that each other request adds.
const BASE_MS: u64 = 150;
const PER_REQUEST_MS: u64 = 5;
/// Goal of the answer time; about 50 concurrent requests can be answered within it.
const GOAL_MS: u64 = 400;

/// Sends a request every `interval` for 20 s to a service that slows down with its load; returns
/// the share of requests that were answered in time.
fn simulate(interval: Duration, is_limited: bool) -> f64 {
    let mut limit = ConcurrencyLimit::default();
    let mut in_flight: Vec<(u64, u64)> = Vec::new();
    let (mut sent, mut in_time) = (0, 0);
    let mut next_us = 0;
    for now in 0..20_000 {
        let (done, rest): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|(end, _)| *end <= now);
        in_flight = rest;
        for (end, duration) in done {
            limit.release();
            let received = Time::from_millis(end - duration);
            limit.record_answer(
                duration as f64 / GOAL_MS as f64,
                received,
                Time::from_millis(end),
            );
            in_time += u64::from(duration <= GOAL_MS);
        }
        if now * 1_000 >= next_us {
            next_us += interval.as_micros() as u64;
            sent += 1;
            if limit.try_acquire(false) || !is_limited {
                let duration = BASE_MS + PER_REQUEST_MS * in_flight.len() as u64;
                in_flight.push((now + duration, duration));
            }
        }
    }
    in_time as f64 / f64::from(sent)
}

/// Guards against a limit that refuses requests that could be answered in time.
#[test]
fn light_load_is_admitted() {
    let share = simulate(Duration::from_millis(10), true);
    assert!(share > 0.95, "{share} in time");
}

/// Guards against an overload in which no request is answered in time. The service can answer about
/// 125 requests a second in time and receives 190.
#[test]
fn limit_keeps_goodput_under_overload() {
    let interval = Duration::from_micros(5_260);
    let without = simulate(interval, false);
    let with = simulate(interval, true);
    assert!(without < 0.1, "{without} in time without a limit");
    assert!(with > 0.5, "{with} in time with a limit, {without} without");
}
