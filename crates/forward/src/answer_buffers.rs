use super::*;

slotmap::new_key_type! {
    /// Key of an answer that is being buffered.
    struct AnswerKey;
}

/// Memory budget for answers that are buffered completely before they are forwarded, shared by all
/// requests.
///
/// When the budget is exceeded, the largest answer is given up. Otherwise, answers that come slowly or never end
/// would take the room from those of sound targets.
#[derive(Debug)]
pub(crate) struct AnswerBuffers {
    held: Mutex<HeldAnswers>,
    limit_bytes: usize,
}

#[derive(Debug, Default)]
struct HeldAnswers {
    answers: SlotMap<AnswerKey, HeldAnswer>,
    /// Sum of the bytes of all answers.
    used_bytes: usize,
}

#[derive(Debug)]
struct HeldAnswer {
    /// Size in bytes; none once the answer is given up.
    bytes: Option<usize>,
    /// Notified when the answer is given up.
    given_up: Arc<Notify>,
}

/// Memory reserved for one answer; released on drop.
#[derive(Debug)]
pub(crate) struct AnswerBuffer<'a> {
    buffers: &'a AnswerBuffers,
    given_up: Arc<Notify>,
    key: AnswerKey,
}

/// The answer was the largest one when all answers together exceeded their budget.
#[derive(Debug, Error)]
#[error(
    "the answer is the largest of those that exceed {limit_bytes} bytes together; raise max_buffered_bytes"
)]
pub(crate) struct BudgetExceeded {
    limit_bytes: usize,
}

impl AnswerBuffers {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            held: Mutex::default(),
            limit_bytes,
        }
    }

    pub(crate) fn begin(&self) -> AnswerBuffer<'_> {
        let given_up = Arc::new(Notify::new());
        let answer = HeldAnswer {
            bytes: Some(0),
            given_up: given_up.clone(),
        };
        AnswerBuffer {
            buffers: self,
            given_up,
            key: lock(&self.held).answers.insert(answer),
        }
    }

    fn error(&self) -> BudgetExceeded {
        BudgetExceeded {
            limit_bytes: self.limit_bytes,
        }
    }
}

impl HeldAnswers {
    /// Adds bytes to an answer. Returns false if it is given up.
    fn grow(&mut self, key: AnswerKey, bytes: usize) -> bool {
        let held = self.answers.get_mut(key);
        let Some(held_bytes) = held.and_then(|answer| answer.bytes.as_mut()) else {
            return false;
        };
        *held_bytes += bytes;
        self.used_bytes += bytes;
        true
    }

    /// Gives up the largest answer. Returns its key; none if there is no answer.
    fn give_up_largest(&mut self) -> Option<AnswerKey> {
        let answers = self.answers.iter_mut();
        let (key, largest) = answers.max_by_key(|(_, answer)| answer.bytes)?;
        self.used_bytes -= largest.bytes.take()?;
        largest.given_up.notify_one();
        Some(key)
    }
}

impl AnswerBuffer<'_> {
    /// Reserves memory for more bytes. Gives up other answers if they are larger than this one and there is not
    /// enough room.
    ///
    /// # Errors
    ///
    /// Returns an error when this answer is given up.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let mut held = lock(&self.buffers.held);
        if !held.grow(self.key, bytes) {
            return Err(self.buffers.error());
        }
        while held.used_bytes > self.buffers.limit_bytes {
            let given_up = held.give_up_largest();
            if given_up.is_none_or(|key| key == self.key) {
                return Err(self.buffers.error());
            }
        }
        Ok(())
    }

    /// Waits until this answer is given up.
    pub(crate) async fn given_up(&self) -> BudgetExceeded {
        self.given_up.notified().await;
        self.buffers.error()
    }
}

impl Drop for AnswerBuffer<'_> {
    fn drop(&mut self) {
        let mut held = lock(&self.buffers.held);
        let answer = held.answers.remove(self.key);
        held.used_bytes -= answer.and_then(|answer| answer.bytes).unwrap_or_default();
    }
}
