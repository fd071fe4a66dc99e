//! Promotions under faults and races. Guards against two accepted writes of one version, an outcome
//! that contradicts the table, and the promotion of a text that was not tested.

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

use crate::operators::active_version;
use crate::operators::digest_of;
use crate::operators::promote;
use crate::operators::request_of;
use crate::operators::run;
use crate::operators::run_with_floor;
use crate::operators::try_text;
use crate::operators::undo;
use crate::operators::versions_written_by;

/// Checks an outcome against the table after all delayed writes have been applied.
fn check_outcome(
    platform: &FakePlatform,
    environment: Environment,
    id: u64,
    outcome: &PromotionOutcome,
    case: &str,
) {
    let written = versions_written_by(platform, environment, id);
    match outcome {
        PromotionOutcome::Accepted(tag) => {
            assert_eq!(written, [tag.version.0], "{case}: {outcome:?}");
        }
        PromotionOutcome::Refused(_) | PromotionOutcome::NotApplied(_) => {
            assert_eq!(written, [0u64; 0], "{case}: {outcome:?}");
        }
        PromotionOutcome::Unknown(tag) => {
            assert!(
                written.is_empty() || written == [tag.version.0],
                "{case}: {written:?}"
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
async fn at_most_one_concurrent_promotion_is_accepted() {
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
            let environment = request.environment();
            tokio::spawn(async move { (id, environment, run(&platform, id, request).await) })
        });
        let runs: Vec<_> = runs.collect();
        let mut outcomes_by_author = Vec::new();
        for run in runs {
            outcomes_by_author.push(run.await.expect("no panic"));
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        for environment in [Environment::Trial, Environment::Production] {
            let here = outcomes_by_author
                .iter()
                .filter(|(_, at, _)| *at == environment);
            let count =
                |test: fn(&PromotionOutcome) -> bool| here.clone().filter(|e| test(&e.2)).count();
            let winners = count(|outcome| matches!(outcome, PromotionOutcome::Accepted(_)));
            let unknown = count(|outcome| matches!(outcome, PromotionOutcome::Unknown(_)));
            let version = active_version(&platform, environment)
                .expect("row")
                .tag
                .version
                .0;
            assert!(
                winners <= 1 && version <= 2,
                "seed {seed}: {outcomes_by_author:?}"
            );
            assert!(
                version == 1 || unknown > 0 || winners == 1,
                "seed {seed}: {outcomes_by_author:?}"
            );
            for (id, environment, outcome) in here {
                check_outcome(
                    &platform,
                    *environment,
                    *id,
                    outcome,
                    &format!("seed {seed}"),
                );
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn every_sequence_of_faults_gives_the_true_outcome() {
    // Every combination of faults in the first five calls, then a platform that stays up or down.
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
            let environment = request.environment();
            let after = if down { Fault::Down } else { Fault::None };
            platform.script_faults(script.iter().copied().chain([after; 20]));
            let outcome = run(&platform, 5, request).await;
            tokio::time::sleep(2 * delay).await;
            check_outcome(
                &platform,
                environment,
                5,
                &outcome,
                &format!("{kind} {script:?} {down}"),
            );
            // The outcome may only be unknown after a lost answer and if the platform stays down.
            let lost = script
                .iter()
                .any(|f| matches!(f, Fault::LoseAnswer | Fault::DelayWrite(_)));
            let known = !matches!(outcome, PromotionOutcome::Unknown(_));
            assert!(
                known || (lost && down),
                "{kind} {script:?} {down}: {outcome:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answer_of_the_transaction_is_read_back() {
    let platform = prepare(1).await;
    // The calls are a put, a read and the transaction.
    platform.script_faults([Fault::None, Fault::None, Fault::LoseAnswer]);
    let outcome = run(&platform, 5, try_text("b", 1)).await;
    assert!(matches!(outcome, PromotionOutcome::Accepted(tag) if tag.version == Version(2)));
    // The delayed first attempt must fail its checks, because the second attempt was applied.
    let late = Fault::DelayWrite(Duration::from_secs(5));
    platform.script_faults([Fault::None, Fault::None, late]);
    let outcome = run(&platform, 6, try_text("c", 2)).await;
    assert!(matches!(outcome, PromotionOutcome::Accepted(tag) if tag.version == Version(3)));
    let outcome = run(&platform, 7, try_text("d", 3)).await;
    assert!(matches!(outcome, PromotionOutcome::Accepted(tag) if tag.version == Version(4)));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let record = active_version(&platform, Environment::Trial).expect("row");
    assert_eq!(record.tag.digest, digest_of("d"));
}

#[tokio::test(start_paused = true)]
async fn later_edit_of_the_trial_is_not_promoted() {
    let platform = prepare(1).await;
    run(&platform, 3, try_text("b", 1)).await;
    run(&platform, 4, try_text("c", 2)).await;
    let outcome = run(&platform, 5, promote("b", 1)).await;
    let PromotionOutcome::Refused(Refusal::TrialChanged(Some(record))) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(record.tag.digest, digest_of("c"));
    // The edit happens between the read of the trial row and the transaction.
    let slow = Fault::Slow(Duration::from_secs(1));
    platform.script_faults([Fault::None, Fault::None, slow]);
    let racing = tokio::spawn({
        let platform = platform.clone();
        async move { run(&platform, 6, promote("c", 1)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    run(&platform, 7, try_text("d", 3)).await;
    let outcome = racing.await.expect("no panic");
    let PromotionOutcome::Refused(Refusal::TrialChanged(Some(record))) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(record.tag.digest, digest_of("d"));
    assert_eq!(
        versions_written_by(&platform, Environment::Production, 6),
        [0u64; 0]
    );
}

#[tokio::test(start_paused = true)]
async fn undo_makes_a_new_version_with_the_old_text() {
    let platform = prepare(1).await;
    run(&platform, 3, try_text("b", 1)).await;
    run(&platform, 4, promote("b", 1)).await;
    let outcome = run(&platform, 5, undo(9, 2)).await;
    assert_eq!(
        outcome,
        PromotionOutcome::Refused(Refusal::UnknownVersion(Version(9)))
    );
    let outcome = run(&platform, 6, undo(1, 1)).await;
    assert!(
        matches!(
            outcome,
            PromotionOutcome::Refused(Refusal::Superseded(Some(_)))
        ),
        "{outcome:?}"
    );
    run(&platform, 7, undo(1, 2)).await;
    let record = active_version(&platform, Environment::Production).expect("row");
    assert_eq!(
        (record.tag.version, record.tag.digest),
        (Version(3), digest_of("a"))
    );
    let history = list_history(&platform, Environment::Production, 10)
        .await
        .expect("rows");
    let versions: Vec<_> = history.iter().map(|record| record.tag.version.0).collect();
    assert_eq!((versions, history.last()), (vec![1, 2, 3], Some(&record)));
    let text = fetch_text(&platform, &record.tag.digest).await;
    assert_eq!(text.as_deref(), Ok("a"));
    // A corrupt or missing object must not be returned as the text.
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
async fn restored_environment_row_does_not_reuse_a_version() {
    let platform = prepare(1).await;
    let old = platform.peek(&Environment::Trial.key()).expect("row");
    run(&platform, 3, try_text("b", 1)).await;
    platform.restore(old);
    // Version 2 exists with another text; processes that have it would reject a second version 2.
    let outcome = run(&platform, 4, try_text("c", 1)).await;
    let PromotionOutcome::Refused(Refusal::Reverted(record, taken)) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!((record.tag.version, taken), (Version(1), Version(2)));
    let outcome = run_with_floor(&platform, 5, try_text("c", 1), Version(2)).await;
    assert!(matches!(outcome, PromotionOutcome::Accepted(tag) if tag.version == Version(3)));
}

#[tokio::test(start_paused = true)]
async fn slow_promotion_does_not_replace_a_higher_version() {
    let platform = prepare(1).await;
    let slow = Fault::Slow(Duration::from_secs(1));
    platform.script_faults([Fault::None, Fault::None, slow]);
    let racing = tokio::spawn({
        let platform = platform.clone();
        async move { run(&platform, 5, try_text("b", 1)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let outcome = run_with_floor(&platform, 6, try_text("c", 1), Version(7)).await;
    assert!(matches!(outcome, PromotionOutcome::Accepted(tag) if tag.version == Version(8)));
    let outcome = racing.await.expect("no panic");
    assert!(
        matches!(outcome, PromotionOutcome::Refused(Refusal::Superseded(_))),
        "{outcome:?}"
    );
    let record = active_version(&platform, Environment::Trial).expect("row");
    assert_eq!(record.tag.version, Version(8));
}
