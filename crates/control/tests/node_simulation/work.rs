use super::*;

impl Simulation {
    /// Starts work that has a free slot, and completes work whose run time is over.
    pub(super) fn finish_work(&mut self) {
        let mut running: BTreeMap<TargetId, u32> = BTreeMap::new();
        for work in &mut self.work {
            let count = running.entry(work.route[0].clone()).or_default();
            *count += 1;
            if *count <= self.slots && work.started_at.is_none() {
                work.started_at = Some(self.now);
            }
        }
        let mut done = Vec::new();
        for work in &self.work {
            let default = Duration::from_millis(100);
            let duration = self
                .durations
                .get(&work.request)
                .copied()
                .unwrap_or(default);
            if work.started_at.is_some_and(|at| self.now >= at + duration) {
                done.push(work.clone());
            }
        }
        for work in done {
            self.work.retain(|other| other.request != work.request);
            self.completed.push((work.request.clone(), self.now));
            let duration = self
                .durations
                .get(&work.request)
                .map_or(100, Duration::as_millis);
            let event = if work.is_call {
                Event::CallCompleted {
                    attempt: work.attempt,
                    reply: CallReply {
                        body: "{}".into(),
                        status: 200,
                    },
                    request: work.request,
                }
            } else {
                Event::GenerateCompleted {
                    attempt: work.attempt,
                    request: work.request,
                    token_count: (duration / 20).max(1) as u32,
                }
            };
            self.send(work.node, event);
        }
    }
}
