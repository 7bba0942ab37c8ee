#ifndef BUNDLE_READER_H
#define BUNDLE_READER_H

/** @file
 *  Reads members of JSON objects and reports findings with their JSON path. */

#include <glib.h>
#include <jansson.h>

#include "bundle_data.h"

/** Where the reading stands. */
struct bundle_reader
{
  struct bundle *bundle;
  struct base_findings *findings;
  /** JSON path of the value that is being read. */
  GString *path;
};

/** Goes into member @p name; gives the mark for bundle_reader_leave. */
size_t bundle_reader_enter (struct bundle_reader *reader, const char *name);
/** Goes into element @p index of an array. */
size_t bundle_reader_enter_index (struct bundle_reader *reader, size_t index);
/** Goes back to where the path was at @p mark. */
void bundle_reader_leave (struct bundle_reader *reader, size_t mark);
/** Reports a finding at the current path. */
void bundle_reader_find (struct bundle_reader *reader, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Reports the members of @p object that are not in @p known (NULL-ended);
 *  false when @p object is no object at all. */
bool bundle_reader_members (struct bundle_reader *reader, json_t *object,
                            const char *const *known);
/** Checks a name of an account, service and so on. */
bool bundle_reader_name (struct bundle_reader *reader, const char *name);
/** A whole number in [minimum, maximum]; @p fallback when absent. */
uint64_t bundle_reader_number (struct bundle_reader *reader, json_t *object,
                               const char *member, uint64_t minimum,
                               uint64_t maximum, uint64_t fallback);
/** A truth value; false when absent. */
bool bundle_reader_switch (struct bundle_reader *reader, json_t *object,
                           const char *member);
/** A required string, or NULL with a finding. */
const char *bundle_reader_string (struct bundle_reader *reader, json_t *object,
                                  const char *member);
/** An array of strings; NULL when absent or no array.  With @p required,
 *  absence is a finding.  Elements that are no strings are found, and stay in
 *  the array. */
json_t *bundle_reader_strings (struct bundle_reader *reader, json_t *object,
                               const char *member, bool required);
/** Names of the members of @p object in order, freed with g_free. */
const char **bundle_reader_names (json_t *object, size_t *count);

/** Reads the operators' section. */
void bundle_read_operators (struct bundle_reader *reader, json_t *section);
/** Reads the accounts' section. */
void bundle_read_accounts (struct bundle_reader *reader, json_t *section);
/** Reads the services' section. */
void bundle_read_services (struct bundle_reader *reader, json_t *section);
/** Reads the classes' section. */
void bundle_read_classes (struct bundle_reader *reader, json_t *section);
/** Reads the rules' section; after all others. */
void bundle_read_rules (struct bundle_reader *reader, json_t *section);
/** Reads a parsed document; takes no reference to it. */
struct bundle *bundle_read_json (json_t *document,
                                 struct base_findings *findings);
/** Writes the canonical text of a document that was read without findings,
 *  its digest, and where the entries stand. */
void bundle_canonical_make (struct bundle *bundle, json_t *document);

#endif
