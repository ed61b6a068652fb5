use super::*;

/// One run of the demand.
#[derive(Debug)]
pub(crate) struct Phase {
    addresses: Arc<Addresses>,
    key: String,
    name: &'static str,
    settings: LoadSettings,
}

impl Phase {
    pub(crate) fn new(settings: &LoadSettings, key: &str, asks_for_addresses: bool) -> Self {
        Self {
            addresses: Arc::new(Addresses::new(settings, key, asks_for_addresses)),
            key: key.into(),
            name: if asks_for_addresses { "asked" } else { "fixed" },
            settings: settings.clone(),
        }
    }

    /// Sends all requests at their times and waits for their ends.
    pub(crate) async fn run(&self) -> Result<PhaseReport> {
        let arrivals = draw(&self.settings);
        let places = Arc::new(Semaphore::new(self.settings.concurrent_count as usize));
        let ended = Arc::new(AtomicU64::new(0));
        let mut progress = self.show_progress(arrivals.len(), ended.clone());
        let started = Instant::now();
        let mut tasks = JoinSet::new();
        let mut report = PhaseReport::new()?;
        for arrival in arrivals {
            sleep_until(started + arrival.at).await;
            let Ok(place) = places.clone().try_acquire_owned() else {
                report.shed_count += 1;
                continue;
            };
            let exchange = self.exchange(&arrival);
            let ended = ended.clone();
            tasks.spawn(async move {
                let outcome = exchange.run().await;
                ended.fetch_add(1, Ordering::Relaxed);
                drop(place);
                (arrival.work, outcome)
            });
        }
        while let Some(result) = tasks.join_next().await {
            let (work, outcome) = result.context("a request task ended early")?;
            report.add(work, &outcome);
        }
        report.took = started.elapsed();
        progress.abort_all();
        Ok(report)
    }

    fn exchange(&self, arrival: &Arrival) -> Exchange {
        let max_tokens = match arrival.work {
            Work::Long => self.settings.long_tokens,
            Work::Short => self.settings.short_tokens,
        };
        Exchange {
            addresses: self.addresses.clone(),
            body: json!({
                "max_tokens": max_tokens,
                "model": self.settings.model,
                "prompt": format!("Request {} of the load program.", arrival.index),
                "seed": self.settings.seed,
                "stream": true,
            }),
            idle: self.settings.idle(),
            key: self.key.clone(),
            max_tokens,
        }
    }

    fn show_progress(&self, total: usize, ended: Arc<AtomicU64>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let (name, period_ms) = (self.name, self.settings.progress_ms);
        if period_ms == 0 {
            return tasks;
        }
        tasks.spawn(async move {
            loop {
                sleep(Duration::from_millis(period_ms)).await;
                let ended = ended.load(Ordering::Relaxed);
                eprintln!("{name}: {ended} of {total} requests ended");
            }
        });
        tasks
    }
}
