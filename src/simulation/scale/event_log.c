#include "simulation/scale/event_log.h"

#include <stdio.h>
#include <string.h>

struct FkEventLog {
  FILE *file;
};

static char *log_path(const char *dir, const char *name) {
  g_autofree char *base = g_strconcat(name, ".events", NULL);
  return g_build_filename(dir, base, NULL);
}

FkEventLog *fk_event_log_new(const char *dir, const char *name, GError **error) {
  g_autofree char *path = log_path(dir, name);
  FILE *file = fopen(path, "w");
  if (!file) {
    g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s can't be written", path);
    return NULL;
  }
  FkEventLog *log = g_new0(FkEventLog, 1);
  log->file = file;
  return log;
}

void fk_event_log_free(FkEventLog *log) {
  if (!log)
    return;
  fclose(log->file);
  g_free(log);
}

void fk_event_log_add(FkEventLog *log, FkRunEventKind kind, const char *job, guint32 task,
                      const char *machine) {
  fk_event_log_add_at(log, g_get_monotonic_time(), kind, job, task, machine);
}

void fk_event_log_add_at(FkEventLog *log, gint64 at_us, FkRunEventKind kind, const char *job, guint32 task,
                         const char *machine) {
  fprintf(log->file, "%" G_GINT64_FORMAT " %d %s %u %s\n", at_us, (int)kind, job, task,
          machine ? machine : "-");
}

static void clear_event(gpointer data) {
  FkRunEvent *event = data;
  g_free(event->job);
  g_free(event->machine);
}

GArray *fk_run_events_new(void) {
  GArray *events = g_array_new(FALSE, FALSE, sizeof(FkRunEvent));
  g_array_set_clear_func(events, clear_event);
  return events;
}

/* Appends the event; FALSE when the line is malformed. */
static gboolean parse_line(char *line, GArray *events) {
  g_auto(GStrv) parts = g_strsplit(line, " ", 5);
  if (g_strv_length(parts) != 5)
    return FALSE;
  FkRunEvent event = {g_ascii_strtoll(parts[0], NULL, 10),
                      (FkRunEventKind)g_ascii_strtoull(parts[1], NULL, 10), g_strdup(parts[2]),
                      (guint32)g_ascii_strtoull(parts[3], NULL, 10),
                      g_str_equal(parts[4], "-") ? NULL : g_strdup(parts[4])};
  g_array_append_val(events, event);
  return TRUE;
}

/* An incomplete last line is ignored: its process was killed. */
gboolean fk_event_log_read(const char *dir, const char *name, GArray *events, GError **error) {
  g_autofree char *path = log_path(dir, name), *text = NULL;
  if (!g_file_get_contents(path, &text, NULL, error))
    return FALSE;
  for (char *line = text, *end; (end = strchr(line, '\n')); line = end + 1) {
    *end = 0;
    if (!parse_line(line, events)) {
      g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s: a malformed line: %s", path, line);
      return FALSE;
    }
  }
  return TRUE;
}

static int compare_times(gconstpointer a, gconstpointer b) {
  const FkRunEvent *x = a, *y = b;
  return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

void fk_run_events_sort(GArray *events) { g_array_sort(events, compare_times); }
