#ifndef BENCH_CALLERS_H
#define BENCH_CALLERS_H

/** @file
 *  Callers of a benchmark: many calls at a set rate on one thread. */

#include <stdbool.h>
#include <stdint.h>

/** A series of calls to one HTTP server. */
struct bench_series
{
  uint16_t port;
  const char *path;
  /** Body of every call. */
  const char *body;
  const char *api_key;
  /** Calls a second, started by the clock whether or not others ended. */
  uint32_t rate;
  uint32_t duration_ms;
  /** Filled in: calls that ended whole with status 200, and others. */
  uint64_t succeeded_calls;
  uint64_t failed_calls;
  /** From the time a call was due to its end, in microseconds, sorted. */
  uint32_t *latency_us;
};

/** Runs two series side by side on a thread each, until both are over.  With
 *  @p second NULL only one. */
void bench_series_run (struct bench_series *first,
                       struct bench_series *second);
/** Quantile of the latencies, in microseconds. */
uint32_t bench_series_quantile (const struct bench_series *series,
                                double share);
/** Frees the latencies. */
void bench_series_clear (struct bench_series *series);

/** Streams that are held open. */
struct bench_streams;

/** Opens @p count streams to a server, and waits until each got its first
 *  byte; one that is refused is asked for again.  Aborts when one fails. */
struct bench_streams *bench_streams_open (uint16_t port, const char *path,
                                          const char *body,
                                          const char *api_key, uint32_t count);
/** Reads all streams for @p duration_ms; bytes that came. */
uint64_t bench_streams_read (struct bench_streams *streams,
                             uint32_t duration_ms);
/** Events that came so far; one a token. */
uint64_t bench_streams_events (const struct bench_streams *streams);
/** Refusals before all streams were open. */
uint64_t bench_streams_refused (const struct bench_streams *streams);
/** Closes all. */
void bench_streams_close (struct bench_streams *streams);

/** Processor time that a process has used, in microseconds. */
uint64_t bench_process_cpu_us (int process_id);
/** Resident memory of a process, in bytes. */
uint64_t bench_process_memory_bytes (int process_id);

#endif
