#ifndef CONTROL_DIFFERENCE_H
#define CONTROL_DIFFERENCE_H

/** @file
 *  Differences between two versions of a configuration document: what to copy
 *  from the older one and what to insert, compressed.  Deterministic, without
 *  I/O.  The documents are byte strings; a difference is small when they share
 *  most of their JSON objects. */

#include <glib.h>

/** Returns the difference that turns @p from into @p to; a NULL @p from is
 *  empty. */
GBytes *control_difference_make (GBytes *from, GBytes *to);
/** Applies a difference to @p from; NULL when it is malformed or was made from
 *  another document. */
GBytes *control_difference_apply (GBytes *from, GBytes *difference);

#endif
