#include "control_limits.h"

#include <stdlib.h>
#include <string.h>

#include "control_limits_state.h"

static void
save_limit (const struct control_limited_target *limit,
            struct control_limit_image *to)
{
  const GArray *grants = limit->bucket.grants;
  to->limit.target = strdup (limit->target);
  to->limit.born_ms = limit->born_ms;
  to->limit.rate_mrps = limit->bucket.rate_mrps;
  to->limited = limit->is_limited;
  to->seen_ms = limit->seen_ms;
  to->ended_ms = limit->ended_ms;
  to->refilled_ms = limit->bucket.refilled_ms;
  to->granted_ms = limit->granted_ms;
  to->level_micro = limit->bucket.level_micro;
  for (uint32_t i = 0; i < CONTROL_PRIORITIES; i++)
    to->short_until_ms[i] = limit->short_until_ms[i];
  to->permits.permits_len = grants->len;
  to->permits.permits_val
      = calloc (grants->len + 1, sizeof *to->permits.permits_val);
  for (guint i = 0; i < grants->len; i++)
    {
      const struct control_bucket_grant *grant
          = &g_array_index (grants, struct control_bucket_grant, i);
      to->permits.permits_val[i]
          = (struct control_permit_image){ grant->router_hash,
                                           grant->granted_ms, grant->permits };
    }
}

void
control_limits_save (const struct control_limits *limits,
                     struct control_limits_image *image)
{
  image->list_version = limits->version;
  image->clock_ms = limits->clock_ms;
  image->wall_ms = limits->wall_ms;
  image->limits.limits_len = limits->limits->len;
  image->limits.limits_val
      = calloc (limits->limits->len + 1, sizeof *image->limits.limits_val);
  for (guint i = 0; i < limits->limits->len; i++)
    save_limit (limits->limits->pdata[i], &image->limits.limits_val[i]);
}

static void
load_limit (struct control_limits *limits,
            const struct control_limit_image *from)
{
  struct control_limited_target *limit
      = control_limits_add (limits, from->limit.target, from->limit.rate_mrps);
  limit->born_ms = from->limit.born_ms;
  limit->is_limited = from->limited;
  limit->seen_ms = from->seen_ms;
  limit->ended_ms = from->ended_ms;
  limit->bucket.refilled_ms = from->refilled_ms;
  limit->granted_ms = from->granted_ms;
  limit->bucket.level_micro = from->level_micro;
  for (uint32_t i = 0; i < CONTROL_PRIORITIES; i++)
    limit->short_until_ms[i] = from->short_until_ms[i];
  for (u_int i = 0; i < from->permits.permits_len; i++)
    {
      const struct control_permit_image *permit
          = &from->permits.permits_val[i];
      struct control_bucket_grant grant
          = { permit->router_hash, permit->granted_ms, permit->permits };
      g_array_append_val (limit->bucket.grants, grant);
    }
}

void
control_limits_load (struct control_limits *limits,
                     const struct control_limits_image *image)
{
  limits->version = image->list_version;
  limits->clock_ms = image->clock_ms;
  limits->wall_ms = image->wall_ms;
  for (u_int i = 0; i < image->limits.limits_len; i++)
    load_limit (limits, &image->limits.limits_val[i]);
}
