//! Limits, timeouts and intervals of the processes.

use std::time::Duration;

/// Timeout for receiving the head of a request from a caller.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a caller's connection is checked for the first bytes, which tell the HTTP
/// version.
pub const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for receiving the body of a request from a caller.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of the headers of a request, for both HTTP versions.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Maximum number of open connections of callers at an entry.
pub const MAX_CALLER_CONNECTIONS: usize = 20_000;

/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 256;

/// Maximum number of body bytes in one frame.
pub const MAX_BODY_FRAME_BYTES: usize = 256 * 1024;

/// Maximum number of chunks of an answer that are buffered for a slow caller; then backpressure is
/// applied to the agent.
pub const MAX_BUFFERED_CHUNKS: usize = 8;

/// Timeout for the answer of an agent to a cancel, a lookup or a probe.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which an entry checks which agents need a probe.
pub const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before the first reconnect of an entry to an agent.
pub const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay before a reconnect of an entry to an agent.
pub const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);

/// Interval at which an agent advances its dispatch window and drops expired attempts.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a draining entry or agent without a document waits for its requests.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a draining entry still accepts connections, so that the platform's balancer
/// sees `/ready` fail before connections are refused.
pub const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Maximum size of an answer that is stored for an idempotency key.
pub const MAX_STORED_ANSWER_BYTES: usize = 4 * 1024;

/// Maximum number of attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Maximum deadline that a caller may set.
pub const MAX_DEADLINE_MS: u32 = 3_600_000;

/// Maximum number of concurrent requests on one HTTP/2 connection of a caller.
pub const MAX_CALLER_STREAMS: u32 = 256;

/// Interval of pings on HTTP/2 connections of callers.
pub const CALLER_PING_INTERVAL: Duration = Duration::from_secs(20);

/// Bytes at the start of a request body that select the replica that may have the prefix cached.
pub const PREFIX_BYTES: usize = 512;

/// Burst of the retry budget of one service at an entry. With 100, entries that are killed
/// repeatedly retried 10.1 % of their requests, above the budget of 10 %.
pub const RETRY_BURST: u32 = 10;

/// Interval at which the document synchronisation runs its timers.
pub const DOCUMENT_SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an entry reads the platform's VM list, before jitter.
pub const ENTRY_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which an agent reads the platform's VM list, before jitter.
pub const AGENT_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which the certificate and key files are checked for changes.
pub const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time since the last message of an agent at which it is sent a non-idempotent call
/// without a probe: a dispatch to a frozen agent could only end as `unknown`.
pub const MAX_UNPROBED_SILENCE: Duration = Duration::from_secs(1);

/// Maximum number of agents that an entry connects to, over all services; a full mesh at the
/// planned size would need 770 connections for each entry.
pub const MAX_AGENT_CONNECTIONS: usize = 96;

/// Minimum number of replicas of a service that an entry connects to, so that it can choose among
/// them and spill load over.
pub const MIN_SERVICE_CONNECTIONS: usize = 6;

/// Maximum rate of probes sent by one entry. A probe and its answer take about 400 bytes on the
/// wire. Of the 7 KB/s budget for control traffic, 1.2 KB/s go to probes and the rest to keep-alive
/// packets, beacons and documents.
pub const MAX_PROBES_PER_SECOND: f64 = 3.0;

/// Minimum time since the last message of a replica before it is probed.
pub const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive failures to connect after which an agent is replaced in the subset by another.
pub const MAX_DIAL_FAILURES: u32 = 3;

/// Interval at which an entry rechecks whether it should connect to an agent.
pub const SUBSET_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Minimum interval between reads of the VM list, per VM on the list. Each read transfers the whole
/// list, about 100 bytes for each VM, and may take at most 1.5 KB/s of the 7 KB/s budget for
/// control traffic.
pub const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(66);

/// Interval of count reports and placement decisions of a group.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which an agent polls the state of its rank; shorter than most steps.
pub const RANK_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout for the answer of a rank to a command.
pub const RANK_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the lease state machine of a group's coordinator runs.
pub const LEASE_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Term of a group's lease. With 770 groups, three renewals per term are 77 writes per second.
pub const LEASE_TERM: Duration = Duration::from_secs(30);

/// Delay before an agent retries a failed read of the lease row.
pub const FENCE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum size of an answer of a rank.
pub const MAX_RANK_ANSWER_BYTES: usize = 16 << 20;

/// Capacity of the inbox of a group's task; messages beyond it are dropped, and their senders
/// repeat them.
pub const GROUP_INBOX_CAPACITY: usize = 4_096;

/// Time for which a leaving agent waits for the decision of a switch. The other agents may be
/// leaving too, in which case the decision never comes.
pub const GROUP_LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum delay before an entry retries an address that has never answered. An agent that starts
/// late is found after at most twice its delay. With 390 such addresses on the list, each tried
/// once an hour with 3.6 KB, the retries take 0.4 KB/s.
pub const MAX_UNSEEN_RETRY_DELAY: Duration = Duration::from_secs(3_600);
