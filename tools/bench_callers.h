#ifndef BENCH_CALLERS_H
#define BENCH_CALLERS_H

/** @file
 *  Load generators of the benchmarks: HTTP calls at a fixed rate, and
 *  streams that are held open. */

#include <stdbool.h>
#include <stdint.h>

/** Calls to one HTTP server at a fixed rate. */
struct bench_series
{
  uint16_t port;
  const char *path;
  /** Request body of every call. */
  const char *body;
  const char *api_key;
  /** Calls per second.  Calls start on schedule, whether or not earlier ones
   *  have ended. */
  uint32_t rate;
  uint32_t duration_ms;
  /** Results: calls that completed with status 200, and all others. */
  uint64_t succeeded_calls;
  uint64_t failed_calls;
  /** Result: latencies of the succeeded calls in microseconds, from the
   *  scheduled start to the end, in ascending order. */
  uint32_t *latency_us;
};

/** Runs @p first on the calling thread and @p second, which may be NULL, on
 *  another one at the same time; returns when both have ended. */
void bench_series_run (struct bench_series *first,
                       struct bench_series *second);
/** Quantile @p share (0 to 1) of the latencies, in microseconds; 0 when no
 *  call succeeded. */
uint32_t bench_series_quantile (const struct bench_series *series,
                                double share);
/** Frees the latencies of a series. */
void bench_series_clear (struct bench_series *series);

/** Streams that are open at the same time. */
struct bench_streams;

/** Opens @p count streams to a server, and waits until each has received its
 *  first byte.  Retries a stream whose response status is not 200; aborts when
 *  a stream ends or its connection fails. */
struct bench_streams *bench_streams_open (uint16_t port, const char *path,
                                          const char *body,
                                          const char *api_key, uint32_t count);
/** Reads all streams for @p duration_ms; returns the number of bytes received
 *  meanwhile. */
uint64_t bench_streams_read (struct bench_streams *streams,
                             uint32_t duration_ms);
/** Server-sent events received so far on all streams; the targets send one per
 *  token. */
uint64_t bench_streams_events (const struct bench_streams *streams);
/** Number of responses with a status other than 200 so far. */
uint64_t bench_streams_refused (const struct bench_streams *streams);
/** Closes all streams and frees them. */
void bench_streams_close (struct bench_streams *streams);

/** CPU time that a process has used, in microseconds; 0 when it can't be
 *  read. */
uint64_t bench_process_cpu_us (int process_id);
/** Resident memory of a process, in bytes; 0 when it can't be read. */
uint64_t bench_process_memory_bytes (int process_id);

#endif
