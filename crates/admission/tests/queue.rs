//! Guards against requests that are refused although capacity becomes free in time, and requests that wait
//! for capacity in vain.

use {
    admission::{AdmissionSettings, Queue, QueueDecision, QueuedRequest},
    std::time::Duration,
};

const START: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn queue() -> Queue {
    Queue::new(AdmissionSettings::default())
}

fn request(account: &str, arrived_at: Duration) -> QueuedRequest {
    QueuedRequest {
        account: account.into(),
        arrived_at,
        goal_deadline: arrived_at + ms(300),
        rank: 1,
        deadline: arrived_at + ms(1_000),
    }
}

/// Records one completion every `gap` in the two seconds before `now`.
fn record_completions(queue: &mut Queue, now: Duration, gap: Duration) {
    let mut at = now - ms(2_000);
    while at < now {
        queue.record_completion(at);
        at += gap;
    }
}

/// Guards against needless refusals: after the loss of one of 33 engines, a third of 501 requests was
/// refused at once although other requests ended every 10 ms.
#[test]
fn request_waits_while_others_end() {
    let mut queue = queue();
    record_completions(&mut queue, START, ms(10));
    let key = queue
        .enqueue(START, request("a", START))
        .expect("is queued");
    assert_eq!(queue.decide(START, key), QueueDecision::Try);
}

/// A request that cannot be served in time is refused at once and not at its deadline.
#[test]
fn request_behind_too_many_is_refused_at_once() {
    let mut queue = queue();
    record_completions(&mut queue, START, ms(50));
    let mut waiting_count = 0;
    let retry_after = loop {
        match queue.enqueue(START, request("a", START)) {
            Ok(_) => waiting_count += 1,
            Err(retry_after) => break retry_after,
        }
        assert!(waiting_count < 100, "no request is refused");
    };
    // Twenty requests end in the second before the deadline.
    assert!((15..=22).contains(&waiting_count), "{waiting_count}");
    assert!(retry_after >= ms(800), "{retry_after:?}");
}

#[test]
fn wait_ends_when_its_time_is_over() {
    let mut queue = queue();
    record_completions(&mut queue, START, ms(10));
    let key = queue
        .enqueue(START, request("a", START))
        .expect("is queued");
    let late = START + ms(1_000);
    assert!(matches!(queue.decide(late, key), QueueDecision::Refuse(_)));
}

/// Guards against requests that have missed their goal and delay those behind them until they miss it too.
#[test]
fn requests_that_can_meet_their_goal_go_first() {
    let mut queue = queue();
    record_completions(&mut queue, START, ms(5));
    let old = START - ms(400);
    let late: Vec<_> = (0..4)
        .map(|_| queue.enqueue(START, request("a", old)).expect("is queued"))
        .collect();
    let fresh = queue
        .enqueue(START, request("a", START))
        .expect("is queued");
    assert_eq!(queue.decide(START, fresh), QueueDecision::Try);
    let trying = late
        .iter()
        .filter(|key| queue.decide(START, **key) == QueueDecision::Try);
    assert!(
        trying.count() < 4,
        "requests that missed their goal wait for the new one"
    );
}

/// Guards against an account that takes all free capacity in a burst.
#[test]
fn accounts_take_turns() {
    let mut queue = queue();
    record_completions(&mut queue, START, ms(5));
    let mut large = Vec::new();
    for _ in 0..30 {
        large.push(
            queue
                .enqueue(START, request("large", START))
                .expect("is queued"),
        );
    }
    let small = queue
        .enqueue(START, request("small", START))
        .expect("is queued");
    let mut order = Vec::new();
    for _ in 0..4 {
        queue.record_dispatch(START, &"large".into());
        order.push(queue.decide(START, small));
    }
    assert!(
        order.contains(&QueueDecision::Try),
        "the small account waits behind 30 requests of the large one"
    );
}

#[test]
fn more_urgent_requests_go_first() {
    let mut queue = queue();
    record_completions(&mut queue, START, ms(5));
    for _ in 0..5 {
        let _ = queue.enqueue(START, request("a", START - ms(100)));
    }
    let urgent = QueuedRequest {
        rank: 0,
        ..request("a", START)
    };
    let urgent = queue.enqueue(START, urgent).expect("is queued");
    assert_eq!(queue.decide(START, urgent), QueueDecision::Try);
}

/// At twice the capacity for ten seconds, most of the requests that are served meet their goal, and the
/// queue is empty soon after the burst.
#[test]
fn queue_empties_after_a_burst_of_twice_the_capacity() {
    let mut queue = queue();
    let mut waiting = Vec::new();
    let (mut served_count, mut late_count, mut refused_count) = (0, 0, 0);
    record_completions(&mut queue, START, ms(20));
    let mut empty_at = None;
    for step in 0..1_500_u64 {
        let now = START + ms(step * 10);
        if step < 1_000 {
            match queue.enqueue(now, request("a", now)) {
                Ok(key) => waiting.push((key, now)),
                Err(_) => refused_count += 1,
            }
        }
        // One request ends every 20 ms.
        if step % 2 == 0 {
            queue.record_completion(now);
            let next = waiting
                .iter()
                .position(|(key, _)| queue.decide(now, *key) == QueueDecision::Try);
            if let Some(next) = next {
                let (key, arrived_at) = waiting.remove(next);
                queue.remove(key);
                served_count += 1;
                late_count += u32::from(now - arrived_at > ms(300));
            }
        }
        waiting.retain(|(key, _)| {
            let is_kept = !matches!(queue.decide(now, *key), QueueDecision::Refuse(_));
            if !is_kept {
                queue.remove(*key);
                refused_count += 1;
            }
            is_kept
        });
        if step >= 1_000 && waiting.is_empty() {
            empty_at = empty_at.or(Some(step - 1_000));
        }
    }
    assert!(
        served_count >= 500,
        "{served_count} served, {refused_count} refused"
    );
    assert!(
        late_count * 5 < served_count,
        "{late_count} of {served_count} late"
    );
    let steps = empty_at.expect("the queue never becomes empty");
    assert!(
        steps <= 150,
        "the queue was empty only {steps} steps after the burst"
    );
}
