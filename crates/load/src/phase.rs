use super::*;

/// A run of all arrivals with one way to find addresses.
#[derive(Debug)]
pub(crate) struct Phase {
    addresses: Arc<AddressSource>,
    key: String,
    /// Name in progress lines, as in the heading of the report.
    name: &'static str,
    settings: LoadSettings,
}

impl Phase {
    pub(crate) fn new(settings: &LoadSettings, key: &str, uses_discovery: bool) -> Self {
        Self {
            addresses: Arc::new(AddressSource::new(settings, key, uses_discovery)),
            key: key.into(),
            name: if uses_discovery { "asked" } else { "fixed" },
            settings: settings.clone(),
        }
    }

    /// Sends each request at its arrival time and returns the results when all have ended.
    pub(crate) async fn run(&self) -> Result<PhaseReport> {
        let arrivals = generate_arrivals(&self.settings);
        let permits = Arc::new(Semaphore::new(self.settings.concurrent_count as usize));
        let ended_count = Arc::new(AtomicU64::new(0));
        let mut progress_tasks = self.show_progress(arrivals.len(), ended_count.clone());
        let started_at = Instant::now();
        let mut tasks = JoinSet::new();
        let mut report = PhaseReport::new()?;
        for arrival in arrivals {
            sleep_until(started_at + arrival.at).await;
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                report.shed_count += 1;
                continue;
            };
            let request = self.build_request(&arrival);
            let ended_count = ended_count.clone();
            tasks.spawn(async move {
                let outcome = request.run().await;
                ended_count.fetch_add(1, Ordering::Relaxed);
                drop(permit);
                (arrival.kind, outcome)
            });
        }
        while let Some(result) = tasks.join_next().await {
            let (kind, outcome) = result.context("the task of a request failed")?;
            report.record(kind, &outcome);
        }
        report.elapsed = started_at.elapsed();
        progress_tasks.abort_all();
        Ok(report)
    }

    fn build_request(&self, arrival: &Arrival) -> StreamedRequest {
        let max_tokens = match arrival.kind {
            RequestKind::Long => self.settings.long_tokens,
            RequestKind::Short => self.settings.short_tokens,
        };
        StreamedRequest {
            addresses: self.addresses.clone(),
            body: json!({
                "max_tokens": max_tokens,
                "model": self.settings.model,
                "prompt": format!("Request {} of the load program.", arrival.index),
                "seed": self.settings.seed,
                "stream": true,
            }),
            idle_timeout: self.settings.idle_timeout(),
            key: self.key.clone(),
            max_tokens,
        }
    }

    fn show_progress(&self, total: usize, ended_count: Arc<AtomicU64>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let (name, period_ms) = (self.name, self.settings.progress_ms);
        if period_ms == 0 {
            return tasks;
        }
        tasks.spawn(async move {
            loop {
                sleep(Duration::from_millis(period_ms)).await;
                let ended_count = ended_count.load(Ordering::Relaxed);
                eprintln!("{name}: {ended_count} of {total} requests ended");
            }
        });
        tasks
    }
}
