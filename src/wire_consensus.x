/* Protocol between control members.  Each call carries one consensus message;
   its reply only acknowledges receipt, the answer is a call of its own. */
%#include "wire_common.h"

const CONSENSUS_ENTRY_BYTES = 9437184;
const CONSENSUS_ENTRIES_MAX = 1024;
const CONSENSUS_SNAPSHOT_PIECE_BYTES = 262144;
const CONSENSUS_MEMBERS_MAX = 16;

enum consensus_message_kind
{
  CONSENSUS_PRE_VOTE = 1,
  CONSENSUS_PRE_VOTE_ANSWER = 2,
  CONSENSUS_VOTE = 3,
  CONSENSUS_VOTE_ANSWER = 4,
  CONSENSUS_APPEND = 5,
  CONSENSUS_APPEND_ANSWER = 6,
  CONSENSUS_SNAPSHOT = 7,
  CONSENSUS_SNAPSHOT_ANSWER = 8,
  CONSENSUS_TIMEOUT_NOW = 9,
  /* Sent by a member that knows no leader, with its id and incarnation, so
     that a leader can admit its new incarnation. */
  CONSENSUS_HELLO = 10,
  CONSENSUS_HELLO_ANSWER = 11
};

struct consensus_wire_entry
{
  unsigned hyper term;
  unsigned hyper index;
  unsigned int kind;
  opaque data<CONSENSUS_ENTRY_BYTES>;
};

/* Kinds of log entries. */
const CONSENSUS_ENTRY_EMPTY = 0;
const CONSENSUS_ENTRY_COMMAND = 1;
const CONSENSUS_ENTRY_CONFIGURATION = 2;

/* Roles of a member. */
enum consensus_role
{
  CONSENSUS_LEARNER = 1,
  /* A member that was a voter and restarted with a new data folder: a learner
     that is promoted to voter as soon as it has caught up. */
  CONSENSUS_REJOINING = 2,
  CONSENSUS_VOTER = 3
};

struct consensus_wire_member
{
  unsigned hyper member_id;
  unsigned hyper incarnation;   /* 0 means not known yet */
  consensus_role role;
  wire_name address;
  unsigned int port;
};

struct consensus_wire_configuration
{
  consensus_wire_member members<CONSENSUS_MEMBERS_MAX>;
};

/* A member's term and vote, which are synced before it answers. */
struct consensus_wire_vote
{
  unsigned hyper term;
  unsigned hyper voted_member;
  unsigned hyper voted_incarnation;
};

/* A snapshot, sent in pieces.  On disk a consensus_wire_vote precedes it. */
struct consensus_wire_snapshot
{
  unsigned hyper log_index;
  unsigned hyper log_term;
  unsigned hyper configuration_index;
  consensus_wire_configuration configuration;
  opaque state<>;
};

enum consensus_record_kind
{
  CONSENSUS_RECORD_VOTE = 1,
  CONSENSUS_RECORD_ENTRY = 2
};

/* A record of the log on disk.  An entry replaces all earlier entries with the
   same or a higher index. */
union consensus_wire_record switch (consensus_record_kind kind)
{
case CONSENSUS_RECORD_VOTE:
  consensus_wire_vote vote;
case CONSENSUS_RECORD_ENTRY:
  consensus_wire_entry entry;
};

struct consensus_wire_message
{
  consensus_message_kind kind;
  wire_name cluster;
  unsigned hyper from_member;
  unsigned hyper from_incarnation;
  unsigned hyper to_member;
  unsigned hyper to_incarnation;   /* 0 means any incarnation */
  unsigned hyper term;
  unsigned hyper log_index;
  unsigned hyper log_term;
  unsigned hyper commit_index;
  unsigned hyper round;          /* round of heartbeats and read
                                    confirmations */
  bool granted;
  unsigned hyper hint_index;
  consensus_wire_entry entries<CONSENSUS_ENTRIES_MAX>;
  unsigned hyper snapshot_offset;
  unsigned hyper snapshot_bytes;
  opaque snapshot_piece<CONSENSUS_SNAPSHOT_PIECE_BYTES>;
};

program CONSENSUS_PROGRAM
{
  version CONSENSUS_VERSION
  {
    bool CONSENSUS_STEP (consensus_wire_message) = 1;
  } = 2;
} = 0x20CAC703;
