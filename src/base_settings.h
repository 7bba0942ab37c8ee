#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

/** @file
 *  Settings from flags and CACTUS_ environment variables, checked together.
 *  A flag goes before its variable, a variable before the default. */

#include <stdbool.h>
#include <stdint.h>

#include "base_findings.h"

/** Type of a setting's value. */
enum base_setting_type
{
  /** char *, owned by the settings (freed by base_settings_clear). */
  BASE_SETTING_STRING,
  /** uint64_t within [minimum, maximum]. */
  BASE_SETTING_NUMBER,
  /** bool; a flag without value, or a variable "1", "0", "true", "false". */
  BASE_SETTING_SWITCH,
  /** char *, an IPv4 address and port "A.B.C.D:PORT". */
  BASE_SETTING_ENDPOINT,
  /** char **, NULL-ended list of endpoints; "a:1,b:2". */
  BASE_SETTING_ENDPOINTS
};

/** One setting.  flag "data-dir" gives --data-dir and CACTUS_DATA_DIR. */
struct base_setting
{
  const char *flag;
  enum base_setting_type type;
  /** Where the value goes; its type follows from @ref type. */
  void *target;
  /** Default as text, or NULL. */
  const char *fallback;
  bool required;
  uint64_t minimum;
  uint64_t maximum;
  /** Unit and meaning, for --help. */
  const char *help;
};

/** What to do after reading the settings. */
enum base_settings_outcome
{
  /** Go on. */
  BASE_SETTINGS_RUN,
  /** --help, --version or --check was served: exit with status 0. */
  BASE_SETTINGS_EXIT,
  /** Findings were printed: exit with status 2. */
  BASE_SETTINGS_INVALID
};

/** Reads @p settings (ended by flag NULL) from the command line and the
 *  environment, and prints all findings together on standard error.
 *  @p summary is the first line of --help. */
enum base_settings_outcome
base_settings_read (int argc, char **argv, const char *summary,
                    const struct base_setting *settings);
/** Frees the strings and lists that base_settings_read made. */
void base_settings_clear (const struct base_setting *settings);
/** Splits "A.B.C.D:PORT"; 0, or -1 when malformed.  @p address holds 16. */
int base_endpoint_split (const char *endpoint, char address[16],
                         uint16_t *port);

#endif
