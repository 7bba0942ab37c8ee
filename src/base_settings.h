#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

/** @file
 *  Settings from command-line flags and CACTUS_ environment variables.  A flag
 *  overrides its variable, a variable overrides the default. */

#include <stdbool.h>
#include <stdint.h>

#include "base_findings.h"

/** Type of a setting's value. */
enum base_setting_type
{
  /** char *, freed by base_settings_clear. */
  BASE_SETTING_STRING,
  /** uint64_t in [minimum, maximum]. */
  BASE_SETTING_NUMBER,
  /** bool; a flag without value, or a variable set to "1", "0", "true" or
   *  "false". */
  BASE_SETTING_SWITCH,
  /** char *, an IPv4 address and port, "A.B.C.D:PORT". */
  BASE_SETTING_ENDPOINT,
  /** char **, a NULL-terminated list of endpoints, written "a:1,b:2". */
  BASE_SETTING_ENDPOINTS
};

/** A setting.  The flag "data-dir" stands for --data-dir and
 *  CACTUS_DATA_DIR. */
struct base_setting
{
  const char *flag;
  enum base_setting_type type;
  /** Variable that receives the value; @ref type determines its C type. */
  void *target;
  /** Default as text, or NULL. */
  const char *fallback;
  bool required;
  /** Range of a BASE_SETTING_NUMBER. */
  uint64_t minimum;
  uint64_t maximum;
  /** Unit and meaning, for --help. */
  const char *help;
};

/** What the program does after reading its settings. */
enum base_settings_outcome
{
  /** The settings are valid: run. */
  BASE_SETTINGS_RUN,
  /** --help, --version or --check was handled: exit with status 0. */
  BASE_SETTINGS_EXIT,
  /** The findings were printed: exit with status 2. */
  BASE_SETTINGS_INVALID
};

/** Reads @p settings (an array that ends with the flag NULL) from the command
 *  line and the environment, and prints all findings on standard error.
 *  @p summary is the first line of --help. */
enum base_settings_outcome
base_settings_read (int argc, char **argv, const char *summary,
                    const struct base_setting *settings);
/** Frees the strings and lists that base_settings_read allocated. */
void base_settings_clear (const struct base_setting *settings);
/** Splits "A.B.C.D:PORT" into address and port.  Returns 0, or -1 when
 *  @p endpoint is malformed. */
int base_endpoint_split (const char *endpoint, char address[16],
                         uint16_t *port);

#endif
