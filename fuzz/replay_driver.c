/** @file
 *  main function of the fuzz programs in builds without libFuzzer: passes the
 *  contents of each file named on the command line to the fuzz target.  Exits
 *  with status 1 when a file can't be read. */

#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/** The fuzz target, as libFuzzer calls it. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

int
main (int argc, char **argv)
{
  int status = 0;
  for (int i = 1; i < argc; i++)
    {
      char *text = NULL;
      gsize bytes = 0;
      if (g_file_get_contents (argv[i], &text, &bytes, NULL))
        LLVMFuzzerTestOneInput ((const uint8_t *)text, bytes);
      else
        {
          fprintf (stderr, "%s: cannot read the file; skipped\n", argv[i]);
          status = 1;
        }
      g_free (text);
    }
  return status;
}
