/** @file
 *  cactusctl: the operators' command line program. */

#include <stdio.h>

#include <sodium.h>

#include "ctl_command.h"

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return ctl_fail (CTL_USAGE, "libsodium could not be initialized");
  return (int)ctl_run (argc, argv);
}
