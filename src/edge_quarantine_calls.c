#include "edge_quarantine.h"

#include <stdlib.h>
#include <string.h>

#include "edge_quarantine_state.h"

/* Moves the ids to an array allocated with calloc, whose length is returned in
   @p count. */
static u_quad_t *
move_ids (GArray *ids, u_int *count)
{
  u_quad_t *copy = calloc (ids->len + 1, sizeof *copy);
  for (guint i = 0; i < ids->len; i++)
    copy[i] = g_array_index (ids, uint64_t, i);
  *count = ids->len;
  g_array_set_size (ids, 0);
  return copy;
}

void
edge_quarantine_fill_call (struct edge_quarantine *quarantine, uint64_t now_ms,
                           uint64_t wall_ms,
                           struct control_part_reports *reports)
{
  reports->crashes.crashes_len = 0;
  reports->crashes.crashes_val = calloc (quarantine->reports->len + 1,
                                         sizeof *reports->crashes.crashes_val);
  for (guint i = 0; i < quarantine->reports->len;)
    {
      const struct crash *crash = quarantine->reports->pdata[i];
      if (crash->is_request)
        {
          i++;
          continue;
        }
      reports->crashes.crashes_val[reports->crashes.crashes_len++]
          = (struct control_part_crash){
              .target = strdup (crash->target),
              .account = strdup (crash->account),
              .part = crash->part,
              .lost_ms = wall_ms - (now_ms - crash->lost_ms),
            };
      g_ptr_array_remove_index (quarantine->reports, i);
    }
  reports->sound.sound_val
      = move_ids (quarantine->sound, &reports->sound.sound_len);
}

void
edge_quarantine_fill_requests (struct edge_quarantine *quarantine,
                               uint64_t now_ms, uint64_t wall_ms,
                               struct control_request_reports *reports)
{
  reports->crashes.crashes_len = 0;
  reports->crashes.crashes_val = calloc (quarantine->reports->len + 1,
                                         sizeof *reports->crashes.crashes_val);
  for (guint i = 0; i < quarantine->reports->len;)
    {
      const struct crash *crash = quarantine->reports->pdata[i];
      if (!crash->is_request)
        {
          i++;
          continue;
        }
      reports->crashes.crashes_val[reports->crashes.crashes_len++]
          = (struct control_request_crash){
              .target = strdup (crash->target),
              .account = strdup (crash->account),
              .digest = crash->part,
              .sent_ms = wall_ms - (now_ms - crash->sent_ms),
              .lost_ms = wall_ms - (now_ms - crash->lost_ms),
            };
      g_ptr_array_remove_index (quarantine->reports, i);
    }
  reports->sound.sound_val
      = move_ids (quarantine->sound_requests, &reports->sound.sound_len);
  reports->trials.trials_val
      = move_ids (quarantine->asked, &reports->trials.trials_len);
}

static void
free_suspect (gpointer data)
{
  struct suspect *suspect = data;
  g_free (suspect->account);
  g_free (suspect);
}

static void
apply_request (struct edge_quarantine *quarantine,
               const struct control_suspect *line, uint64_t now_ms)
{
  const uint64_t digest = line->part;
  struct suspected_request *request = g_new (struct suspected_request, 1);
  *request = (struct suspected_request){
    line->for_all ? NULL : g_strdup (line->account), line->needs_trial,
    now_ms + line->left_ms
  };
  g_hash_table_insert (quarantine->requests,
                       g_memdup2 (&digest, sizeof digest), request);
}

static void
apply_part (struct edge_quarantine *quarantine,
            const struct control_suspect *line, uint64_t now_ms)
{
  const uint64_t part = line->part;
  GPtrArray *list = g_hash_table_lookup (quarantine->suspects, &part);
  if (!list)
    {
      list = g_ptr_array_new_with_free_func (free_suspect);
      g_hash_table_insert (quarantine->suspects,
                           g_memdup2 (&part, sizeof part), list);
    }
  struct suspect *suspect = g_new (struct suspect, 1);
  *suspect
      = (struct suspect){ g_strdup (line->account), line->for_all,
                          line->left_ms > 0 ? now_ms + line->left_ms : 0 };
  g_ptr_array_add (list, suspect);
}

void
edge_quarantine_apply (struct edge_quarantine *quarantine,
                       const struct control_suspects *suspects,
                       uint64_t now_ms)
{
  if (suspects->list_version <= quarantine->version)
    return;
  quarantine->version = suspects->list_version;
  g_hash_table_remove_all (quarantine->suspects);
  g_hash_table_remove_all (quarantine->requests);
  for (u_int i = 0; i < suspects->parts.parts_len; i++)
    {
      const struct control_suspect *line = &suspects->parts.parts_val[i];
      if (line->is_request)
        apply_request (quarantine, line, now_ms);
      else
        apply_part (quarantine, line, now_ms);
    }
}
