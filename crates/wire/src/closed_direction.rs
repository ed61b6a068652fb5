use super::*;

/// Time after which a request ends whose caller has closed its sending direction and was sent nothing since. Work
/// for callers that have left must end within half a second.
const CLOSE_GRACE: Duration = Duration::from_millis(300);
/// Interval at which the connection of such a caller is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interim answer, which a caller that still reads ignores. The system of one that has left rejects it.
const INTERIM_ANSWER: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Decides whether the end of a connection's receiving direction ends the running request.
#[derive(Debug)]
pub(crate) struct ClosedDirection {
    check: Pin<Box<Sleep>>,
    closed_at: Instant,
    /// Whether bytes were written since.
    has_written: bool,
}

impl ClosedDirection {
    /// Creates the state when the end is read.
    pub(crate) fn new() -> Self {
        let closed_at = Instant::now();
        Self {
            check: Box::pin(tokio::time::sleep_until(closed_at + CHECK_INTERVAL)),
            closed_at,
            has_written: false,
        }
    }

    pub(crate) fn record_written(&mut self) {
        self.has_written = true;
    }

    /// Completes when the running request must end. It goes on while the caller accepts bytes. Sends it an interim
    /// answer if the protocol allows one now.
    pub(crate) fn poll_end(
        &mut self,
        context: &mut task::Context<'_>,
        (policy, allows_interim): (ClosePolicy, bool),
        stream: &mut TcpStream,
    ) -> Poll<()> {
        loop {
            let ends = match policy {
                ClosePolicy::EndAtOnce => true,
                ClosePolicy::EndAfterGrace => self.has_left(context, allows_interim, stream),
                ClosePolicy::KeepRunning => false,
            };
            if ends {
                return Poll::Ready(());
            }
            task::ready!(self.check.as_mut().poll(context));
            self.check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        }
    }

    /// Whether the caller has left, as far as that can be told.
    fn has_left(
        &mut self,
        context: &mut task::Context<'_>,
        allows_interim: bool,
        stream: &mut TcpStream,
    ) -> bool {
        let has_rejected = stream.take_error().is_ok_and(|error| error.is_some());
        let closed_for = self.closed_at.elapsed();
        if has_rejected || !self.has_written && closed_for >= CLOSE_GRACE {
            tracing::info!(
                peer = stream.peer_addr().ok().map(tracing::field::display),
                closed_ms = closed_for.as_millis() as u64,
                has_rejected,
                "caller has left, ending its request"
            );
            return true;
        }
        if allows_interim && !self.has_written {
            let written = Pin::new(&mut *stream).poll_write(context, INTERIM_ANSWER);
            tracing::info!(
                peer = stream.peer_addr().ok().map(tracing::field::display),
                ?written,
                "caller closed its sending direction, sent an interim answer"
            );
            match written {
                Poll::Pending => {}
                Poll::Ready(Ok(count)) if count == INTERIM_ANSWER.len() => self.has_written = true,
                // Nothing may follow a part of an answer.
                Poll::Ready(_) => return true,
            }
        }
        false
    }
}
