#include "store_identity.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include <glib.h>

#include "base_random.h"
#include "store_file.h"

#define IDENTITY_FILE "identity"
#define IDENTITY_FORMAT "cactusspool identity 1"

static char *
identity_text (const struct store_identity *identity)
{
  return g_strdup_printf ("%s\n%s\n%s\n%s\n%" PRIu64 "\n", IDENTITY_FORMAT,
                          identity->cluster, identity->role, identity->name,
                          identity->incarnation);
}

/* Creates the identity file of a new folder, with a random incarnation. */
static int
write_identity (const char *folder, struct store_identity *identity)
{
  identity->incarnation = base_random_system_seed () | 1;
  identity->fresh = true;
  char *text = identity_text (identity);
  int status
      = store_file_replace (folder, IDENTITY_FILE, text, strlen (text), "", 0);
  g_free (text);
  return status;
}

/* Adds a finding when a field of the identity file isn't the expected one. */
static void
compare_field (struct base_findings *findings, const char *path,
               const char *what, const char *found, const char *expected)
{
  if (strcmp (found, expected) != 0)
    base_findings_add (findings, path,
                       "the folder belongs to %s \"%s\", not to \"%s\"", what,
                       found, expected);
}

/* Reads an identity file and compares its owner.  Returns 0, or -1 with
   findings. */
static int
read_identity (const char *path, const char *text,
               struct store_identity *identity, struct base_findings *findings)
{
  size_t before = base_findings_count (findings);
  char **lines = g_strsplit (text, "\n", -1);
  if (g_strv_length (lines) != 6 || strcmp (lines[0], IDENTITY_FORMAT) != 0)
    {
      base_findings_add (
          findings, path,
          "does not have the format of an identity file, \"" IDENTITY_FORMAT
          "\"");
    }
  else
    {
      compare_field (findings, path, "cluster", lines[1], identity->cluster);
      compare_field (findings, path, "role", lines[2], identity->role);
      compare_field (findings, path, "process", lines[3], identity->name);
      identity->incarnation = g_ascii_strtoull (lines[4], NULL, 10);
      identity->fresh = false;
    }
  g_strfreev (lines);
  return base_findings_count (findings) == before ? 0 : -1;
}

/* Locks the folder.  Returns 0, or -1 with findings. */
static int
lock_folder (const char *folder, struct store_identity *identity,
             struct base_findings *findings)
{
  char *path = g_build_filename (folder, "lock", NULL);
  int status = -1;
  identity->lock_fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (identity->lock_fd < 0)
    base_findings_add (findings, path, "can't be opened: %s",
                       g_strerror (errno));
  else if (flock (identity->lock_fd, LOCK_EX | LOCK_NB) != 0)
    base_findings_add (findings, folder, "is in use by another process");
  else
    status = 0;
  g_free (path);
  return status;
}

int
store_identity_open (const char *folder, struct store_identity *identity,
                     struct base_findings *findings)
{
  int status = -1;
  char *text = NULL;
  char *path = g_build_filename (folder, IDENTITY_FILE, NULL);
  identity->lock_fd = -1;
  if (g_mkdir_with_parents (folder, 0700) != 0)
    {
      base_findings_add (findings, folder, "can't be created: %s",
                         g_strerror (errno));
      goto done;
    }
  if (lock_folder (folder, identity, findings) != 0)
    goto done;
  if (g_file_get_contents (path, &text, NULL, NULL))
    status = read_identity (path, text, identity, findings);
  else if (errno != ENOENT && access (path, F_OK) == 0)
    base_findings_add (findings, path, "can't be read: %s",
                       g_strerror (errno));
  else if (write_identity (folder, identity) == 0)
    status = 0;
  else
    base_findings_add (findings, path, "can't be written: %s",
                       g_strerror (errno));
done:
  if (status != 0)
    store_identity_close (identity);
  g_free (text);
  g_free (path);
  return status;
}

void
store_identity_close (struct store_identity *identity)
{
  if (identity->lock_fd >= 0)
    close (identity->lock_fd);
  identity->lock_fd = -1;
}
