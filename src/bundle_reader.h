#ifndef BUNDLE_READER_H
#define BUNDLE_READER_H

/** @file
 *  Reads members of JSON objects and reports findings with their JSON path. */

#include <glib.h>
#include <jansson.h>

#include "bundle_data.h"

/** State while a document is read. */
struct bundle_reader
{
  struct bundle *bundle;
  struct base_findings *findings;
  /** JSON path of the value that is being read. */
  GString *path;
};

/** Appends member @p name to the path.  Returns the previous length of the
 *  path, for bundle_reader_leave. */
size_t bundle_reader_enter (struct bundle_reader *reader, const char *name);
/** Appends array element @p index to the path.  Returns the previous length of
 *  the path, for bundle_reader_leave. */
size_t bundle_reader_enter_index (struct bundle_reader *reader, size_t index);
/** Restores the path as it was before the call that returned @p mark. */
void bundle_reader_leave (struct bundle_reader *reader, size_t mark);
/** Adds a finding at the current path. */
void bundle_reader_add_finding (struct bundle_reader *reader,
                                const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Reports the members of @p object that are not in @p known, which ends with
 *  NULL.  Returns false when @p object is not an object. */
bool bundle_reader_check_members (struct bundle_reader *reader, json_t *object,
                                  const char *const *known);
/** Checks the characters and the length of a name.  Returns false and adds a
 *  finding when it is invalid. */
bool bundle_reader_check_name (struct bundle_reader *reader, const char *name);
/** Returns an integer in [minimum, maximum].  Returns @p fallback when it is
 *  absent, and also when it is invalid, which adds a finding. */
uint64_t bundle_reader_number (struct bundle_reader *reader, json_t *object,
                               const char *member, uint64_t minimum,
                               uint64_t maximum, uint64_t fallback);
/** Returns a boolean; false when it is absent. */
bool bundle_reader_bool (struct bundle_reader *reader, json_t *object,
                         const char *member);
/** Returns a required string, or NULL with a finding. */
const char *bundle_reader_string (struct bundle_reader *reader, json_t *object,
                                  const char *member);
/** Returns an array of strings; NULL when it is absent or not an array.  With
 *  @p required, absence is a finding.  Elements that are not strings are
 *  reported and stay in the array. */
json_t *bundle_reader_strings (struct bundle_reader *reader, json_t *object,
                               const char *member, bool required);
/** Returns the sorted member names of @p object, freed with g_free. */
const char **bundle_reader_sorted_names (json_t *object, size_t *count);

/** Reads the operators section. */
void bundle_read_operators (struct bundle_reader *reader, json_t *section);
/** Reads the accounts section. */
void bundle_read_accounts (struct bundle_reader *reader, json_t *section);
/** Reads the services section. */
void bundle_read_services (struct bundle_reader *reader, json_t *section);
/** Reads the classes section. */
void bundle_read_classes (struct bundle_reader *reader, json_t *section);
/** Reads the rules section, after all others. */
void bundle_read_rules (struct bundle_reader *reader, json_t *section);
/** Reads a parsed document, without taking a reference to it.  Returns NULL
 *  and adds findings when it is invalid. */
struct bundle *bundle_read_json (json_t *document,
                                 struct base_findings *findings);
/** Sets the canonical text, the entries' positions and the digest from a
 *  document that was read without findings. */
void bundle_canonical_write (struct bundle *bundle, json_t *document);

#endif
