#ifndef TOOL_FOLDER_H
#define TOOL_FOLDER_H

/** @file
 *  Removes the folders that tests, trials and benchmarks made. */

/** Removes everything in the folder. */
void tool_folder_empty (const char *folder);
/** Removes the folder with everything in it. */
void tool_folder_remove (const char *folder);

#endif
