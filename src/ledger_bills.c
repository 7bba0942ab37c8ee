#include "ledger_bills.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base_hash.h"
#include "base_log.h"
#include "store_file.h"

#define FILE_PREFIX "bills-"
/* Maximum number of bills that are read for one page of the statement. */
#define SCAN_LINES_MAX 65536u
/* Maximum number of bills that are read from a file at once. */
#define READ_LINES_MAX 1024u

/* A bill, in memory and on disk. */
struct bill_line
{
  uint64_t account_id;
  uint64_t budget_id;
  uint8_t key[CACTUS_DIGEST_BYTES];
  uint64_t now_ms;
  uint64_t tokens;
  struct escrow_ref ref;
  /* A value of enum escrow_entry_kind. */
  uint32_t kind;
  /* Hash of the fields above. */
  uint32_t check;
};

/* A sealed file of bills. */
struct bill_file
{
  uint64_t first_number;
  uint64_t count;
};

struct ledger_bills_seal
{
  char *folder;
  uint64_t first_number;
  GArray *lines;
};

struct ledger_bills
{
  char *folder;
  /* Elements: struct bill_file, ordered by first_number. */
  GArray *files;
  /* The seal that is being written, or NULL. */
  struct ledger_bills_seal *seal;
  /* Elements: struct bill_line, the bills that are not sealed yet. */
  GArray *recent;
  /* Number of the first unsealed bill. */
  uint64_t recent_first_number;
};

static uint32_t
check_of (const struct bill_line *line)
{
  return (uint32_t)base_hash64 (line, offsetof (struct bill_line, check));
}

static void
file_name (uint64_t first_number, char name[40])
{
  snprintf (name, 40, FILE_PREFIX "%020" PRIu64, first_number);
}

static gint
compare_files (gconstpointer left, gconstpointer right)
{
  uint64_t a = ((const struct bill_file *)left)->first_number;
  uint64_t b = ((const struct bill_file *)right)->first_number;
  return a < b ? -1 : a > b;
}

/* Lists the files that the snapshot covers.  A later file was written before a
   crash, without its snapshot: its bills are replayed from the log. */
static void
list_files (struct ledger_bills *bills, uint64_t next_number)
{
  const char *name;
  struct stat status;
  GDir *folder = g_dir_open (bills->folder, 0, NULL);
  while (folder && (name = g_dir_read_name (folder)))
    {
      if (!g_str_has_prefix (name, FILE_PREFIX) || strchr (name, '.'))
        continue;
      struct bill_file file
          = { g_ascii_strtoull (name + strlen (FILE_PREFIX), NULL, 10), 0 };
      char *path = g_build_filename (bills->folder, name, NULL);
      if (stat (path, &status) == 0 && file.first_number < next_number)
        {
          file.count = (uint64_t)status.st_size / sizeof (struct bill_line);
          g_array_append_val (bills->files, file);
        }
      g_free (path);
    }
  if (folder)
    g_dir_close (folder);
  g_array_sort (bills->files, compare_files);
}

struct ledger_bills *
ledger_bills_open (const char *folder, uint64_t next_number)
{
  G_STATIC_ASSERT (sizeof (struct bill_line) == 72);
  struct ledger_bills *bills = g_new0 (struct ledger_bills, 1);
  bills->folder = g_strdup (folder);
  bills->files = g_array_new (FALSE, FALSE, sizeof (struct bill_file));
  bills->recent = g_array_new (FALSE, FALSE, sizeof (struct bill_line));
  bills->recent_first_number = next_number;
  list_files (bills, next_number);
  return bills;
}

static void
free_seal (struct ledger_bills_seal *seal)
{
  g_array_unref (seal->lines);
  g_free (seal->folder);
  g_free (seal);
}

void
ledger_bills_close (struct ledger_bills *bills)
{
  if (!bills)
    return;
  if (bills->seal)
    free_seal (bills->seal);
  g_array_unref (bills->files);
  g_array_unref (bills->recent);
  g_free (bills->folder);
  g_free (bills);
}

void
ledger_bills_add (struct ledger_bills *bills, const struct escrow_entry *entry)
{
  bool cancels = entry->kind == ESCROW_ENTRY_BILLED_ELSEWHERE && entry->flag;
  if (entry->kind != ESCROW_ENTRY_SETTLE
      && entry->kind != ESCROW_ENTRY_WRITE_OFF && !cancels)
    return;
  struct bill_line line = { .account_id = entry->account_id,
                            .budget_id = entry->budget_id,
                            .now_ms = entry->now_ms,
                            .tokens = entry->tokens,
                            .ref = entry->ref,
                            .kind = entry->kind };
  memcpy (line.key, entry->key, sizeof line.key);
  line.check = check_of (&line);
  g_array_append_val (bills->recent, line);
}

uint64_t
ledger_bills_next_number (const struct ledger_bills *bills)
{
  return bills->recent_first_number + bills->recent->len;
}

struct ledger_bills_seal *
ledger_bills_seal_start (struct ledger_bills *bills)
{
  struct ledger_bills_seal *seal = g_new0 (struct ledger_bills_seal, 1);
  seal->folder = g_strdup (bills->folder);
  seal->first_number = bills->recent_first_number;
  seal->lines = bills->recent;
  bills->recent_first_number = ledger_bills_next_number (bills);
  bills->recent = g_array_new (FALSE, FALSE, sizeof (struct bill_line));
  bills->seal = seal;
  return seal;
}

int
ledger_bills_seal_write (struct ledger_bills_seal *seal)
{
  char name[40];
  if (seal->lines->len == 0)
    return 0;
  file_name (seal->first_number, name);
  return store_file_replace (seal->folder, name, seal->lines->data,
                             seal->lines->len * sizeof (struct bill_line),
                             NULL, 0);
}

void
ledger_bills_seal_end (struct ledger_bills *bills,
                       struct ledger_bills_seal *seal, bool written)
{
  struct bill_file file = { seal->first_number, seal->lines->len };
  if (written && file.count > 0)
    g_array_append_val (bills->files, file);
  if (!written)
    {
      g_array_prepend_vals (bills->recent, seal->lines->data,
                            seal->lines->len);
      bills->recent_first_number = seal->first_number;
    }
  bills->seal = NULL;
  free_seal (seal);
}

void
ledger_bills_trim (struct ledger_bills *bills, uint64_t bytes_max)
{
  char name[40];
  uint64_t count = 0;
  for (guint i = 0; i < bills->files->len; i++)
    count += g_array_index (bills->files, struct bill_file, i).count;
  while (bills->files->len > 0
         && count * sizeof (struct bill_line) > bytes_max)
    {
      struct bill_file oldest
          = g_array_index (bills->files, struct bill_file, 0);
      file_name (oldest.first_number, name);
      char *path = g_build_filename (bills->folder, name, NULL);
      unlink (path);
      g_free (path);
      g_array_remove_index (bills->files, 0);
      count -= oldest.count;
    }
}

/* Reads up to @p most bills of a file, from bill @p number on.  Returns how
   many were read. */
static size_t
read_file (const struct ledger_bills *bills, const struct bill_file *file,
           uint64_t number, struct bill_line *lines, size_t most)
{
  char name[40];
  file_name (file->first_number, name);
  char *path = g_build_filename (bills->folder, name, NULL);
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  uint64_t skip = number - file->first_number;
  ssize_t bytes_read = -1;
  if (fd >= 0)
    bytes_read = pread (fd, lines, most * sizeof *lines,
                        (off_t)(skip * sizeof *lines));
  size_t count = bytes_read > 0 ? (size_t)bytes_read / sizeof *lines : 0;
  if (count == 0)
    base_log (BASE_LOG_ERROR,
              "bills-not-read file=%s number=%" PRIu64 " error=%s", path,
              number,
              bytes_read < 0 ? g_strerror (errno) : "the file is too short");
  if (fd >= 0)
    close (fd);
  g_free (path);
  return count;
}

/* Copies up to @p most bills of @p from, whose first has number
   @p first_number, from bill @p number on.  Returns how many were copied. */
static size_t
copy_lines (const GArray *from, uint64_t first_number, uint64_t number,
            struct bill_line *lines, size_t most)
{
  uint64_t skip = number - first_number;
  size_t count = MIN (most, from->len - skip);
  memcpy (lines, &g_array_index (from, struct bill_line, skip),
          count * sizeof *lines);
  return count;
}

/* Reads up to @p most bills from bill @p number on.  Returns how many were
   read, 0 at the end.  @p number is raised to the oldest bill that was not
   trimmed. */
static size_t
read_lines (const struct ledger_bills *bills, uint64_t *number,
            struct bill_line *lines, size_t most)
{
  for (guint i = 0; i < bills->files->len; i++)
    {
      const struct bill_file *file
          = &g_array_index (bills->files, struct bill_file, i);
      if (*number >= file->first_number + file->count)
        continue;
      *number = MAX (*number, file->first_number);
      return read_file (bills, file, *number, lines, most);
    }
  const struct ledger_bills_seal *seal = bills->seal;
  if (seal && *number < bills->recent_first_number)
    {
      *number = MAX (*number, seal->first_number);
      if (seal->lines->len > 0)
        return copy_lines (seal->lines, seal->first_number, *number, lines,
                           most);
    }
  *number = MAX (*number, bills->recent_first_number);
  if (*number >= ledger_bills_next_number (bills))
    return 0;
  return copy_lines (bills->recent, bills->recent_first_number, *number, lines,
                     most);
}

/* Appends a bill to the page if it matches the account and the time range. */
static void
append_line (const struct escrow_ledger *ledger, const struct bill_line *line,
             const struct ledger_bills_args *args,
             struct ledger_bills_result *result)
{
  struct escrow_entry entry = { .kind = (enum escrow_entry_kind)line->kind,
                                .now_ms = line->now_ms,
                                .ref = line->ref,
                                .account_id = line->account_id,
                                .budget_id = line->budget_id,
                                .tokens = line->tokens };
  if (line->check != check_of (line))
    {
      base_log (BASE_LOG_ERROR, "bill-damaged settled_at_ms=%" PRIu64,
                line->now_ms);
      return;
    }
  if ((args->account_id && args->account_id != line->account_id)
      || line->now_ms < args->from_ms
      || (args->to_ms && line->now_ms >= args->to_ms))
    return;
  memcpy (entry.key, line->key, sizeof entry.key);
  struct ledger_bill *bill = &result->bills.bills_val[result->bills.bills_len];
  if (escrow_ledger_make_bill (ledger, &entry, bill))
    result->bills.bills_len++;
}

bool
ledger_bills_read_page (struct ledger_bills *bills,
                        const struct escrow_ledger *ledger,
                        const struct ledger_bills_args *args,
                        struct ledger_bills_result *result)
{
  struct bill_line *lines = g_new (struct bill_line, READ_LINES_MAX);
  uint64_t number = MAX (args->after_index + 1, 1);
  uint32_t scanned = 0;
  size_t count = 0;
  memset (result, 0, sizeof *result);
  result->bills.bills_val
      = calloc (LEDGER_BATCH_MAX, sizeof (struct ledger_bill));
  g_assert (result->bills.bills_val);
  do
    {
      count = read_lines (bills, &number, lines, READ_LINES_MAX);
      size_t used = 0;
      while (used < count && result->bills.bills_len < LEDGER_BATCH_MAX)
        append_line (ledger, &lines[used++], args, result);
      number += used;
      scanned += (uint32_t)used;
    }
  while (count > 0 && scanned < SCAN_LINES_MAX
         && result->bills.bills_len < LEDGER_BATCH_MAX);
  g_free (lines);
  if (number >= ledger_bills_next_number (bills))
    return true;
  /* The bills from here on are for the next page, which fails if they can't be
     read. */
  result->next_index = scanned > 0 ? number - 1 : 0;
  return scanned > 0;
}
