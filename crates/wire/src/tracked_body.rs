use super::*;

/// Body of an answer, which records in the progress of its connection when it ends.
pub(crate) struct TrackedBody {
    body: Body,
    progress: Arc<RequestProgress>,
}

impl TrackedBody {
    pub(crate) fn new(body: Body, progress: Arc<RequestProgress>) -> Self {
        Self { body, progress }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.progress.record_answered();
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = Disconnect;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Disconnect>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
