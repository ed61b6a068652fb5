use super::*;

/// Maximum times that a call is sent before its caller gives up, because of errors or because the
/// operation was not run.
const MAX_SEND_COUNT: usize = 20;

/// Delay before a refused or failed call is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Callers that send requests one after another until they are stopped: some stream answers, the
/// others make non-repeatable calls.
#[derive(Debug)]
pub struct LoadGenerator {
    /// Number of answers or calls that each caller has completed.
    completed: Arc<Vec<AtomicU64>>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<Result<()>>,
}

impl LoadGenerator {
    /// Starts `stream_count` callers that stream answers and `call_count` that make calls.
    #[must_use]
    pub fn start(caller: &Caller, stream_count: u32, call_count: u32) -> Self {
        let counts = (0..stream_count + call_count).map(|_| AtomicU64::new(0));
        let (completed, stop) = (
            Arc::new(counts.collect::<Vec<_>>()),
            watch::Sender::new(false),
        );
        let mut tasks = JoinSet::new();
        for number in 0..stream_count {
            let (caller, completed, stop) = (caller.clone(), completed.clone(), stop.subscribe());
            tasks.spawn(stream_answers(caller, number, completed, stop));
        }
        for number in 0..call_count {
            let (caller, completed, stop) = (caller.clone(), completed.clone(), stop.subscribe());
            tasks.spawn(make_calls(caller, number + stream_count, completed, stop));
        }
        Self {
            completed,
            stop,
            tasks,
        }
    }

    /// Number of answers and calls that all callers have completed so far.
    #[must_use]
    pub fn completed_count(&self) -> u64 {
        self.counts().iter().sum()
    }

    /// Waits until each caller has completed `count` more answers or calls. Callers refresh their
    /// entry addresses before each request, so each one has done so by then.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes longer than `WAIT_LIMIT`.
    pub async fn wait_for_progress_of_each(&self, count: u64) -> Result<()> {
        let before = self.counts();
        wait_until("each caller completes requests", async || {
            let counts = self.counts();
            let mut pairs = counts.iter().zip(&before);
            Ok(pairs
                .all(|(now, before)| *now >= before + count)
                .then_some(()))
        })
        .await
    }

    fn counts(&self) -> Vec<u64> {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        self.completed.iter().map(load).collect()
    }

    /// Waits until the callers together have completed `count` more answers and calls.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes longer than `WAIT_LIMIT`.
    pub async fn wait_for_progress(&self, count: u64) -> Result<()> {
        let target = self.completed_count() + count;
        wait_until("the callers complete requests", async || {
            Ok((self.completed_count() >= target).then_some(()))
        })
        .await
    }

    /// Stops the load after each caller has completed its current request.
    ///
    /// # Errors
    ///
    /// Returns the first error of a caller.
    pub async fn finish(mut self) -> Result<()> {
        self.stop.send_replace(true);
        while let Some(result) = self.tasks.join_next().await {
            result??;
        }
        Ok(())
    }
}

async fn stream_answers(
    mut caller: Caller,
    number: u32,
    completed: Arc<Vec<AtomicU64>>,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    let mut seed = 0;
    while !*stop.borrow() {
        caller.refresh_addresses().await;
        let answer = ExpectedAnswer {
            prompt: format!("Describe lagoon {number} on day {seed}."),
            seed,
            token_count: 30,
        };
        answer.check(&caller.generate(&answer.body()).await?)?;
        completed[number as usize].fetch_add(1, Ordering::Relaxed);
        seed += 1;
    }
    Ok(())
}

async fn make_calls(
    mut caller: Caller,
    number: u32,
    completed: Arc<Vec<AtomicU64>>,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    let path = format!("/v1/services/{SERVICE}/confirm");
    let mut count = 0;
    while !*stop.borrow() {
        caller.refresh_addresses().await;
        let key = format!("load-{number}-{count}");
        for _ in 0..MAX_SEND_COUNT {
            let outcome = caller.call(&path, &key, &json!({"room": count})).await;
            if matches!(outcome, Ok(CallOutcome::Ran(_) | CallOutcome::Unknown)) {
                break;
            }
            sleep(RETRY_DELAY).await;
            caller.refresh_addresses().await;
        }
        completed[number as usize].fetch_add(1, Ordering::Relaxed);
        count += 1;
    }
    Ok(())
}
