#ifndef STORE_SCAN_H
#define STORE_SCAN_H

/** @file
 *  Reads the records of one segment file of a store_log in order, and
 *  distinguishes a torn tail (a last record that was not completely written)
 *  from damage. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base_findings.h"

/** Header of a record in a segment file; the data follows it. */
struct store_record_header
{
  uint32_t magic;
  /** Size of the data. */
  uint32_t bytes;
  uint64_t index;
  uint64_t data_checksum;
  /** Checksum of the fields above. */
  uint64_t header_checksum;
};

/** Mark behind the data of a record: which records were written together.
 *  Readers of the data ignore the bytes behind it. */
struct store_write_mark
{
  /** Index of the first record of the write. */
  uint64_t first_index;
  uint64_t magic;
};

/** A segment file read into memory, and the offset of the next record. */
struct store_scan
{
  char *path;
  char *data;
  size_t bytes;
  size_t offset;
};

/** Kind of data at the scan's offset. */
enum store_scan_step
{
  /** A whole record. */
  STORE_SCAN_RECORD,
  /** The end of the file. */
  STORE_SCAN_END,
  /** A record that was not completely written, or zeros up to the end. */
  STORE_SCAN_TORN,
  /** A record with the wrong magic, index or checksum. */
  STORE_SCAN_DAMAGED
};

/** Fills in the header of a record. */
void store_record_header_fill (struct store_record_header *header,
                               uint64_t index, const void *data, size_t bytes);
/** Fills in the mark of a record of the write that begins with @p
 *  first_index. */
void store_write_mark_fill (struct store_write_mark *mark,
                            uint64_t first_index);
/** Reads the mark at the end of @p bytes of data of record @p index.  Returns
 *  false when there is none. */
bool store_write_mark_read (const void *data, size_t bytes, uint64_t index,
                            struct store_write_mark *mark);
/** Reads the file and takes ownership of @p path.  Returns 0, or -1 with
 *  findings. */
int store_scan_open (struct store_scan *scan, char *path,
                     struct base_findings *findings);
/** Frees the path and the contents. */
void store_scan_close (struct store_scan *scan);
/** Checks the record at the offset, which must have @p index, and copies its
 *  header. */
enum store_scan_step store_scan_next (const struct store_scan *scan,
                                      uint64_t index,
                                      struct store_record_header *header);
/** Whether the damaged record @p index at the offset may belong to the last
 *  write, which was not synced: no valid record follows it that was written
 *  later or has no mark. */
bool store_scan_may_be_unsynced (const struct store_scan *scan,
                                 uint64_t index);
/** Data of the record at the offset. */
const void *store_scan_data (const struct store_scan *scan);
/** Moves the offset past the record with this header. */
void store_scan_advance (struct store_scan *scan,
                         const struct store_record_header *header);
/** Adds a finding that the file is damaged at the offset. */
void store_scan_report_damage (const struct store_scan *scan,
                               struct base_findings *findings);

#endif
