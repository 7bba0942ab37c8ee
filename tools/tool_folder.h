#ifndef TOOL_FOLDER_H
#define TOOL_FOLDER_H

/** @file
 *  Removes folders made by tests, trials and benchmarks. */

/** Removes everything in a folder. */
void tool_folder_empty (const char *folder);
/** Removes a folder with everything in it. */
void tool_folder_remove (const char *folder);

#endif
