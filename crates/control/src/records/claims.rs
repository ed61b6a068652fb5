use super::*;

/// Record of non-repeatable calls, as the life of a request uses it. Each method may end requests
/// or clear them for dispatch, also others than its own.
pub trait Claims {
    /// A target replied to a call.
    fn call_completed(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        reply: CallReply,
    ) -> Vec<RecordEffect>;

    /// A call may have run, and no reply will come.
    fn call_lost(&mut self, context: &mut Context, request: &RequestId) -> Vec<RecordEffect>;

    /// Whether a call may still be sent to a target under its claim.
    fn may_dispatch(&self, now: Duration, request: &RequestId) -> bool;

    /// A call was not run, and is not run later.
    fn call_not_run(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        refusal: Refusal,
    ) -> Vec<RecordEffect>;

    /// A caller sent a call.
    fn submit(&mut self, context: &mut Context, call: &CallSubmission) -> Vec<RecordEffect>;
}

impl Claims for Records {
    fn call_completed(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        reply: CallReply,
    ) -> Vec<RecordEffect> {
        Self::call_completed(self, context, request, reply)
    }

    fn call_lost(&mut self, context: &mut Context, request: &RequestId) -> Vec<RecordEffect> {
        Self::call_lost(self, context, request)
    }

    fn may_dispatch(&self, now: Duration, request: &RequestId) -> bool {
        Self::may_dispatch(self, now, request)
    }

    fn call_not_run(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        refusal: Refusal,
    ) -> Vec<RecordEffect> {
        Self::call_not_run(self, context, request, refusal)
    }

    fn submit(&mut self, context: &mut Context, call: &CallSubmission) -> Vec<RecordEffect> {
        Self::submit(self, context, call)
    }
}
