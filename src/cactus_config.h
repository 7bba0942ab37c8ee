#ifndef CACTUS_CONFIG_H
#define CACTUS_CONFIG_H

/** @file
 *  Constants shared by more than one module.  Module-private constants stay
 *  in their module.  Every name carries its unit. */

/** Size of a key or body digest, in bytes. */
#define CACTUS_DIGEST_BYTES 16
/** Longest name of a host, account, target and so on, in bytes without the
 *  terminator. */
#define CACTUS_NAME_BYTES 127

/** Longest record of a store_log, in bytes. */
#define CACTUS_RECORD_BYTES (16u * 1024 * 1024)
/** Size at which a store_log starts a new segment, in bytes. */
#define CACTUS_SEGMENT_BYTES (16u * 1024 * 1024)
/** Largest ONC RPC record taken from a peer, in bytes. */
#define CACTUS_RPC_RECORD_BYTES (12u * 1024 * 1024)

/** Interval between a process's heartbeats to control, in milliseconds. */
#define CACTUS_SYNC_INTERVAL_MS 1000
/** Life of a session with control without a heartbeat, in milliseconds. */
#define CACTUS_SESSION_LEASE_MS 5000
/** Life of a router's session with a ledger, in milliseconds. */
#define CACTUS_LEDGER_LEASE_MS 10000
/** Deadline of one call between processes, in milliseconds. */
#define CACTUS_CALL_TIMEOUT_MS 1000

/** Time for a connection to stand, in milliseconds: several times the longest
 *  way between regions (60 ms both ways).  The kernel would send its first
 *  packet again after a second only; a new connection sends one at once. */
#define CACTUS_CONNECT_TIMEOUT_MS 300

/** Interval of a target's announcements, in milliseconds. */
#define CACTUS_ANNOUNCE_INTERVAL_MS 500
/** Age at which a target's record lapses, in milliseconds. */
#define CACTUS_TARGET_LAPSE_MS 3000
/** Interval of gossip rounds between routers, in milliseconds. */
#define CACTUS_GOSSIP_INTERVAL_MS 500

/** Most connections of a router, in use by callers at once. */
#define CACTUS_CALLERS_MAX 8192
/** Largest request body where the bundle gives no limit, in bytes. */
#define CACTUS_BODY_BYTES (1024u * 1024)

#endif
