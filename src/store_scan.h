#ifndef STORE_SCAN_H
#define STORE_SCAN_H

/** @file
 *  Reads the records of one segment file of a store_log in order and tells a
 *  torn tail from damage. */

#include <stddef.h>
#include <stdint.h>

#include "base_findings.h"

/** Head of a record; head_check covers the fields before it. */
struct store_record_head
{
  uint32_t magic;
  uint32_t bytes;
  uint64_t index;
  uint64_t data_check;
  uint64_t head_check;
};

/** A segment's contents while it is scanned. */
struct store_scan
{
  char *path;
  char *data;
  size_t bytes;
  size_t offset;
};

/** What stands at the scan's offset. */
enum store_scan_step
{
  STORE_SCAN_RECORD,
  STORE_SCAN_END,
  /** The file ends within the record, or in zeros. */
  STORE_SCAN_TORN,
  STORE_SCAN_DAMAGED
};

/** Fills in the head of a record. */
void store_record_head_fill (struct store_record_head *head, uint64_t index,
                             const void *data, size_t bytes);
/** Reads the file; 0, or -1 with findings.  @p path is taken over. */
int store_scan_open (struct store_scan *scan, char *path,
                     struct base_findings *findings);
/** Frees what the scan holds. */
void store_scan_close (struct store_scan *scan);
/** Looks at the record at the offset, which should have @p index. */
enum store_scan_step store_scan_next (const struct store_scan *scan,
                                      uint64_t index,
                                      struct store_record_head *head);
/** Data of the record at the offset. */
const void *store_scan_data (const struct store_scan *scan);
/** Moves on behind the record at the offset. */
void store_scan_advance (struct store_scan *scan,
                         const struct store_record_head *head);
/** Adds a finding that names file and offset. */
void store_scan_report (const struct store_scan *scan,
                        struct base_findings *findings);

#endif
