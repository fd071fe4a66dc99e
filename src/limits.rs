//! Limits and intervals of the processes.

use std::time::Duration;

/// Longest time for a caller to send the head of a request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two looks at the first bytes of a caller's connection.
pub const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for a caller to send the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Most header bytes of a request, for both HTTP versions.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Connections of callers that an entry holds open at a time.
pub const MAX_CALLER_CONNECTIONS: usize = 20_000;

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Body bytes that one frame carries.
pub const MAX_BODY_FRAME_BYTES: usize = 256 * 1024;

/// Parts of an answer that wait for a slow caller before the agent is held back.
pub const MAX_BUFFERED_CHUNKS: usize = 8;

/// Longest time for an agent to answer a cancel, a lookup or a probe.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which an entry looks for agents that need a probe.
pub const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// First pause before an entry connects to an agent again.
pub const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Longest pause before an entry connects to an agent again.
pub const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);

/// Interval at which an agent moves its dispatch window and drops expired work.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a draining entry waits for its requests.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Time in which a draining entry still accepts connections, so that the platform's balancer
/// sees `/ready` fail before connections are refused.
pub const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Longest answer of an idempotency key that is kept, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 4 * 1024;

/// Most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Longest deadline in milliseconds that a caller may ask for.
pub const MAX_DEADLINE_MS: u32 = 3_600_000;

/// Requests that one HTTP/2 connection of a caller may have open at a time.
pub const MAX_CALLER_STREAMS: u32 = 256;

/// Interval of pings on HTTP/2 connections of callers.
pub const CALLER_PING_INTERVAL: Duration = Duration::from_secs(20);

/// Bytes at the start of a request body that decide which replica may have its prefix cached.
pub const PREFIX_BYTES: usize = 512;

/// Retries that an entry may save up for one service. With 100, entries that are killed all the time
/// retried 10.1 % of their requests, above the 10 % of the budget.
pub const RETRY_BURST: u32 = 10;

/// Interval at which the spread of documents moves on.
pub const DOCUMENT_SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an entry reads the platform's VM list, before jitter.
pub const ENTRY_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which an agent reads the platform's VM list, before jitter.
pub const AGENT_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which changed certificate and key files are looked for.
pub const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// An agent that was silent for longer is probed before it gets a call that may not be repeated:
/// a dispatch to a frozen agent could only end as `unknown`.
pub const MAX_UNPROBED_SILENCE: Duration = Duration::from_secs(1);

/// Connections that an entry spreads over the services; a full mesh at the planned size would
/// need 770 for each entry.
pub const MAX_AGENT_CONNECTIONS: usize = 96;

/// Replicas of a service that an entry connects to at least, so that it can choose and spill.
pub const MIN_SERVICE_CONNECTIONS: usize = 6;

/// Probes a second of one entry. A probe and its answer have about 400 bytes on the wire; 1.2 of the
/// 7 KB/s for control go to probes, the rest to keep-alive packets, beacons and documents.
pub const MAX_PROBES_PER_SECOND: f64 = 3.0;

/// Shortest silence after which a replica is probed.
pub const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Failed connections in a row after which an agent leaves its place in the subset to another.
pub const MAX_DIAL_FAILURES: u32 = 3;

/// Interval at which an entry looks again whether it should connect to an agent.
pub const SUBSET_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Pause between two reads of the VM list for each VM on it: the whole list is read each time, about
/// 100 bytes a VM, and takes at most 1.5 of the 7 KB/s for control.
pub const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(66);

/// Interval of count reports and placement decisions of a group.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which an agent reads the state of its rank; shorter than most steps.
pub const RANK_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time for a rank to answer a command.
pub const RANK_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the lease machine of a group's coordinator runs.
pub const LEASE_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Term of a group's lease. At 770 groups, three renewals a term are 77 writes a second.
pub const LEASE_TERM: Duration = Duration::from_secs(30);

/// Pause before an agent reads the lease row again after a failure.
pub const FENCE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Largest answer of a rank, in bytes.
pub const MAX_RANK_ANSWER_BYTES: usize = 16 << 20;

/// Messages of a group that wait for its task; the senders repeat those that are dropped.
pub const GROUP_INBOX_CAPACITY: usize = 4_096;

/// Longest time that a leaving agent waits for the decision of a switch. The other agents may
/// be leaving too, and then the decision never comes.
pub const GROUP_LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest pause before an entry tries again an address that has never answered. An agent that
/// starts late is found after at most twice its delay; 390 entries on the list, each tried with
/// 3.6 KB once an hour, take 0.4 KB/s.
pub const MAX_UNSEEN_RETRY_DELAY: Duration = Duration::from_secs(3_600);
