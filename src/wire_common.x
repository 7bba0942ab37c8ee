/* Types shared by all protocols between cactusspool processes. */

const WIRE_DIGEST_BYTES = 16;
const WIRE_NAME_BYTES = 128;
const WIRE_PEERS_MAX = 1024;

typedef opaque wire_digest[WIRE_DIGEST_BYTES];
typedef string wire_name<WIRE_NAME_BYTES>;

/* Kinds of process; each holds a session with control. */
enum wire_process_kind
{
  WIRE_PROCESS_ROUTER = 1,
  WIRE_PROCESS_LEDGER = 2,
  WIRE_PROCESS_CONTROL = 3
};

/* A process of the cluster.  A router draws a new incarnation at each start; a
   ledger or control member draws one for each new data folder. */
struct wire_process
{
  wire_process_kind kind;
  wire_name host;
  wire_name availability_zone;
  wire_name region;
  wire_name address;
  unsigned int rpc_port;
  unsigned int http_port;
  unsigned hyper incarnation;
  unsigned hyper bundle_version;
};
