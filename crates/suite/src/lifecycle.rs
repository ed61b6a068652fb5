use super::*;

/// Stops and starts parts of a running cluster.
impl Cluster {
    /// Kills all processes of a failure domain.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn kill_domain(&mut self, domain: usize) -> Result<()> {
        let stage_count = usize::try_from(self.setup.stage_count)?;
        let domain_count = self.setup.domain_count;
        let first = domain * stage_count;
        for engine in &mut self.engines[first..first + stage_count] {
            engine.kill()?;
        }
        self.services[domain].kill()?;
        for (number, entry) in self.entries.iter_mut().enumerate() {
            if number % domain_count == domain {
                entry.kill()?;
            }
        }
        Ok(())
    }

    /// Starts an additional entry instance and returns its number without waiting until it is
    /// ready.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the log when it prints no addresses.
    pub async fn add_entry(&mut self) -> Result<usize> {
        let number = self.entries.len();
        self.start_entry(number).await?;
        Ok(number)
    }

    /// Restarts the processes of a failure domain after all of them have ended.
    ///
    /// # Errors
    ///
    /// Returns an error with the process or condition that failed.
    pub async fn restart_domain(&mut self, domain: usize) -> Result<()> {
        let platform = self.platform.address("address")?;
        for stage in 0..self.setup.stage_count {
            let settings = self.setup.engine(domain, stage, platform);
            let name = settings.place.id.clone();
            let engine = Process::start(&self.temp_dir, "standin-engine", &name, &settings)?;
            let position = domain * usize::try_from(self.setup.stage_count)?;
            self.recorder.record_engine_log_lost();
            self.engines[position + usize::try_from(stage)?] = engine;
        }
        self.recorder.record_execution_log_lost();
        self.services[domain] = self.start_service(domain)?;
        for number in 0..self.entries.len() {
            if number % self.setup.domain_count == domain {
                self.restart_entry(number).await?;
            }
        }
        Ok(())
    }

    /// Restarts an entry instance under the same name after it has ended, and waits until it is
    /// ready and knows its peers. It listens on different ports.
    ///
    /// # Errors
    ///
    /// Returns an error with the condition that failed.
    pub async fn restart_entry(&mut self, number: usize) -> Result<()> {
        let link = Relay::start(self.platform.address("address")?).await?;
        let settings = self.setup.entry(number, link.address());
        let name = settings.instance.clone();
        self.entries[number] = Process::start(&self.temp_dir, "entry", &name, &settings)?;
        self.platform_links[number] = link;
        self.wait_ready(&self.entries[number]).await
    }
}
