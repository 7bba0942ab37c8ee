#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

/** @file
 *  Commands of cactusctl: table, options and exit codes. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control_client.h"

/** Exit codes of cactusctl. */
enum ctl_exit
{
  /** The command succeeded. */
  CTL_OK = 0,
  /** The cluster refused the command, not every process runs the pushed
   *  version yet, or a ledger's bills are missing. */
  CTL_REFUSED = 1,
  /** Wrong usage, an unreadable or unwritable file, or findings in a
   *  document. */
  CTL_USAGE = 2,
  /** No answer was received: the command may or may not have been applied. */
  CTL_UNREACHABLE = 3
};

/** Values of all options; each command takes some of them. */
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

/** State of one run of a command. */
struct ctl_context
{
  struct ctl_options options;
  /** Endpoints of control's members, terminated by NULL. */
  char **endpoints;
  /** Client for control's leader; NULL for commands that don't call
   *  control. */
  struct control_client *client;
  /** Arguments, ended by NULL; the first one after the command's name has
   *  index 1. */
  char **arguments;
  /** Number of arguments after the command's name. */
  uint32_t argument_count;
};

/** A command, named by one or two words. */
struct ctl_command
{
  const char *name;
  /** Arguments, as shown by --help. */
  const char *arguments;
  const char *summary;
  /** Names of its options besides the common ones, ended by NULL. */
  const char *const *options;
  /** Minimum and maximum number of arguments after the command's name. */
  uint32_t arguments_min;
  uint32_t arguments_max;
  /** Whether the command calls control. */
  bool needs_control;
  enum ctl_exit (*run) (struct ctl_context *context);
};

/** All commands, ended by an entry without a name. */
extern const struct ctl_command ctl_commands[];

/** Runs the command that the arguments name. */
enum ctl_exit ctl_run (int argc, char **argv);
/** Reads options and arguments of @p command into @p context.  Returns false
 *  after printing an error. */
bool ctl_options_read (struct ctl_context *context,
                       const struct ctl_command *command, int argc,
                       char **argv);
/** Frees what ctl_options_read allocated. */
void ctl_options_clear (struct ctl_context *context);

/** Prints "cactusctl: ..." to standard error and returns @p code.  The text
 *  states what is wrong and what to do next. */
enum ctl_exit ctl_fail (enum ctl_exit code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Calls control's leader within the command's timeout; prints an error and
 *  returns its exit code unless the answer is CONTROL_OK.  The caller frees
 *  the result with xdr_free in any case. */
enum ctl_exit ctl_call (struct ctl_context *context, uint32_t procedure,
                        xdrproc_t args_codec, void *args,
                        xdrproc_t result_codec, void *result,
                        size_t result_bytes);

/** Functions of the commands, one file per group. */
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
enum ctl_exit ctl_evacuate (struct ctl_context *context);
enum ctl_exit ctl_return (struct ctl_context *context);
enum ctl_exit ctl_bills (struct ctl_context *context);
enum ctl_exit ctl_explain (struct ctl_context *context);

#endif
