#ifndef CACTUS_CONFIG_H
#define CACTUS_CONFIG_H

/** @file
 *  Constants shared by several modules.  Constants of one module stay in that
 *  module.  Every name carries its unit. */

/** Size of a key or body digest, in bytes. */
#define CACTUS_DIGEST_BYTES 16
/** Longest name of a host, account, target and the like, in bytes without the
 *  terminator. */
#define CACTUS_NAME_BYTES 127

/** Longest record of a store_log, in bytes. */
#define CACTUS_RECORD_BYTES (16u * 1024 * 1024)
/** Size at which a store_log starts a new segment, in bytes. */
#define CACTUS_SEGMENT_BYTES (16u * 1024 * 1024)
/** Largest ONC RPC record accepted from a peer, in bytes. */
#define CACTUS_RPC_RECORD_BYTES (12u * 1024 * 1024)

/** Interval of a process's heartbeats to control, in milliseconds. */
#define CACTUS_SYNC_INTERVAL_MS 1000
/** Time without a heartbeat after which a session with control expires, in
 *  milliseconds. */
#define CACTUS_SESSION_LEASE_MS 5000
/** Duration of a router's session lease at a ledger, in milliseconds. */
#define CACTUS_LEDGER_LEASE_MS 10000
/** Timeout of a call between processes, in milliseconds. */
#define CACTUS_CALL_TIMEOUT_MS 1000

/** Timeout for establishing a connection, in milliseconds: several times the
 *  longest round trip between regions (60 ms).  The kernel retransmits a lost
 *  first packet only after a second, so a new connection is faster. */
#define CACTUS_CONNECT_TIMEOUT_MS 300

/** Interval of a target's announcements, in milliseconds. */
#define CACTUS_ANNOUNCE_INTERVAL_MS 500
/** Time without an announcement after which a target's record expires, in
 *  milliseconds. */
#define CACTUS_TARGET_LAPSE_MS 3000
/** Interval of gossip rounds between routers, in milliseconds. */
#define CACTUS_GOSSIP_INTERVAL_MS 500

/** Most connections of callers that a router holds at once. */
#define CACTUS_CALLERS_MAX 8192
/** Largest request body when the bundle sets no limit, in bytes. */
#define CACTUS_BODY_BYTES (1024u * 1024)

#endif
