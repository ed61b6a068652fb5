use super::*;

impl App {
    /// Executes one command of the node. Commands without I/O take effect before this returns, so
    /// their order is kept; the others run as tasks that report events.
    pub fn execute(self: &Arc<Self>, command: Command) {
        let Some(command) = self.execute_now(command) else {
            return;
        };
        let app = self.clone();
        tokio::spawn(async move {
            match command {
                Command::AskOwner { .. }
                | Command::FetchChanges { .. }
                | Command::PushChanges { .. }
                | Command::SendHeartbeat { .. } => app.send_to_peer(command).await,
                command => app.call_platform_or_target(command).await,
            }
        });
    }

    /// Executes a command without I/O, or returns a command that needs I/O.
    fn execute_now(&self, command: Command) -> Option<Command> {
        match command {
            Command::AnswerCall { outcome, request } => {
                self.registry
                    .send_to_call(&request, CallCommand::Answer(outcome));
            }
            Command::AnswerEdit { answer, operation } => {
                self.registry.answer_edit(&operation, &answer);
            }
            Command::DispatchCall {
                address,
                attempt,
                request,
                target,
            } => {
                let command = CallCommand::Dispatch {
                    address,
                    attempt,
                    target,
                };
                self.registry.send_to_call(&request, command);
            }
            Command::Log(decision) => log_decision(&decision),
            Command::PublishLists(lists) => {
                *lock(&self.directory) = Arc::new(Directory::new(lists));
            }
            Command::Stop => {
                self.stopped.send_replace(true);
            }
            command => return self.forward_to_stream(command),
        }
        None
    }

    /// Passes a command to the run of its stream, or returns a command that is not for a stream.
    /// The run itself cancels attempts and changes their priority, because only the run knows the
    /// attempt numbers that the engines use.
    fn forward_to_stream(&self, command: Command) -> Option<Command> {
        let (request, command) = match command {
            Command::Cancel {
                attempt, request, ..
            } => (request, StreamCommand::Cancel(attempt)),
            Command::DispatchGenerate {
                attempt,
                backup,
                priority,
                request,
                route,
            } => {
                let command = StreamCommand::Dispatch {
                    attempt,
                    backup,
                    priority,
                    route,
                };
                (request, command)
            }
            Command::MoveCache {
                attempt,
                from,
                from_address,
                request,
                to_address,
                ..
            } => {
                self.move_cache(CacheMove {
                    attempt,
                    from,
                    from_address,
                    request,
                    to_address,
                });
                return None;
            }
            Command::Refuse { refusal, request } => (request, StreamCommand::Refuse(refusal)),
            Command::SetPriority {
                attempt,
                priority,
                request,
                ..
            } => (request, StreamCommand::SetPriority { attempt, priority }),
            command => return Some(command),
        };
        self.registry.send_to_stream(&request, command);
        None
    }

    fn move_cache(&self, copy: CacheMove) {
        let command = StreamCommand::MoveCache(copy.clone());
        if !self.registry.send_to_stream(&copy.request, command) {
            // The stream has ended, so the cache is not needed.
            copy.report(self, Err(FailureKind::Refused));
        }
    }

    /// Executes a command that calls the platform or a target.
    async fn call_platform_or_target(&self, command: Command) {
        match command {
            Command::Poll {
                address,
                cache_event_count,
                is_engine: true,
                target,
            } => self.poll_engine(address, cache_event_count, target).await,
            Command::Poll {
                address, target, ..
            } => self.report_load(self.dependencies.services.load(address).await, target),
            Command::ReadListing => self.read_listing().await,
            Command::SendOrder {
                address,
                order,
                target,
            } => {
                let sent = self
                    .dependencies
                    .engines
                    .order(address, order.clone())
                    .await;
                if sent.is_err() {
                    self.report(Event::OrderFailed { order, target });
                }
            }
            Command::Store { request, ticket } => {
                let result = self.dependencies.table.execute(request).await;
                self.report(Event::StoreReplied { result, ticket });
            }
            command => tracing::error!(?command, "command was not executed"),
        }
    }

    /// Executes a command that calls a peer.
    async fn send_to_peer(&self, command: Command) {
        let peers = &self.dependencies.peers;
        match command {
            Command::AskOwner {
                owner,
                peer_address,
                query,
                request,
            } => {
                let answer = peers.call_status(peer_address, query).await;
                let status = answer.unwrap_or(OwnerStatus::NoReply);
                self.report(Event::OwnerAnswered {
                    owner,
                    request,
                    status,
                });
            }
            Command::FetchChanges {
                after,
                peer_address,
                ..
            } => self.fetch_changes(after, peer_address).await,
            Command::PushChanges {
                peer_address,
                records,
                ..
            } => {
                // Errors are ignored: a peer that does not receive this learns of the new version
                // from the next heartbeat.
                let _ = peers.push_changes(peer_address, records).await;
            }
            Command::SendHeartbeat {
                heartbeat,
                peer,
                peer_address,
            } => {
                if let Err(error) = peers.heartbeat(peer_address, heartbeat).await {
                    tracing::debug!(%peer, %error, "heartbeat was not delivered");
                    self.report(Event::HeartbeatFailed { peer });
                }
            }
            command => tracing::error!(?command, "command was not executed"),
        }
    }

    async fn fetch_changes(&self, after: ConfigVersion, peer_address: SocketAddr) {
        match self
            .dependencies
            .peers
            .changes_since(peer_address, after)
            .await
        {
            Err(error) => tracing::debug!(%error, "failed to fetch configuration changes"),
            Ok(Changes::Lists(lists)) => self.report(Event::ListsReceived(lists)),
            Ok(Changes::Records(records)) => self.report(Event::ChangesReceived { records }),
        }
    }

    /// Polls the load of an engine, and fetches cache events if the engine has new ones.
    async fn poll_engine(&self, address: SocketAddr, cache_event_count: u64, target: TargetId) {
        let result = self.dependencies.engines.load(address).await;
        let reported_count = result.as_ref().map_or(0, |report| report.cache_event_count);
        self.report_load(result, target.clone());
        if reported_count <= cache_event_count {
            return;
        }
        let events = self
            .dependencies
            .engines
            .cache_events(address, cache_event_count);
        if let Ok(events) = events.await {
            self.report(Event::CacheEventsReceived { events, target });
        }
    }

    async fn read_listing(&self) {
        match self.dependencies.listings.read().await {
            Err(error) => tracing::warn!(?error, "failed to read the platform's list"),
            Ok(listings) => {
                self.listing_cache.update(&listings);
                self.report(Event::ListingRead { listings });
            }
        }
    }

    fn report_load(&self, result: Result<LoadReport, FailureKind>, target: TargetId) {
        self.report(match result {
            Err(kind) => Event::LoadFailed { kind, target },
            Ok(report) => Event::LoadReceived { report, target },
        });
    }
}

/// Logs a decision of the node with its candidates and their scores.
fn log_decision(decision: &Decision) {
    let candidates = |list: &[Candidate]| {
        let scores = list
            .iter()
            .map(|candidate| format!("{}={:.3}ms", candidate.target, candidate.score_ms));
        scores.collect::<Vec<_>>().join(",")
    };
    // Decisions without an account are about a target or peer, which `subject` then names.
    let field = |is_shown: bool| is_shown.then_some(&*decision.subject);
    tracing::info!(
        request = field(decision.account.is_some()),
        subject = field(decision.account.is_none()),
        kind = decision.kind,
        account = decision.account.as_deref(),
        chosen = candidates(&decision.chosen),
        reason = &*decision.reason,
        alternatives = candidates(&decision.alternatives),
        "decision"
    );
}
