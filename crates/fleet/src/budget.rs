use super::*;

/// Part of the window over which unused credit is kept. In one window, instances may use the credit of that
/// window and of this part of the one before, even if they restart in between.
const CREDIT_WINDOW_SHARE: f64 = 0.25;
/// Added to the window in which extra retries are counted, because retries that were sent further apart than
/// the window may arrive closer together.
const ARRIVAL_SPREAD: Duration = Duration::from_millis(500);

/// Retry budget of one instance for one service.
///
/// Each request earns a credit. Retries beyond the credit are taken from the share of this instance in the
/// extra retries of a window. In each window, any number of instances, which may restart at any time, together
/// stay within a ratio of their requests plus the sum of their shares.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that were earned and not used.
    credit: f64,
    /// Credit that a request earns, in retries.
    credit_per_request: f64,
    /// Extra retries of the window: when they were taken, and the part that the credit did not cover.
    extra_uses: VecDeque<(Duration, f64)>,
    requests: RetryWindow,
    window: Duration,
}

impl RetryBudget {
    /// Creates a budget without credit for one service at one instance. `ratio` is that of retries to requests
    /// that all instances together may reach in a window, without the extra retries.
    #[must_use]
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            credit: 0.0,
            credit_per_request: ratio / (1.0 + CREDIT_WINDOW_SHARE),
            extra_uses: VecDeque::new(),
            requests: RetryWindow::new(window / BUCKET_COUNT),
            window,
        }
    }

    /// Counts a new request.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.record_request(now);
        self.credit = (self.credit + self.credit_per_request).min(self.max_credit(now));
    }

    /// Requests per second over the window.
    pub fn requests_per_s(&mut self, now: Duration) -> f64 {
        let count = f64::from(self.requests.counts(now).requests);
        count / self.window.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Takes one retry and returns true, unless neither the credit nor this instance's share of the extra
    /// retries of a window allow it.
    pub fn try_retry(&mut self, now: Duration, extra_share: f64) -> bool {
        let (credit, used) = self.balance(now);
        let from_credit = credit.min(1.0);
        let from_extra = 1.0 - from_credit;
        if from_extra > 0.0 {
            if used + from_extra > extra_share {
                return false;
            }
            self.extra_uses.push_back((now, from_extra));
        }
        self.credit -= from_credit;
        true
    }

    /// Credit, and extra retries taken within the window.
    pub fn balance(&mut self, now: Duration) -> (f64, f64) {
        let window = self.window + ARRIVAL_SPREAD;
        self.extra_uses
            .retain(|(at, _)| now.saturating_sub(*at) < window);
        self.credit = self.credit.min(self.max_credit(now));
        let used = self.extra_uses.iter().map(|(_, amount)| amount).sum();
        (self.credit, used)
    }

    fn max_credit(&mut self, now: Duration) -> f64 {
        let requests = f64::from(self.requests.counts(now).requests);
        self.credit_per_request * requests * CREDIT_WINDOW_SHARE
    }
}
