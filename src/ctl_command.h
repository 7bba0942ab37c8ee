#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

/** @file
 *  Commands of cactusctl: their table, options and exit codes. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control_client.h"

/** Exit codes of cactusctl. */
enum ctl_exit
{
  /** Done. */
  CTL_DONE = 0,
  /** The cluster refused, or not every process has followed. */
  CTL_REFUSED = 1,
  /** Wrong usage, or findings in a document. */
  CTL_USAGE = 2,
  /** No answer: what was asked for may or may not have been done. */
  CTL_UNREACHABLE = 3
};

/** All options; each command takes some of them. */
struct ctl_options
{
  char *control;
  char *cluster;
  gboolean json;
  gint timeout_ms;
  gboolean wait;
  char *operator_name;
  char *key_file;
  char *output;
  char *budget;
  char *id;
  char *account;
  char *from;
  char *to;
  gint64 bundle_version;
  char *address;
};

/** One run of a command. */
struct ctl_context
{
  struct ctl_options options;
  /** Members of control, ended by NULL. */
  char **endpoints;
  /** Calls control's leader; NULL for commands that need none. */
  struct control_client *client;
  /** Arguments after the command's name. */
  char **arguments;
  uint32_t argument_count;
};

/** A command of one or two words. */
struct ctl_command
{
  const char *name;
  /** Arguments, as shown by --help. */
  const char *arguments;
  const char *summary;
  /** Names of the options it takes besides the common ones, ended by NULL. */
  const char *const *options;
  uint32_t arguments_min;
  uint32_t arguments_max;
  /** Whether control is called. */
  bool needs_control;
  enum ctl_exit (*run) (struct ctl_context *context);
};

/** All commands, ended by an entry without name. */
extern const struct ctl_command ctl_commands[];

/** Runs the command that the arguments name. */
enum ctl_exit ctl_run (int argc, char **argv);
/** Reads options and arguments of @p command into @p context; false after an
 *  error was printed. */
bool ctl_options_read (struct ctl_context *context,
                       const struct ctl_command *command, int argc,
                       char **argv);
/** Frees what ctl_options_read made. */
void ctl_options_clear (struct ctl_context *context);

/** Prints "cactusctl: ..." on standard error and gives @p code back.  The
 *  text says what is wrong and what to do next. */
enum ctl_exit ctl_fail (enum ctl_exit code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Calls control's leader within the timeout; prints the error and gives its
 *  code unless the answer is CONTROL_OK. */
enum ctl_exit ctl_call (struct ctl_context *context, uint32_t procedure,
                        xdrproc_t args_codec, void *args,
                        xdrproc_t result_codec, void *result,
                        size_t result_bytes);

/** The commands' functions, one a file or a group. */
enum ctl_exit ctl_bundle_keygen (struct ctl_context *context);
enum ctl_exit ctl_bundle_check (struct ctl_context *context);
enum ctl_exit ctl_bundle_sign (struct ctl_context *context);
enum ctl_exit ctl_bundle_push (struct ctl_context *context);
enum ctl_exit ctl_bundle_status (struct ctl_context *context);
enum ctl_exit ctl_bundle_show (struct ctl_context *context);
enum ctl_exit ctl_budget_top_up (struct ctl_context *context);
enum ctl_exit ctl_budget_show (struct ctl_context *context);
enum ctl_exit ctl_account_show (struct ctl_context *context);
enum ctl_exit ctl_key_digest (struct ctl_context *context);
enum ctl_exit ctl_status (struct ctl_context *context);
enum ctl_exit ctl_member_add (struct ctl_context *context);
enum ctl_exit ctl_member_promote (struct ctl_context *context);
enum ctl_exit ctl_member_remove (struct ctl_context *context);
enum ctl_exit ctl_target_list (struct ctl_context *context);
enum ctl_exit ctl_target_drain (struct ctl_context *context);
enum ctl_exit ctl_target_undrain (struct ctl_context *context);
enum ctl_exit ctl_bills (struct ctl_context *context);
enum ctl_exit ctl_explain (struct ctl_context *context);

#endif
