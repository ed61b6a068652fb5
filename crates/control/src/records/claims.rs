use super::*;

/// Interface through which requests use the record of non-repeatable calls. The effects of each
/// method may answer or dispatch other requests than the given one.
pub trait Claims {
    /// Records the reply of a target to a call.
    fn call_completed(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        reply: CallReply,
    ) -> Vec<RecordEffect>;

    /// Records that a call may have run and that no reply will come.
    fn call_lost(&mut self, context: &mut Context, request: &RequestId) -> Vec<RecordEffect>;

    /// Whether a call may still be sent to a target under its claim.
    fn may_dispatch(&self, now: Duration, request: &RequestId) -> bool;

    /// Records that a call did not run and will not run later.
    fn call_not_run(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        refusal: Refusal,
    ) -> Vec<RecordEffect>;

    /// Claims the key of a call, or joins the call that already has it.
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
