//! Exchange of crash victims between instances.

use {super::*, part_quarantine::MAX_VICTIMS};

/// Maximum number of victims that outlast all instances. Beyond it, the oldest are left out.
const MAX_LASTING_VICTIMS: usize = 64;
/// Maximum number of parts of these victims together, as a row of the store is limited.
const MAX_LASTING_PARTS: usize = 512;

impl PartQuarantine {
    /// Merges the reports of another instance on crashes in the short phase. Returns whether they contained
    /// anything new.
    pub fn merge(&mut self, now: Duration, reports: &[VictimReport]) -> bool {
        let mut has_new = false;
        for report in reports.iter().take(MAX_VICTIMS) {
            has_new |= self.merge_report(now, CrashPhase::BeforeFirstEvent, report);
        }
        has_new
    }

    /// Merges the reports of another instance. Returns whether they contained anything new.
    pub fn merge_phased(&mut self, now: Duration, reports: &[PhasedVictimReport]) -> bool {
        let mut has_new = false;
        for report in reports.iter().take(MAX_VICTIMS) {
            has_new |= self.merge_report(now, report.phase, &report.victim);
        }
        has_new
    }

    fn merge_report(&mut self, now: Duration, phase: CrashPhase, report: &VictimReport) -> bool {
        let age = Duration::from_millis(report.age_ms);
        let at = now.saturating_sub(age);
        let victim = CrashVictim {
            account: report.account,
            at,
            is_request_cleared: report.is_request_cleared,
            parts: report.parts.iter().copied().collect(),
            phase,
            reported_from: at,
        };
        let is_valid = self.is_attributed(phase) && age < self.retention(&victim);
        is_valid && self.insert(report.crash.clone(), report.request, victim)
    }

    /// Returns reports of the crashes in the short phase for an instance that knows no others.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<VictimReport> {
        let reports = self.phased_reports(now).into_iter();
        let reports = reports.filter(|report| report.phase.is_short());
        reports.map(|report| report.victim).collect()
    }

    /// Returns reports of all victims for another instance.
    #[must_use]
    pub fn phased_reports(&self, now: Duration) -> Vec<PhasedVictimReport> {
        let mut reports = Vec::new();
        for ((crash, request), victim) in &self.victims {
            if !victim.is_reported(now) {
                continue;
            }
            reports.push(PhasedVictimReport {
                phase: victim.phase,
                victim: VictimReport {
                    account: victim.account,
                    age_ms: now.saturating_sub(victim.at).as_millis() as u64,
                    crash: crash.clone(),
                    is_request_cleared: victim.is_request_cleared,
                    parts: victim.parts.iter().map(|(part, is)| (*part, *is)).collect(),
                    request: *request,
                },
            });
        }
        reports
    }

    /// Returns reports of the victims because of which parts are refused, the latest first. Instances that start after
    /// all others have ended need no more.
    #[must_use]
    pub fn refused_reports(&self, now: Duration) -> Vec<PhasedVictimReport> {
        let mut refused = BTreeSet::new();
        for ((_, request), victim) in &self.victims {
            let run = PromptRun {
                account: victim.account,
                parts: victim.parts.keys().copied().collect(),
                request: *request,
            };
            for part in victim.suspects() {
                if !refused.contains(&part) && self.is_refused(part, &run) {
                    refused.insert(part);
                }
            }
        }
        let mut reports = self.phased_reports(now);
        reports.retain(|report| {
            let mut parts = report.victim.parts.iter();
            parts.any(|(part, is_cleared)| !is_cleared && refused.contains(part))
        });
        reports.sort_by_key(|report| report.victim.age_ms);
        reports.truncate(MAX_LASTING_VICTIMS);
        let mut part_count = 0;
        reports.retain(|report| {
            part_count += report.victim.parts.len();
            part_count <= MAX_LASTING_PARTS
        });
        reports
    }

    /// Digest of the crashes in the short phase, by which two instances see whether they know the same ones.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest_of(|victim| victim.phase.is_short())
    }

    /// Digest of the victims that other instances are told of, by which two instances see whether they know the
    /// same ones.
    #[must_use]
    pub fn phased_digest(&self, now: Duration) -> u64 {
        self.digest_of(|victim| victim.is_reported(now))
    }

    fn digest_of(&self, is_included: impl Fn(&CrashVictim) -> bool) -> u64 {
        let mut bytes = Vec::new();
        for ((crash, request), victim) in &self.victims {
            if !is_included(victim) {
                continue;
            }
            bytes.extend_from_slice(crash.as_bytes());
            bytes.extend_from_slice(&request.to_le_bytes());
            bytes.push(u8::from(victim.is_request_cleared));
            for (part, is_cleared) in &victim.parts {
                bytes.extend_from_slice(&part.to_le_bytes());
                bytes.push(u8::from(*is_cleared));
            }
        }
        fingerprint(&[&bytes])
    }
}
