use super::*;

/// Counts a request at its targets until it is dropped, also when the caller leaves.
pub(crate) struct InFlight {
    path: Path,
    router: Arc<Router>,
}

impl InFlight {
    pub(crate) fn begin(router: &Arc<Router>, path: &Path) -> Self {
        router.fleet().begin(clock::now(), path);
        Self {
            path: path.clone(),
            router: router.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.router.fleet().end(&self.path);
    }
}
