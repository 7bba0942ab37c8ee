#include "capacity_lines.h"

/* The size that decides the design. */
#define NODES 380.0
#define ZONES 7.0
#define REQUESTS_PER_S 5800.0
#define TOKENS_PER_S 1500000.0
#define BUDGETS 280000.0
#define ACCOUNTS 6800.0
#define CHANGES_PER_S (1100.0 / 86400.0)
#define TOKEN_GAP_S 0.041
#define RESTARTS_PER_S (108.0 / 86400.0)
/* Heartbeats of a session a second. */
#define SYNCS_PER_S 1.0

#define NODE_REQUESTS (REQUESTS_PER_S / NODES)
#define NODE_TOKENS (TOKENS_PER_S / NODES)
#define NODE_STREAMS (TOKENS_PER_S * TOKEN_GAP_S / NODES)
#define LEDGER_REQUESTS (REQUESTS_PER_S / ZONES)

#define GOSSIP_SIZE "zones=7 routers=54 targets=86"

static const struct capacity_line lines[] = {
  { "router",
    "gossip of targets",
    "KB/s",
    1000,
    13,
    "push-pull gossip of versioned records, relays between zones",
    { { "gossip_bytes", GOSSIP_SIZE, 1, "7 zones of 54 routers, 86 targets" },
      { 0 } } },
  { "router",
    "session with control",
    "KB/s",
    1000,
    13,
    "one heartbeat a second; differences of bundles",
    { { "control_heartbeat", "", SYNCS_PER_S, "1 a second" },
      { "control_change", "", CHANGES_PER_S, "1,100 changes a day" },
      { 0 } } },
  { "router",
    "whole bundles after restarts (all nodes together)",
    "KB/s",
    1000,
    0,
    "whole document at start, differences after",
    { { "control_whole_bundle", "", RESTARTS_PER_S, "98 + 10 starts a day" },
      { 0 } } },
  { "router",
    "processor for gossip",
    "% of a core",
    1,
    4.9,
    "packed records, no work for what did not change",
    { { "gossip_processor", GOSSIP_SIZE, 1,
        "7 zones of 54 routers, 86 targets" },
      { 0 } } },
  { "router",
    "processor for bundle changes",
    "% of a core",
    10,
    4.9,
    "difference applied to the canonical document, digest checked",
    { { "bundle_apply_ms", "", CHANGES_PER_S, "1,100 changes a day" },
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
    "bounded buffers a stream, back-pressure to the target",
    { { "router_memory_idle", "", 1, "the process" },
      { "bundle_held_bytes", "", ACCOUNTS, "6,800 accounts" },
      { "router_stream_memory", "", NODE_STREAMS,
        "tokens/s x 41 ms / 380 nodes" },
      { 0 } } },
  { "router",
    "processor for requests and tokens",
    "% of a core",
    1e4,
    0,
    "event loops; not counted as control",
    { { "router_request_cpu_200", "", NODE_REQUESTS, "5,800/s / 380" },
      { "router_token_cpu", "", NODE_TOKENS, "1.5 M/s / 380" },
      { 0 } } },
  { "ledger",
    "processor for requests",
    "% of a core",
    1e4,
    0,
    "one synced write a round, one ledger a zone",
    { { "ledger_open_cpu_us", "tokens at the ledger", LEDGER_REQUESTS,
        "5,800/s / 7 zones" },
      { 0 } } },
  { "ledger",
    "log written",
    "KB/s",
    1000,
    0,
    "journal of changes, snapshots cut it",
    { { "ledger_log_bytes", "", LEDGER_REQUESTS, "5,800/s / 7 zones" },
      { 0 } } },
  { "ledger",
    "memory of budgets",
    "MB",
    1e6,
    32,
    "one fixed record a budget in an open-addressed table",
    { { "ledger_budget_bytes", "", BUDGETS, "280,000 budgets" }, { 0 } } },
  { "ledger",
    "memory with keys of an hour",
    "MB",
    0.954,
    0,
    "131,072 keys at most; more make the window shorter",
    { { "ledger_resident_mib", "", 1, "the whole core" }, { 0 } } },
  { "ledger",
    "start after a kill",
    "s",
    1000,
    0,
    "snapshot and short tail",
    { { "ledger_start_ms", "", 1, "280,000 budgets, 100,000 records" },
      { 0 } } },
  { "control leader",
    "processor for sessions",
    "% of a core",
    2,
    4.9,
    "one RPC loop; measured at two heartbeats a second, halved",
    { { "control_leader_cpu_380_watchers", "", 1, "380 watchers" }, { 0 } } },
  { "control member",
    "memory of budgets",
    "MB",
    1e6,
    32,
    "a record a budget with a share a ledger",
    { { "pool_budget_bytes", "", BUDGETS, "280,000 budgets, 7 ledgers" },
      { 0 } } },
  { "control member",
    "snapshot",
    "MB",
    1e6,
    0,
    "written whole by the serving loop",
    { { "pool_saved_bytes", "", BUDGETS, "280,000 budgets, 7 ledgers" },
      { 0 } } },
  { "control member",
    "time without a leader after a kill",
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
