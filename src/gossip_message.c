#include "gossip_message.h"

#include <stdlib.h>

#include "gossip_codec.h"

void
gossip_message_init (struct gossip_message *message, uint64_t now_ms)
{
  message->now_ms = now_ms;
  message->records = g_array_new (FALSE, TRUE, sizeof (struct gossip_target));
  message->loads = g_array_new (FALSE, TRUE, sizeof (struct gossip_load));
  message->wanted = g_array_new (FALSE, TRUE, sizeof (u_quad_t));
}

void
gossip_message_add_record (struct gossip_message *message,
                           const struct registry_record *record)
{
  struct gossip_target target;
  if (message->records->len >= GOSSIP_RECORDS_MAX)
    return;
  gossip_target_from_record (&target, record, message->now_ms);
  g_array_append_val (message->records, target);
}

void
gossip_message_add_load (struct gossip_message *message,
                         const struct registry_record *record)
{
  struct gossip_load load;
  if (!gossip_load_fits (record, message->now_ms))
    {
      gossip_message_add_record (message, record);
      return;
    }
  if (message->loads->len >= GOSSIP_LOADS_MAX)
    return;
  gossip_load_from_record (&load, record, message->now_ms);
  g_array_append_val (message->loads, load);
}

void
gossip_message_request_record (struct gossip_message *message,
                               uint64_t identity)
{
  u_quad_t wanted = identity;
  if (message->wanted->len < GOSSIP_LOADS_MAX)
    g_array_append_val (message->wanted, wanted);
}

bool
gossip_message_is_empty (const struct gossip_message *message)
{
  return message->records->len == 0 && message->loads->len == 0
         && message->wanted->len == 0;
}

void
gossip_message_to_args (struct gossip_message *message,
                        struct gossip_exchange_args *args)
{
  args->records.records_len = message->records->len;
  args->records.records_val = (void *)g_array_free (message->records, FALSE);
  args->loads.loads_len = message->loads->len;
  args->loads.loads_val = (void *)g_array_free (message->loads, FALSE);
  args->wanted.wanted_len = message->wanted->len;
  args->wanted.wanted_val = (void *)g_array_free (message->wanted, FALSE);
}

void
gossip_message_to_result (struct gossip_message *message,
                          struct gossip_exchange_result *result)
{
  result->records.records_len = message->records->len;
  result->records.records_val = (void *)g_array_free (message->records, FALSE);
  result->loads.loads_len = message->loads->len;
  result->loads.loads_val = (void *)g_array_free (message->loads, FALSE);
  result->wanted.wanted_len = message->wanted->len;
  result->wanted.wanted_val = (void *)g_array_free (message->wanted, FALSE);
}

void
gossip_message_clear (struct gossip_message *message)
{
  struct gossip_exchange_result result = { 0 };
  gossip_message_to_result (message, &result);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
}
