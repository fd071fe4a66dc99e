//! Promotions; guards against two winners, an accepted version that is reported as refused or the
//! reverse, and a text in production that was not tested.

use std::time::Duration;

use siskinbend_control::promotion::Environment;
use siskinbend_control::promotion::PromotionOutcome;
use siskinbend_control::promotion::Refusal;
use siskinbend_control::version::FetchError;
use siskinbend_store::ObjectStore;
use siskinbend_store::documents::fetch_text;
use siskinbend_store::documents::list_history;
use siskinbend_store::fake::FakePlatform;
use siskinbend_store::fake::Fault;
use siskinbend_store::fake::FaultRates;
use siskinbend_types::Version;

use crate::operators::digest_of;
use crate::operators::in_force;
use crate::operators::made_by;
use crate::operators::promote;
use crate::operators::request_of;
use crate::operators::run;
use crate::operators::run_above;
use crate::operators::try_text;
use crate::operators::undo;

/// Checks an ending against the table after every delayed write has landed.
fn check_ending(
    platform: &FakePlatform,
    place: Environment,
    id: u64,
    ending: &PromotionOutcome,
    case: &str,
) {
    let made = made_by(platform, place, id);
    match ending {
        PromotionOutcome::Accepted(tag) => assert_eq!(made, [tag.version.0], "{case}: {ending:?}"),
        PromotionOutcome::Refused(_) | PromotionOutcome::NotApplied(_) => {
            assert_eq!(made, [0u64; 0], "{case}: {ending:?}");
        }
        PromotionOutcome::Unknown(tag) => {
            assert!(
                made.is_empty() || made == [tag.version.0],
                "{case}: {made:?}"
            );
        }
    }
}

/// A platform with "a" as version 1 of both environments.
async fn prepare(seed: u64) -> FakePlatform {
    let platform = FakePlatform::new(seed);
    let tried = run(&platform, 1, try_text("a", 0)).await;
    assert!(matches!(tried, PromotionOutcome::Accepted(_)), "{tried:?}");
    let promoted = run(&platform, 2, promote("a", 0)).await;
    assert!(
        matches!(promoted, PromotionOutcome::Accepted(_)),
        "{promoted:?}"
    );
    platform
}

#[tokio::test(start_paused = true)]
async fn racing_operators_get_exactly_one_winner() {
    for seed in 0..200 {
        let platform = prepare(seed).await;
        platform.set_fault_rates(FaultRates {
            down: 0.05,
            lost: 0.15,
            delayed: 0.1,
            jitter: Duration::from_secs(1),
        });
        let runs = (10..18).map(|id| {
            let platform = platform.clone();
            let request = request_of(id, &format!("text {id}"));
            let place = request.environment();
            tokio::spawn(async move { (id, place, run(&platform, id, request).await) })
        });
        let runs: Vec<_> = runs.collect();
        let mut endings = Vec::new();
        for run in runs {
            endings.push(run.await.expect("no panic"));
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        for place in [Environment::Trial, Environment::Production] {
            let here = endings.iter().filter(|(_, at, _)| *at == place);
            let count =
                |test: fn(&PromotionOutcome) -> bool| here.clone().filter(|e| test(&e.2)).count();
            let winners = count(|ending| matches!(ending, PromotionOutcome::Accepted(_)));
            let open = count(|ending| matches!(ending, PromotionOutcome::Unknown(_)));
            let version = in_force(&platform, place).expect("row").tag.version.0;
            assert!(winners <= 1 && version <= 2, "seed {seed}: {endings:?}");
            assert!(
                version == 1 || open > 0 || winners == 1,
                "seed {seed}: {endings:?}"
            );
            for (id, place, ending) in here {
                check_ending(&platform, *place, *id, ending, &format!("seed {seed}"));
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn every_sequence_of_faults_is_reported_truly() {
    // Each call of a promotion meets each fault, then the platform is up or down for good.
    let delay = Duration::from_secs(60);
    let kinds = [
        Fault::None,
        Fault::Down,
        Fault::LoseAnswer,
        Fault::DelayWrite(delay),
    ];
    for code in 0..4usize.pow(5) {
        let script: Vec<Fault> = (0..5).map(|i| kinds[(code >> (2 * i)) & 3]).collect();
        for (kind, down) in (0..6).map(|case| (case / 2, case % 2 == 0)) {
            let platform = prepare(1).await;
            let request = request_of(kind, "b");
            let place = request.environment();
            let after = if down { Fault::Down } else { Fault::None };
            platform.script_faults(script.iter().copied().chain([after; 20]));
            let ending = run(&platform, 5, request).await;
            tokio::time::sleep(2 * delay).await;
            check_ending(
                &platform,
                place,
                5,
                &ending,
                &format!("{kind} {script:?} {down}"),
            );
            // "Not known" needs a lost answer and a platform that stays away.
            let lost = script
                .iter()
                .any(|f| matches!(f, Fault::LoseAnswer | Fault::DelayWrite(_)));
            let known = !matches!(ending, PromotionOutcome::Unknown(_));
            assert!(
                known || (lost && down),
                "{kind} {script:?} {down}: {ending:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answer_of_the_transaction_is_read_back() {
    let platform = prepare(1).await;
    // Put, read, then the transaction.
    platform.script_faults([Fault::None, Fault::None, Fault::LoseAnswer]);
    let ending = run(&platform, 5, try_text("b", 1)).await;
    assert!(matches!(ending, PromotionOutcome::Accepted(tag) if tag.version == Version(2)));
    // A write that arrives late finds its checks broken by its own repeat.
    let late = Fault::DelayWrite(Duration::from_secs(5));
    platform.script_faults([Fault::None, Fault::None, late]);
    let ending = run(&platform, 6, try_text("c", 2)).await;
    assert!(matches!(ending, PromotionOutcome::Accepted(tag) if tag.version == Version(3)));
    let ending = run(&platform, 7, try_text("d", 3)).await;
    assert!(matches!(ending, PromotionOutcome::Accepted(tag) if tag.version == Version(4)));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let entry = in_force(&platform, Environment::Trial).expect("row");
    assert_eq!(entry.tag.digest, digest_of("d"));
}

#[tokio::test(start_paused = true)]
async fn later_edit_of_the_trial_is_not_promoted() {
    let platform = prepare(1).await;
    run(&platform, 3, try_text("b", 1)).await;
    run(&platform, 4, try_text("c", 2)).await;
    let ending = run(&platform, 5, promote("b", 1)).await;
    let PromotionOutcome::Refused(Refusal::TrialChanged(Some(entry))) = ending else {
        panic!("{ending:?}")
    };
    assert_eq!(entry.tag.digest, digest_of("c"));
    // The edit comes between the read of the trial and the transaction.
    let slow = Fault::Slow(Duration::from_secs(1));
    platform.script_faults([Fault::None, Fault::None, slow]);
    let racing = tokio::spawn({
        let platform = platform.clone();
        async move { run(&platform, 6, promote("c", 1)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    run(&platform, 7, try_text("d", 3)).await;
    let ending = racing.await.expect("no panic");
    let PromotionOutcome::Refused(Refusal::TrialChanged(Some(entry))) = ending else {
        panic!("{ending:?}")
    };
    assert_eq!(entry.tag.digest, digest_of("d"));
    assert_eq!(made_by(&platform, Environment::Production, 6), [0u64; 0]);
}

#[tokio::test(start_paused = true)]
async fn undo_makes_a_new_version_with_the_old_text() {
    let platform = prepare(1).await;
    run(&platform, 3, try_text("b", 1)).await;
    run(&platform, 4, promote("b", 1)).await;
    let ending = run(&platform, 5, undo(9, 2)).await;
    assert_eq!(
        ending,
        PromotionOutcome::Refused(Refusal::UnknownVersion(Version(9)))
    );
    let ending = run(&platform, 6, undo(1, 1)).await;
    assert!(
        matches!(
            ending,
            PromotionOutcome::Refused(Refusal::Superseded(Some(_)))
        ),
        "{ending:?}"
    );
    run(&platform, 7, undo(1, 2)).await;
    let entry = in_force(&platform, Environment::Production).expect("row");
    assert_eq!(
        (entry.tag.version, entry.tag.digest),
        (Version(3), digest_of("a"))
    );
    let history = list_history(&platform, Environment::Production, 10)
        .await
        .expect("rows");
    let versions: Vec<_> = history.iter().map(|entry| entry.tag.version.0).collect();
    assert_eq!((versions, history.last()), (vec![1, 2, 3], Some(&entry)));
    let text = fetch_text(&platform, &entry.tag.digest).await;
    assert_eq!(text.as_deref(), Ok("a"));
    // An object that is damaged or was never written is not taken for the text.
    platform
        .put(&digest_of("b"), "c".into())
        .await
        .expect("put");
    assert_eq!(
        fetch_text(&platform, &digest_of("b")).await,
        Err(FetchError::Failed)
    );
    assert_eq!(
        fetch_text(&platform, &digest_of("z")).await,
        Err(FetchError::Missing)
    );
}

#[tokio::test(start_paused = true)]
async fn restored_old_row_never_lets_a_version_be_used_twice() {
    let platform = prepare(1).await;
    let old = platform.peek(&Environment::Trial.key()).expect("row");
    run(&platform, 3, try_text("b", 1)).await;
    platform.restore(old);
    // Version 2 exists with another text; processes that have it would refuse a second one.
    let ending = run(&platform, 4, try_text("c", 1)).await;
    let PromotionOutcome::Refused(Refusal::Reverted(entry, taken)) = ending else {
        panic!("{ending:?}")
    };
    assert_eq!((entry.tag.version, taken), (Version(1), Version(2)));
    let ending = run_above(&platform, 5, try_text("c", 1), Version(2)).await;
    assert!(matches!(ending, PromotionOutcome::Accepted(tag) if tag.version == Version(3)));
}

#[tokio::test(start_paused = true)]
async fn slow_operator_with_a_lower_version_does_not_revert_a_higher_one() {
    let platform = prepare(1).await;
    let slow = Fault::Slow(Duration::from_secs(1));
    platform.script_faults([Fault::None, Fault::None, slow]);
    let racing = tokio::spawn({
        let platform = platform.clone();
        async move { run(&platform, 5, try_text("b", 1)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ending = run_above(&platform, 6, try_text("c", 1), Version(7)).await;
    assert!(matches!(ending, PromotionOutcome::Accepted(tag) if tag.version == Version(8)));
    let ending = racing.await.expect("no panic");
    assert!(
        matches!(ending, PromotionOutcome::Refused(Refusal::Superseded(_))),
        "{ending:?}"
    );
    let entry = in_force(&platform, Environment::Trial).expect("row");
    assert_eq!(entry.tag.version, Version(8));
}
