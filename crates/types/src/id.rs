use super::*;

/// Client account.
pub type AccountId = Arc<str>;

/// Kind of accelerator, as the platform names it.
pub type AcceleratorKind = Arc<str>;

/// Number of an attempt to run one request; starts at 1 and only grows.
pub type Attempt = u32;

/// Position in the version series that both operator lists share; 0 is the empty configuration.
pub type ConfigVersion = u64;

/// Failure domain of an instance or target.
pub type FailureDomain = Arc<str>;

/// Number by which a target that checks fencing refuses orders of a former owner.
pub type Fence = u64;

/// Hash of what makes two requests the same request: account, model or operation, and body.
pub type Fingerprint = u64;

/// Start number of a process under one instance or target id; grows with each restart.
pub type Incarnation = u64;

/// Entry instance.
pub type InstanceId = Arc<str>;

/// Model, as callers name it.
pub type ModelId = Arc<str>;

/// Random value that only one process knows, proving who made a claim.
pub type Nonce = Arc<str>;

/// Operator's id of one edit; the same id sent again is the same edit.
pub type OperationId = Arc<str>;

/// Plan of client accounts.
pub type PlanId = Arc<str>;

/// Region of an instance or target.
pub type RegionId = Arc<str>;

/// Request, unique over all instances.
pub type RequestId = Arc<str>;

/// Version of one row of the table service; 0 means that the row is absent.
pub type RowVersion = u64;

/// Plain service.
pub type ServiceId = Arc<str>;

/// Matches a store reply with the command that asked for it; unique within one process.
pub type StoreTicket = u64;

/// Back end: an engine or a server of a plain service.
pub type TargetId = Arc<str>;

/// Position of a token in an answer; the first is 0.
pub type TokenIndex = u32;
