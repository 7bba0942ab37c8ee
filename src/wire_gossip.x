/* Protocol between routers: exchanges versioned records of targets and fetches
   the newest bundle. */
%#include "wire_common.h"

const GOSSIP_RECORDS_MAX = 1024;
const GOSSIP_LOADS_MAX = 4096;

/* Last known record of a target.  Records of one target are ordered by
   (incarnation, sequence); one with leaving set supersedes all others of its
   incarnation. */
struct gossip_target
{
  wire_name target;
  wire_name service;
  wire_name availability_zone;
  wire_name region;
  wire_name address;
  unsigned int port;
  unsigned hyper incarnation;
  unsigned hyper sequence;
  bool leaving;
  unsigned int age_ms;           /* age of the target's report */
  unsigned int slots;
  unsigned int running;
  unsigned int queued;
  unsigned int weight;
};

/* Load of a target whose name, service, location, address and slots the other
   side already knows.  identity is the hash of those. */
struct gossip_load
{
  unsigned hyper identity;
  unsigned int sequence;
  /* age in units of 4 ms << 20 | running << 10 | queued; values that don't fit
     are sent in a gossip_target instead */
  unsigned int report;
};

/* A push-pull exchange: the caller sends the loads that changed recently and a
   part of the others; the answer returns those that are newer on the other
   side.  Each side lists in wanted the identities that it doesn't know; a
   second call (repair) then sends them as whole records at once. */
struct gossip_exchange_args
{
  unsigned hyper cluster_hash;
  wire_name host;
  wire_name availability_zone;
  wire_name region;
  bool repair;
  gossip_target records<GOSSIP_RECORDS_MAX>;
  gossip_load loads<GOSSIP_LOADS_MAX>;
  unsigned hyper wanted<GOSSIP_LOADS_MAX>;
};

struct gossip_exchange_result
{
  bool accepted;
  unsigned hyper bundle_version;
  gossip_target records<GOSSIP_RECORDS_MAX>;
  gossip_load loads<GOSSIP_LOADS_MAX>;
  unsigned hyper wanted<GOSSIP_LOADS_MAX>;
};

/* Fetches a peer's bundle in pieces: document is the piece at document_offset
   of document_bytes.  The next call requests the piece at piece_offset of
   piece_version; the first one is sent when the peer's bundle is another. */
const GOSSIP_PIECE_BYTES = 65536;

struct gossip_bundle_args
{
  wire_name cluster;
  unsigned hyper have_version;
  unsigned hyper piece_version;
  unsigned int piece_offset;
};

struct gossip_bundle_result
{
  unsigned hyper bundle_version;
  unsigned int document_bytes;
  unsigned int document_offset;
  opaque document<GOSSIP_PIECE_BYTES>;
};

program GOSSIP_PROGRAM
{
  version GOSSIP_VERSION
  {
    gossip_exchange_result GOSSIP_EXCHANGE (gossip_exchange_args) = 1;
    gossip_bundle_result GOSSIP_BUNDLE (gossip_bundle_args) = 2;
  } = 2;
} = 0x20CAC704;
