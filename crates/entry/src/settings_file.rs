use super::*;

/// Settings of one entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address for callers and operators. Port 0 lets the system choose one.
    pub address: SocketAddr,
    /// Longest graceful shutdown, in milliseconds.
    pub drain_limit_ms: u64,
    /// Longest wait for the answer to an edit, in milliseconds.
    pub edit_limit_ms: u64,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Instance. Holds no `.`, because event ids join names with it.
    pub instance: InstanceId,
    /// Journals of streams.
    pub journal: JournalSettings,
    /// Limits on requests.
    pub limits: Limits,
    /// Log.
    pub log: LogSettings,
    /// Decisions.
    pub node: NodeSettings,
    /// Hashes of the keys of operators.
    pub operator_key_hashes: BTreeSet<KeyHash>,
    /// Exchange with other instances.
    pub peer: PeerSettings,
    /// Address for other entry instances. Port 0 lets the system choose one.
    pub peer_address: SocketAddr,
    /// Platform.
    pub platform: PlatformSettings,
    /// Region.
    pub region: RegionId,
    /// Streams.
    pub stream: StreamSettings,
    /// Exchanges with engines and services.
    pub target: TargetSettings,
    /// Threads that move bytes.
    pub traffic_thread_count: usize,
}

/// Settings of streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StreamSettings {
    /// Longest wait for more tokens before they are copied to the backup, in milliseconds.
    pub batch_ms: u64,
    /// Longest wait for a caller that does not read, in milliseconds.
    pub idle_ms: u64,
    /// Longest stream, in milliseconds.
    pub limit_ms: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 8_080)),
            drain_limit_ms: 600_000,
            edit_limit_ms: 10_000,
            failure_domain: "zone-a".into(),
            instance: "entry-1".into(),
            journal: JournalSettings::default(),
            limits: Limits::default(),
            log: LogSettings::default(),
            node: NodeSettings::default(),
            operator_key_hashes: BTreeSet::new(),
            peer: PeerSettings::default(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 8_081)),
            platform: PlatformSettings::default(),
            region: "region-a".into(),
            stream: StreamSettings::default(),
            target: TargetSettings::default(),
            traffic_thread_count: 2,
        }
    }
}

impl Default for StreamSettings {
    fn default() -> Self {
        Self {
            batch_ms: 5,
            idle_ms: 15_000,
            limit_ms: 30 * 60 * 1_000,
            max_tokens: 8_192,
        }
    }
}

impl Check for Settings {
    fn check(&self, faults: &mut Faults) {
        faults.check_nested("log", &self.log);
        self.check_names(faults);
        self.check_ranges(faults);
        for hash in &self.operator_key_hashes {
            faults.require(
                is_key_hash(hash),
                "operator_key_hashes",
                hash,
                "is not a key hash",
                "write the 64 hex digits of the BLAKE3 hash of the key",
            );
        }
        faults.require(
            !self.platform.addresses.is_empty(),
            "platform.addresses",
            "[]",
            "is empty",
            "write at least one address of the platform",
        );
        faults.require(
            !self.peer.secret.is_empty(),
            "peer.secret",
            "\"\"",
            "is empty",
            "set the same long random text at all instances",
        );
    }
}

impl Settings {
    fn check_names(&self, faults: &mut Faults) {
        let names = [
            ("failure_domain", &self.failure_domain),
            ("instance", &self.instance),
            ("region", &self.region),
        ];
        for (path, name) in names {
            faults.require(
                is_name(name) && !name.contains('.'),
                path,
                name,
                "is not a name",
                "use 1 to 128 letters, digits, `-` or `_`",
            );
        }
        faults.require(
            &*self.instance != "-",
            "instance",
            &self.instance,
            "stands for no instance in event ids",
            "choose another name",
        );
    }

    fn check_ranges(&self, faults: &mut Faults) {
        let day_ms = 24 * 60 * 60 * 1_000;
        let time = "choose a time in milliseconds within the range";
        faults.require_in_range("drain_limit_ms", self.drain_limit_ms, 1..=day_ms, time);
        faults.require_in_range("edit_limit_ms", self.edit_limit_ms, 1..=day_ms, time);
        faults.require_in_range("limits.idle_ms", self.limits.idle_ms, 1..=day_ms, time);
        faults.require_in_range("peer.call_ms", self.peer.call_ms, 1..=day_ms, time);
        faults.require_in_range("stream.batch_ms", self.stream.batch_ms, 0..=1_000, time);
        faults.require_in_range("stream.idle_ms", self.stream.idle_ms, 1..=day_ms, time);
        faults.require_in_range("stream.limit_ms", self.stream.limit_ms, 1..=day_ms, time);
        faults.require(
            self.journal.idle_ms >= self.stream.limit_ms,
            "journal.idle_ms",
            self.journal.idle_ms,
            "is shorter than `stream.limit_ms`",
            "set it to at least the longest stream, so that no running stream loses its copy",
        );
        let count = "choose a count within the range";
        let connections = self.limits.connection_count;
        faults.require_in_range("limits.connection_count", connections, 1..=1 << 20, count);
        let clients = self.limits.client_connection_count;
        let most = connections.saturating_sub(1).max(1);
        let path = "limits.client_connection_count";
        faults.require_in_range(
            path,
            clients,
            1..=most,
            "choose fewer than `limits.connection_count`",
        );
        let threads = self.traffic_thread_count;
        faults.require_in_range("traffic_thread_count", threads, 1..=256, count);
        let head_bytes = self.limits.head_bytes;
        let bytes = "choose a size in bytes within the range";
        faults.require_in_range("limits.head_bytes", head_bytes, 8_192..=1 << 20, bytes);
        let body_bytes = self.limits.body_bytes;
        faults.require_in_range("limits.body_bytes", body_bytes, 1..=1 << 30, bytes);
        let frame_bytes = self.peer.frame_bytes;
        faults.require_in_range("peer.frame_bytes", frame_bytes, 65_536..=1 << 30, bytes);
        let max_tokens = self.stream.max_tokens;
        faults.require_in_range("stream.max_tokens", max_tokens, 1..=1 << 20, count);
    }
}

/// Whether `hash` is the hex form of a key hash.
pub(crate) fn is_key_hash(hash: &str) -> bool {
    Hash::from_hex(hash).is_ok()
}

/// Whether `name` can be part of a path, a row key and a header.
pub(crate) fn is_name(name: &str) -> bool {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    !name.is_empty() && name.len() <= 128 && name.chars().all(is_allowed)
}
