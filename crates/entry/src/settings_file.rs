use super::*;

/// Settings of one entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Listen address for callers and operators. Port 0 selects a free port.
    pub address: SocketAddr,
    /// Time limit of a graceful shutdown, in milliseconds.
    pub drain_limit_ms: u64,
    /// Time after which an edit without a result is answered as unknown, in milliseconds.
    pub edit_limit_ms: u64,
    /// Failure domain that this instance runs in. Backups are chosen from other ones if possible.
    pub failure_domain: FailureDomain,
    /// Unique name of the instance. Contains no `.`, which separates the parts of event ids.
    pub instance: InstanceId,
    /// Memory and retention of stream journals.
    pub journal: JournalSettings,
    /// Limits on connections and requests of callers and operators.
    pub limits: Limits,
    /// Filter and format of the log.
    pub log: LogSettings,
    /// Settings of the node, which makes the decisions.
    pub node: NodeSettings,
    /// BLAKE3 hashes of the operator keys, in hex. Without any, no operator has access.
    pub operator_key_hashes: BTreeSet<KeyHash>,
    /// Settings of the messages between instances.
    pub peer: PeerSettings,
    /// Listen address for other instances. Port 0 selects a free port.
    pub peer_address: SocketAddr,
    /// Settings of the platform client.
    pub platform: PlatformSettings,
    /// Region that this instance runs in.
    pub region: RegionId,
    /// Limits on streams.
    pub stream: StreamSettings,
    /// Settings of the clients of engines and services.
    pub target: TargetSettings,
    /// Number of traffic threads, which perform the I/O.
    pub traffic_thread_count: usize,
}

/// Limits on streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StreamSettings {
    /// Maximum time that tokens wait to be copied to the backup in one batch, in milliseconds.
    pub batch_ms: u64,
    /// Time limit for a write to a caller that does not read, in milliseconds.
    pub idle_ms: u64,
    /// Maximum duration of one run of a stream, in milliseconds.
    pub limit_ms: u64,
    /// Maximum length of an answer, in tokens.
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
                "is not a hash of a key",
                "write the 64 hex digits of the BLAKE3 hash of the key",
            );
        }
        faults.require(
            !self.platform.addresses.is_empty(),
            "platform.addresses",
            "[]",
            "is empty",
            "add at least one address of the platform",
        );
        faults.require(
            !self.peer.secret.is_empty(),
            "peer.secret",
            "\"\"",
            "is empty",
            "set the same long random text on all instances",
        );
    }
}

impl Settings {
    /// Checks the names that are part of event ids and row keys.
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
                "is not a valid name",
                "use 1 to 128 letters, digits, `-` or `_`",
            );
        }
        faults.require(
            &*self.instance != "-",
            "instance",
            &self.instance,
            "means no instance in event ids",
            "choose another name",
        );
    }

    /// Checks times, counts and sizes.
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
            "set it to at least `stream.limit_ms`, or running streams lose their copies",
        );
        let count = "choose a count within the range";
        let connections = self.limits.connection_count;
        faults.require_in_range("limits.connection_count", connections, 1..=1 << 20, count);
        let clients = self.limits.client_connection_count;
        let max_clients = connections.saturating_sub(1).max(1);
        let path = "limits.client_connection_count";
        faults.require_in_range(
            path,
            clients,
            1..=max_clients,
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

/// Whether `hash` is a BLAKE3 hash in hex.
pub(crate) fn is_key_hash(hash: &str) -> bool {
    Hash::from_hex(hash).is_ok()
}

/// Whether `name` can be used in paths, row keys and headers: 1 to 128 letters, digits, `-`, `_` or
/// `.`.
pub(crate) fn is_name(name: &str) -> bool {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    !name.is_empty() && name.len() <= 128 && name.chars().all(is_allowed)
}
