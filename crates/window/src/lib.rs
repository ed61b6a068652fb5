//! Counts of requests and their repeats in a sliding window, for budgets that keep repeats at a part of
//! the requests.

use std::time::Duration;

/// Spans that a window is divided into.
pub const SPAN_COUNT: u32 = 10;

/// Requests and repeats of the last `SPAN_COUNT` spans, of which the last is the current one.
#[derive(Clone, Debug)]
pub struct RepeatWindow {
    span: Duration,
    /// Number of the current span since the start of the clock.
    span_number: u128,
    spans: [Counts; SPAN_COUNT as usize],
}

/// Requests and repeats.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Repeated sends.
    pub repeats: u32,
    /// First sends.
    pub requests: u32,
}

impl RepeatWindow {
    /// Creates an empty window of `SPAN_COUNT` spans of this length.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            span_number: 0,
            spans: [Counts::default(); SPAN_COUNT as usize],
        }
    }

    /// Counts a first send.
    pub fn requested(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Counts a repeated send.
    pub fn repeated(&mut self, now: Duration) {
        self.current(now).repeats += 1;
    }

    /// Sums over the window.
    pub fn counts(&mut self, now: Duration) -> Counts {
        self.current(now);
        let mut sum = Counts::default();
        for counts in &self.spans {
            sum.repeats += counts.repeats;
            sum.requests += counts.requests;
        }
        sum
    }

    /// Counts of the current span, after those that are too old were forgotten.
    fn current(&mut self, now: Duration) -> &mut Counts {
        let number = now.as_nanos() / self.span.as_nanos().max(1);
        let steps = number.saturating_sub(self.span_number);
        self.span_number = self.span_number.max(number);
        for _ in 0..steps.min(u128::from(SPAN_COUNT)) {
            self.spans.rotate_left(1);
            self.spans[SPAN_COUNT as usize - 1] = Counts::default();
        }
        &mut self.spans[SPAN_COUNT as usize - 1]
    }
}
