//! Queries of what happened to a request.

use super::*;

impl Simulation {
    /// Refusals of a request, each with its time.
    pub fn refusals(&self, request: &str) -> Vec<(Duration, Refusal)> {
        let mut found = Vec::new();
        for (_, at, command) in &self.log {
            match command {
                Command::Refuse {
                    refusal,
                    request: id,
                } if &**id == request => {
                    found.push((*at, refusal.clone()));
                }
                Command::AnswerCall {
                    outcome: CallOutcome::NotRun(refusal),
                    request: id,
                } if &**id == request => found.push((*at, refusal.clone())),
                _ => {}
            }
        }
        found
    }

    /// Whether the caller of a call got a result.
    pub fn has_result(&self, request: &str) -> bool {
        self.log.iter().any(|(_, _, command)| {
            let Command::AnswerCall {
                outcome: CallOutcome::Ran(_),
                request: id,
            } = command
            else {
                return false;
            };
            &**id == request
        })
    }

    /// Routes of all attempts of a request.
    pub fn routes(&self, request: &str) -> Vec<Vec<TargetId>> {
        let mut routes = Vec::new();
        for (_, _, command) in &self.log {
            match command {
                Command::DispatchCall {
                    request: id,
                    target,
                    ..
                } if &**id == request => {
                    routes.push(vec![target.clone()]);
                }
                Command::DispatchGenerate {
                    request: id, route, ..
                } if &**id == request => {
                    routes.push(targets(route));
                }
                _ => {}
            }
        }
        routes
    }

    pub fn completed_at(&self, request: &str) -> Option<Duration> {
        let mut ended = self.completed.iter().filter(|(id, _)| &**id == request);
        ended.next().map(|(_, at)| *at)
    }
}
