use super::*;

/// Spans that a window is divided into.
const SPAN_COUNT: usize = 10;

/// Allows an instance its part of the repeated sends of all instances.
///
/// In each window, the repeats of an instance stay under a share of its requests plus an equal part
/// of the extra amount, so that the sum over all instances stays under the limit without messages
/// between them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    extra_count: f64,
    ratio: f64,
    /// Requests and repeats of each span of the window; the last is the current one.
    spans: [(u32, u32); SPAN_COUNT],
    span: Duration,
    span_number: u128,
}

impl RetryBudget {
    /// Creates a budget for one service at one instance. `extra_count` is the extra amount of all
    /// instances together.
    #[must_use]
    pub fn new(ratio: f64, extra_count: f64, window: Duration) -> Self {
        Self {
            extra_count,
            ratio,
            span: window / SPAN_COUNT as u32,
            span_number: 0,
            spans: [(0, 0); SPAN_COUNT],
        }
    }

    /// Notes a new request.
    pub fn requested(&mut self, now: Duration) {
        self.advance(now);
        self.spans[SPAN_COUNT - 1].0 += 1;
    }

    /// Takes one repeat, if the part of one of `instance_count` instances has one left.
    pub fn take(&mut self, now: Duration, instance_count: usize) -> bool {
        self.advance(now);
        let (requests, repeats) = self
            .spans
            .iter()
            .fold((0, 0), |sum, span| (sum.0 + span.0, sum.1 + span.1));
        let extra = self.extra_count / instance_count.max(1) as f64;
        let limit = self.ratio * f64::from(requests) + extra;
        if f64::from(repeats) + 1.0 > limit {
            return false;
        }
        self.spans[SPAN_COUNT - 1].1 += 1;
        true
    }

    fn advance(&mut self, now: Duration) {
        let number = now.as_nanos() / self.span.as_nanos().max(1);
        let steps = number.saturating_sub(self.span_number);
        self.span_number = self.span_number.max(number);
        for _ in 0..steps.min(SPAN_COUNT as u128) {
            self.spans.rotate_left(1);
            self.spans[SPAN_COUNT - 1] = (0, 0);
        }
    }
}
