use super::*;

/// Memory budget for answers that are buffered completely before they are forwarded, shared by all
/// requests.
#[derive(Debug)]
pub(crate) struct AnswerBuffers {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

/// Memory reserved for one answer; released on drop.
#[derive(Debug)]
pub(crate) struct AnswerBuffer<'a> {
    buffers: &'a AnswerBuffers,
    held_bytes: usize,
}

impl AnswerBuffers {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: AtomicUsize::new(0),
        }
    }

    pub(crate) fn begin(&self) -> AnswerBuffer<'_> {
        AnswerBuffer {
            buffers: self,
            held_bytes: 0,
        }
    }
}

impl AnswerBuffer<'_> {
    /// Reserves memory for more bytes.
    ///
    /// # Errors
    ///
    /// Returns `wire::Error::BodyTooLong` when all buffered answers together exceed the budget.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), wire::Error> {
        let used_bytes = &self.buffers.used_bytes;
        let before = used_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.held_bytes += bytes;
        let limit_bytes = self.buffers.limit_bytes;
        if before + bytes > limit_bytes {
            return Err(wire::Error::BodyTooLong { limit_bytes });
        }
        Ok(())
    }
}

impl Drop for AnswerBuffer<'_> {
    fn drop(&mut self) {
        let used_bytes = &self.buffers.used_bytes;
        used_bytes.fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}
