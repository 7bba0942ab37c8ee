#ifndef CONTROL_BUCKET_H
#define CONTROL_BUCKET_H

/** @file
 *  The token bucket of one limited target, with the permits that routers hold.
 *  Times are those of control_limits.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Fractions of a permit in which levels are counted. */
#define CONTROL_BUCKET_MICRO UINT64_C (1000000)

/** Permits granted to a router by one call. */
struct control_bucket_grant
{
  uint64_t router_hash;
  uint64_t granted_ms;
  uint32_t permits;
};

/** The bucket. */
struct control_bucket
{
  /** Requests per 1,000 s. */
  uint64_t rate_mrps;
  uint64_t refilled_ms;
  /** Permits that may be granted, in millionths. */
  uint64_t level_micro;
  /** Grants (struct control_bucket_grant), the oldest first. */
  GArray *grants;
};

/** Returns the most permits, in millionths, that routers may use within
 *  @p span_ms of a bucket with this rate. */
uint64_t control_bucket_most_micro (uint64_t rate_mrps, uint32_t span_ms);
/** Initializes an empty bucket at @p now_ms. */
void control_bucket_init (struct control_bucket *bucket, uint64_t rate_mrps,
                          uint64_t now_ms);
/** Frees what the bucket refers to. */
void control_bucket_clear (struct control_bucket *bucket);
/** Sets another rate. */
void control_bucket_set_rate (struct control_bucket *bucket,
                              uint64_t rate_mrps, uint64_t now_ms);
/** Drops the grants of routers that told nothing of them in time, and adds
 *  what has come since the last call. */
void control_bucket_refill (struct control_bucket *bucket, uint64_t now_ms);
/** Returns whether this number of permits can be granted. */
bool control_bucket_has_permits (const struct control_bucket *bucket,
                                 uint32_t permits);
/** Grants one permit; there must be one. */
void control_bucket_grant (struct control_bucket *bucket, uint64_t router_hash,
                           uint64_t now_ms);
/** Records that the router used permits, and that others expired unused. */
void control_bucket_record_use (struct control_bucket *bucket,
                                uint64_t router_hash, uint32_t used,
                                uint32_t returned);

#endif
