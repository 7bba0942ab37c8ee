#include "capacity_lines.h"

/* The target size that the design must carry. */
#define HOSTS 380.0
#define ZONES 7.0
#define REQUESTS_PER_S 5800.0
#define TOKENS_PER_S 1500000.0
#define BUDGETS 280000.0
#define ACCOUNTS 6800.0
#define BUNDLE_CHANGES_PER_S (1100.0 / 86400.0)
#define TOKEN_INTERVAL_S 0.041
#define ROUTER_STARTS_PER_S (108.0 / 86400.0)
/* MiB in one MB. */
#define MIB_PER_MB 0.954
/* Heartbeats per second of a session with control. */
#define HEARTBEATS_PER_S 1.0

#define ROUTER_REQUESTS_PER_S (REQUESTS_PER_S / HOSTS)
#define ROUTER_TOKENS_PER_S (TOKENS_PER_S / HOSTS)
#define ROUTER_OPEN_STREAMS (TOKENS_PER_S * TOKEN_INTERVAL_S / HOSTS)
#define LEDGER_REQUESTS_PER_S (REQUESTS_PER_S / ZONES)

#define GOSSIP_SIZES "zones=7 routers=54 targets=86"

static const struct capacity_line lines[] = {
  { "router",
    "gossip of targets",
    "KB/s",
    1000,
    13,
    "push-pull gossip of versioned records, relays between zones",
    { { "gossip_bytes", GOSSIP_SIZES, 1, "7 zones of 54 routers, 86 targets" },
      { 0 } } },
  { "router",
    "session with control",
    "KB/s",
    1000,
    13,
    "one heartbeat per second; bundle changes sent as differences",
    { { "control_heartbeat", "", HEARTBEATS_PER_S, "1 per second" },
      { "control_change", "", BUNDLE_CHANGES_PER_S, "1,100 changes a day" },
      { 0 } } },
  { "router",
    "complete bundles after restarts (all hosts together)",
    "KB/s",
    1000,
    0,
    "complete document at start, differences afterwards",
    { { "control_whole_bundle", "", ROUTER_STARTS_PER_S,
        "98 + 10 starts a day" },
      { 0 } } },
  { "router",
    "CPU for gossip",
    "% of a core",
    1,
    4.9,
    "packed records, no work for unchanged records",
    { { "gossip_processor", GOSSIP_SIZES, 1,
        "7 zones of 54 routers, 86 targets" },
      { 0 } } },
  { "router",
    "CPU for bundle changes",
    "% of a core",
    10,
    4.9,
    "difference applied to the canonical document, digest checked",
    { { "bundle_apply_ms", "", BUNDLE_CHANGES_PER_S, "1,100 changes a day" },
      { 0 } } },
  { "router",
    "memory of the bundle",
    "MB",
    1e6,
    32,
    "accounts in one array, keys in one table",
    { { "bundle_held_bytes", "", ACCOUNTS, "6,800 accounts" }, { 0 } } },
  { "router",
    "memory idle, bundle and open streams",
    "MB",
    1e6,
    32,
    "bounded buffers per stream, back-pressure to the target",
    { { "router_memory_idle", "", 1, "the process" },
      { "bundle_held_bytes", "", ACCOUNTS, "6,800 accounts" },
      { "router_stream_memory", "", ROUTER_OPEN_STREAMS,
        "tokens/s x 41 ms / 380 hosts" },
      { 0 } } },
  { "router",
    "CPU for requests and tokens",
    "% of a core",
    1e4,
    0,
    "event loops; not counted as control",
    { { "router_request_cpu_200", "", ROUTER_REQUESTS_PER_S, "5,800/s / 380" },
      { "router_token_cpu", "", ROUTER_TOKENS_PER_S, "1.5 M/s / 380" },
      { 0 } } },
  { "ledger",
    "CPU for requests",
    "% of a core",
    1e4,
    0,
    "one synced write per server round, one ledger per zone",
    { { "ledger_open_cpu_us", "tokens at the ledger", LEDGER_REQUESTS_PER_S,
        "5,800/s / 7 zones" },
      { 0 } } },
  { "ledger",
    "log written",
    "KB/s",
    1000,
    0,
    "log of changes, truncated by snapshots",
    { { "ledger_log_bytes", "", LEDGER_REQUESTS_PER_S, "5,800/s / 7 zones" },
      { 0 } } },
  { "ledger",
    "memory of budgets",
    "MB",
    1e6,
    32,
    "one fixed-size record per budget in an open-addressed table",
    { { "ledger_budget_bytes", "", BUDGETS, "280,000 budgets" }, { 0 } } },
  { "ledger",
    "memory with the idempotency keys of one hour",
    "MB",
    MIB_PER_MB,
    0,
    "at most 131,072 keys; beyond that the window gets shorter",
    { { "ledger_resident_mib", "", 1, "the whole process" }, { 0 } } },
  { "ledger",
    "restart after a kill",
    "s",
    1000,
    0,
    "loads the snapshot and a short log",
    { { "ledger_start_ms", "", 1, "280,000 budgets, 100,000 records" },
      { 0 } } },
  { "control leader",
    "CPU for sessions",
    "% of a core",
    2,
    4.9,
    "one RPC loop; measured at two heartbeats per second, halved",
    { { "control_leader_cpu_380_watchers", "", 1, "380 watchers" }, { 0 } } },
  { "control member",
    "memory of budgets",
    "MB",
    1e6,
    32,
    "one record per budget with one share per ledger",
    { { "pool_budget_bytes", "", BUDGETS, "280,000 budgets, 7 ledgers" },
      { 0 } } },
  { "control member",
    "snapshot",
    "MB",
    1e6,
    0,
    "written in one piece by the serving loop",
    { { "pool_saved_bytes", "", BUDGETS, "280,000 budgets, 7 ledgers" },
      { 0 } } },
  { "control member",
    "time without a leader after its process is killed",
    "s",
    1000,
    2,
    "pre-vote, randomised timeouts from 400 ms",
    { { "control_failover_max", "", 1, "3 members" }, { 0 } } },
};

const struct capacity_line *
capacity_lines (size_t *count)
{
  *count = sizeof lines / sizeof *lines;
  return lines;
}

bool
capacity_line_value (const struct capacity_line *line,
                     const struct capacity_slopes *slopes, double *value)
{
  *value = 0;
  for (size_t i = 0; i < CAPACITY_TERMS_MAX && line->terms[i].slope; i++)
    {
      const struct capacity_term *term = &line->terms[i];
      const struct capacity_slope *slope
          = capacity_slopes_find (slopes, term->slope, term->sizes);
      if (!slope)
        return false;
      *value += slope->median * term->count;
    }
  *value /= line->divisor;
  return true;
}
