use super::*;

/// State of a thread suspended by a signal, as in `/proc/PID/task/TID/stat`.
const STOPPED: char = 'T';
/// Number of last log lines that are shown when a test fails.
const LOG_LINE_COUNT: usize = 40;

/// A child process. Dropping it kills the process, also when a test panics.
#[derive(Debug)]
pub struct Process {
    announcement: Value,
    child: Child,
    log: PathBuf,
    name: String,
    output: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a binary with settings and waits until it prints its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the log when the process ends or prints no addresses.
    pub fn start<T: Serialize>(
        temp_dir: &TempDir,
        program: &str,
        name: &str,
        settings: &T,
    ) -> Result<Self> {
        let file = temp_dir.write(&format!("{name}.json"), settings)?;
        let log = temp_dir.path(&format!("{name}.log"));
        let mut child = Command::new(binary_path(program)?)
            .arg("--settings")
            .arg(file)
            // Backtraces of errors would push their message out of the last log lines.
            .env("RUST_LIB_BACKTRACE", "0")
            .stderr(File::create(&log)?)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start `{program}`"))?;
        let stdout = child.stdout.take();
        let mut process = Self {
            announcement: Value::Null,
            child,
            log,
            name: name.into(),
            output: Arc::default(),
        };
        let line = read_first_line(
            stdout.context("the standard output was not captured")?,
            &process.output,
        )
        .with_context(|| format!("{name} printed no addresses: {}", process.log_tail()))?;
        process.announcement = serde_json::from_str(&line)
            .with_context(|| format!("{name} printed `{line}`: {}", process.log_tail()))?;
        Ok(process)
    }

    /// Address that the process printed at its start under the field `purpose`.
    ///
    /// # Errors
    ///
    /// Returns an error when it printed none there.
    pub fn address(&self, purpose: &str) -> Result<SocketAddr> {
        let announced = &self.announcement;
        let text = announced[purpose].as_str();
        let text = text.with_context(|| {
            let name = &self.name;
            format!("{name} printed no address for `{purpose}` in {announced}")
        })?;
        Ok(text.parse()?)
    }

    /// Whether the process accepts connections. A frozen process does too, because the kernel
    /// accepts them.
    ///
    /// # Errors
    ///
    /// Returns an error when it printed no address at its start.
    pub async fn is_listening(&self) -> Result<bool> {
        Ok(TcpStream::connect(self.address("address")?).await.is_ok())
    }

    /// Lines on standard output so far, without the first one, which holds the addresses.
    #[must_use]
    pub fn output(&self) -> Vec<String> {
        let output = self.output.lock();
        output.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Process id; not reused while this value exists and the process was not waited for.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process, as on a paused machine, and returns when all its threads have stopped.
    /// On a busy machine they go on for a while after the signal was sent.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent or a thread does not stop.
    pub fn freeze(&self) -> Result<()> {
        signal::send(self.id(), Signal::Freeze)?;
        self.wait_for_frozen_state(true)
    }

    /// Resumes a frozen process and returns when all its threads run again.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent or a thread stays stopped.
    pub fn thaw(&self) -> Result<()> {
        signal::send(self.id(), Signal::Continue)?;
        self.wait_for_frozen_state(false)
    }

    fn wait_for_frozen_state(&self, is_frozen: bool) -> Result<()> {
        let end = Instant::now() + WAIT_LIMIT;
        while Instant::now() < end {
            let states = thread_states(self.id())?;
            if states.iter().all(|state| (*state == STOPPED) == is_frozen) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        bail!(
            "{} did not freeze or thaw in time: {}",
            self.name,
            self.log_tail()
        );
    }

    /// Kills the process and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn kill(&mut self) -> Result<ExitStatus> {
        if let Some(status) = self.child.try_wait()? {
            return Ok(status);
        }
        signal::send(self.id(), Signal::Kill)?;
        Ok(self.child.wait()?)
    }

    /// Sends SIGTERM, which starts a graceful shutdown, and returns at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn terminate(&mut self) -> Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        signal::send(self.id(), Signal::Terminate)
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the log when it still runs after `WAIT_LIMIT`.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= end {
                bail!("{} is still running: {}", self.name, self.log_tail());
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Shuts the process down gracefully and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the log when it still runs after `WAIT_LIMIT` or exits with
    /// a failure status.
    pub async fn stop(&mut self) -> Result<()> {
        self.terminate()?;
        let status = self.wait().await?;
        if status.success() {
            return Ok(());
        }
        bail!("{} ended with {status}: {}", self.name, self.log_tail());
    }

    /// Last lines of the process's standard error.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let start = lines.len().saturating_sub(LOG_LINE_COUNT);
        format!("last log lines:\n{}", lines[start..].join("\n"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}: {}", self.name, self.log_tail());
        }
        if let Ok(None) = self.child.try_wait() {
            let _ = self.child.kill();
        }
        let _ = self.child.wait();
    }
}

/// Reads the states of the threads of a process from `/proc`. Threads that end meanwhile are left
/// out.
fn thread_states(id: u32) -> Result<Vec<char>> {
    let mut states = Vec::new();
    let folder = format!("/proc/{id}/task");
    for thread in
        fs::read_dir(&folder).with_context(|| format!("cannot list the threads in {folder}"))?
    {
        let Ok(text) = fs::read_to_string(thread?.path().join("stat")) else {
            continue;
        };
        // The state follows the thread's name, which is in parentheses and may itself contain any
        // character.
        let state = text
            .rsplit_once(") ")
            .and_then(|(_, rest)| rest.chars().next());
        states.extend(state);
    }
    Ok(states)
}

/// Path of a binary of the workspace, in the directory above that of the test executable.
///
/// # Errors
///
/// Returns an error when the binary is not built.
pub fn binary_path(program: &str) -> Result<PathBuf> {
    let test = std::env::current_exe().context("cannot find the path of the test")?;
    let folder = test.parent().and_then(Path::parent);
    let file = folder
        .context("the test is not in a target directory")?
        .join(program);
    if file.is_file() {
        return Ok(file);
    }
    bail!("`{program}` is not built; run `cargo build --workspace` and then the tests again")
}

/// Waits for the first line of standard output. A thread collects the other lines in `output`, so
/// that the process never blocks on a full pipe.
fn read_first_line(stdout: ChildStdout, output: &Arc<Mutex<Vec<String>>>) -> Result<String> {
    let output = output.clone();
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
        if let Some(line) = lines.next() {
            let _ = sender.send(line);
        }
        for line in lines {
            let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
            output.push(line);
        }
    });
    receiver
        .recv_timeout(WAIT_LIMIT)
        .map_err(|error| anyhow!("no line on standard output: {error}"))
}
