//! Count reports. Guards against wrong demand estimates from lost, late, duplicated or malformed
//! reports.

use proptest::prelude::*;
use siskinbend_placement::DemandEstimator;
use siskinbend_placement::ExpertMap;
use siskinbend_placement::Report;
use siskinbend_placement::ReportError;
use siskinbend_placement::Shape;
use siskinbend_placement::packing::pack_map;
use siskinbend_types::Version;

const SHAPE: Shape = Shape {
    ranks: 4,
    experts: 12,
    layers: 2,
    slots: 5,
};
const INTERVAL_STEPS: u32 = 300;

fn demand() -> Vec<Vec<f64>> {
    let layer: Vec<f64> = (1..=12).map(|place| 400.0 / f64::from(place)).collect();
    vec![layer.clone(), layer.into_iter().rev().collect()]
}

fn packed() -> ExpertMap {
    pack_map(SHAPE, &demand(), &[1.0; 4], Version(1)).expect("the experts fit")
}

/// The report of a rank that counted exactly the expected tokens.
fn report(map: &ExpertMap, rank: u16, interval: u32, speed: f64) -> Report {
    let layers: Vec<Vec<u64>> = map
        .layers
        .iter()
        .zip(demand())
        .map(|(layer, tokens)| {
            let count = |(e, share): (usize, u16)| {
                (tokens[e] * f64::from(share) / 10_000.0 * f64::from(INTERVAL_STEPS)).round() as u64
            };
            layer.list_hosted(rank).map(count).collect()
        })
        .collect();
    let tokens: u64 = layers.iter().flatten().sum();
    Report {
        version: map.version,
        interval,
        rank,
        steps: INTERVAL_STEPS,
        busy_ns: (tokens as f64 / f64::from(INTERVAL_STEPS) * 1_000.0 / speed) as u32,
        layers,
    }
}

fn assert_close(estimator: &DemandEstimator) {
    for (layer, truth) in estimator.estimate().layers.iter().zip(demand()) {
        for (mean, tokens) in layer.mean.iter().zip(truth) {
            assert!((mean / tokens - 1.0).abs() < 0.02, "{mean} for {tokens}");
        }
    }
}

proptest! {
    #[test]
    fn decoder_never_panics(bytes: Vec<u8>, flips: Vec<(usize, u8)>) {
        let _ = Report::decode(&bytes, SHAPE);
        let mut damaged = report(&packed(), 0, 1, 1.0).encode();
        for (at, value) in flips {
            let length = damaged.len();
            damaged[at % length] ^= value;
        }
        if let Ok(found) = Report::decode(&damaged, SHAPE) {
            let _ = DemandEstimator::new(SHAPE, packed()).ingest(&found);
        }
    }

    #[test]
    fn counts_round_trip_within_their_noise(counts in prop::collection::vec(0u64..1 << 40, 0..5)) {
        let sent = Report { layers: vec![counts.clone()], ..report(&packed(), 0, 1, 1.0) };
        let got = Report::decode(&sent.encode(), SHAPE).unwrap();
        for (count, found) in counts.iter().zip(&got.layers[0]) {
            // One standard deviation of a count is its square root.
            prop_assert!((*count as f64 - *found as f64).abs() <= (*count as f64).sqrt() + 1.0);
        }
        prop_assert_eq!(Report::decode(&got.encode(), SHAPE), Ok(got));
    }

    #[test]
    fn lost_and_reordered_reports_do_not_bias_the_estimate(order in Just(
        (0..32u32).collect::<Vec<u32>>()).prop_shuffle(), lost in 0usize..12,
    ) {
        // The estimate divides by the reported share; otherwise a lost report would look like lower
        // demand.
        let map = packed();
        let mut estimator = DemandEstimator::new(SHAPE, map.clone());
        for at in &order[lost..] {
            let _ = estimator.ingest(&report(&map, (at % 4) as u16, at / 4, 1.0));
        }
        let demand = estimator.estimate();
        for (layer, truth) in demand.layers.iter().zip(self::demand()) {
            let uncounted = layer.mean.iter().zip(truth).filter(|(m, t)| (*m / t - 1.0).abs() > 0.02);
            prop_assert_eq!(uncounted.count(), layer.uncounted);
        }
    }
}

#[test]
fn reports_of_a_full_size_group_fit_the_bandwidth_limit() {
    // The limit at the coordinator is 7 KB/s, of which 2 KB/s are reserved for other control
    // traffic.
    let shape = Shape {
        ranks: 64,
        experts: 256,
        layers: 60,
        slots: 6,
    };
    let layer: Vec<f64> = (1..=256).map(|p| 5_350.0 / f64::from(p)).collect();
    let map = pack_map(shape, &vec![layer.clone(); 60], &[1.0; 64], Version(1)).unwrap();
    let size = |rank| {
        let layers = map.layers.iter().map(|l| {
            let count = |(e, share): (usize, u16)| (layer[e] * f64::from(share) * 0.03) as u64;
            l.list_hosted(rank).map(count).collect()
        });
        let sent = Report {
            version: Version(1),
            interval: 1,
            rank,
            steps: INTERVAL_STEPS,
            busy_ns: 1,
            layers: layers.collect(),
        };
        sent.encode().len()
    };
    let rate = (0..64).map(size).sum::<usize>() / 10;
    println!("bytes per second: {rate}");
    assert!(rate < 5_000, "{rate} B/s");
}

#[test]
fn a_duplicate_is_not_counted_twice() {
    let map = packed();
    let mut estimator = DemandEstimator::new(SHAPE, map.clone());
    for interval in 0..4 {
        for rank in 0..4 {
            let sent = report(&map, rank, interval, 1.0);
            assert_eq!(estimator.ingest(&sent), Ok(()));
            let grown = Report {
                layers: sent
                    .layers
                    .iter()
                    .map(|l| vec![9_000_000; l.len()])
                    .collect(),
                ..sent
            };
            assert_eq!(estimator.ingest(&grown), Err(ReportError::Duplicate));
        }
    }
    assert_close(&estimator);
}

#[test]
fn reports_that_cannot_be_interpreted_are_refused() {
    let map = packed();
    let mut estimator = DemandEstimator::new(SHAPE, map.clone());
    assert_eq!(estimator.ingest(&report(&map, 0, 30, 1.0)), Ok(()));
    let old = report(&map, 0, 3, 1.0);
    assert_eq!(estimator.ingest(&old), Err(ReportError::Late));
    let unknown_rank = Report {
        rank: 4,
        ..old.clone()
    };
    assert_eq!(
        estimator.ingest(&unknown_rank),
        Err(ReportError::UnknownRank)
    );
    let other = Report {
        version: Version(9),
        ..old.clone()
    };
    assert_eq!(estimator.ingest(&other), Err(ReportError::UnknownMap));
    let wrong_size = Report {
        layers: Vec::new(),
        ..old
    };
    assert_eq!(estimator.ingest(&wrong_size), Err(ReportError::WrongSize));
}

#[test]
fn a_report_made_under_the_previous_map_is_counted() {
    // Late counts interpreted under the new map would be assigned to other experts.
    let (old, mut new) = (packed(), ExpertMap::initial(SHAPE).unwrap());
    new.version = Version(2);
    let mut estimator = DemandEstimator::new(SHAPE, old.clone());
    estimator.add_map(new);
    for rank in 0..4 {
        assert_eq!(estimator.ingest(&report(&old, rank, 1, 1.0)), Ok(()));
    }
    assert_close(&estimator);
}

#[test]
fn a_stalling_rank_has_a_lower_speed() {
    let map = packed();
    let mut estimator = DemandEstimator::new(SHAPE, map.clone());
    for interval in 0..6 {
        for rank in 0..4 {
            let speed = if rank == 2 { 0.25 } else { 1.0 };
            let _ = estimator.ingest(&report(&map, rank, interval, speed));
        }
    }
    let speeds = estimator.estimate().speeds;
    assert!((speeds[2] - 0.25).abs() < 0.01, "{speeds:?}");
    assert_eq!([speeds[0], speeds[1], speeds[3]], [1.0; 3]);
}
