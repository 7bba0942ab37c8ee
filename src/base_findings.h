#ifndef BASE_FINDINGS_H
#define BASE_FINDINGS_H

/** @file
 *  List of errors found in an input, each with its place, for reporting all of
 *  them at once. */

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/** A list of findings. */
struct base_findings;

/** Creates an empty list; never NULL. */
struct base_findings *base_findings_create (void);
/** Frees the list; NULL is allowed. */
void base_findings_destroy (struct base_findings *findings);
/** Adds a finding at @p place (a flag, a file, a JSON path). */
void base_findings_add (struct base_findings *findings, const char *place,
                        const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/** Number of findings. */
size_t base_findings_count (const struct base_findings *findings);
/** Place of the finding @p index. */
const char *base_findings_place (const struct base_findings *findings,
                                 size_t index);
/** Text of the finding @p index. */
const char *base_findings_text (const struct base_findings *findings,
                                size_t index);
/** Prints a line "place: text" for each finding. */
void base_findings_print (const struct base_findings *findings, FILE *stream);
/** Returns the lines of base_findings_print as one string; the caller frees it
 *  with g_free. */
char *base_findings_join (const struct base_findings *findings);

#endif
