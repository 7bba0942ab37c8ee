#ifndef EDGE_QUARANTINE_STATE_H
#define EDGE_QUARANTINE_STATE_H

/** @file
 *  State of edge_quarantine, for its own source files. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "edge_served.h"

/* A part of a lost request, or the request. */
struct crash
{
  char *target;
  char *account;
  bool is_request;
  /* Id of the part, or digest of the request. */
  uint64_t part;
  uint64_t sent_ms;
  uint64_t lost_ms;
};

/* A part in control's list. */
struct suspect
{
  char *account;
  bool for_all;
  uint64_t blocked_until_ms;
};

/* A request, or a part that needs a trial, in control's list. */
struct suspected_request
{
  /* Of a part: the account that it is about, or NULL for all. */
  char *account;
  bool needs_trial;
  uint64_t blocked_until_ms;
};

struct edge_quarantine
{
  uint64_t version;
  /* struct crash. */
  GPtrArray *pending;
  GPtrArray *reports;
  /* Sound parts and requests (uint64_t) to be reported. */
  GArray *sound;
  GArray *sound_requests;
  /* GPtrArray of struct suspect by part (uint64_t). */
  GHashTable *suspects;
  /* struct suspected_request by digest (uint64_t). */
  GHashTable *requests;
  /* Digests (uint64_t) of the requests lost last, one for each loss, but for
     those at targets that turned out to run. */
  GArray *recent;
  /* Requests to ask a trial for, and those that got one (uint64_t). */
  GArray *asked;
  GArray *trials;
  struct edge_served *served;
};

/** Frees a struct crash. */
void edge_quarantine_free_crash (gpointer crash);

#endif
