use super::*;

/// Id of a client account.
pub type AccountId = Arc<str>;

/// Kind of accelerator, as named by the platform.
pub type AcceleratorKind = Arc<str>;

/// Number of an attempt to run one request; starts at 1 and only increases.
pub type Attempt = u32;

/// Position in the version series that both operator lists share; 0 is the empty configuration.
pub type ConfigVersion = u64;

/// Group of instances or targets that can fail together.
pub type FailureDomain = Arc<str>;

/// Fencing number: a target that checks it rejects orders of a former owner.
pub type Fence = u64;

/// Hash that identifies requests with the same content: account, model or operation, and body.
pub type Fingerprint = u64;

/// Start number of a process with one instance or target id; increases with each restart.
pub type Incarnation = u64;

/// Id of an instance, an entry process of the router.
pub type InstanceId = Arc<str>;

/// Name of a model, as used by callers.
pub type ModelId = Arc<str>;

/// Random value known to a single process, which proves that a claim is its own.
pub type Nonce = Arc<str>;

/// Id that the operator gives one edit; a repeated id refers to the same edit.
pub type OperationId = Arc<str>;

/// Id of a plan, which sets the limits of client accounts.
pub type PlanId = Arc<str>;

/// Region in which an instance or target runs.
pub type RegionId = Arc<str>;

/// Id of a request, unique across all instances.
pub type RequestId = Arc<str>;

/// Version of one row in the table service; 0 means that the row does not exist.
pub type RowVersion = u64;

/// Name of a plain service, one that runs no model.
pub type ServiceId = Arc<str>;

/// Correlates a store reply with the command that requested it; unique within one process.
pub type StoreTicket = u64;

/// Id of a back end: an engine or a server of a plain service.
pub type TargetId = Arc<str>;

/// Zero-based position of a token in an answer.
pub type TokenIndex = u32;
