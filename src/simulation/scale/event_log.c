#include "simulation/scale/event_log.h"

#include <string.h>

struct FkEventLog {
  FILE *file;
};

static char *path_of(const char *dir, const char *name) {
  g_autofree char *base = g_strconcat(name, ".events", NULL);
  return g_build_filename(dir, base, NULL);
}

FkEventLog *fk_event_log_new(const char *dir, const char *name, GError **error) {
  g_autofree char *path = path_of(dir, name);
  FILE *file = fopen(path, "w");
  if (!file) {
    g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s can't be written", path);
    return NULL;
  }
  FkEventLog *l = g_new0(FkEventLog, 1);
  l->file = file;
  return l;
}

void fk_event_log_free(FkEventLog *l) {
  if (!l)
    return;
  fclose(l->file);
  g_free(l);
}

void fk_event_log_add(FkEventLog *l, FkRunEventKind kind, const char *job, guint32 task,
                      const char *machine) {
  fk_event_log_add_at(l, g_get_monotonic_time(), kind, job, task, machine);
}

void fk_event_log_add_at(FkEventLog *l, gint64 at_us, FkRunEventKind kind, const char *job, guint32 task,
                         const char *machine) {
  fprintf(l->file, "%" G_GINT64_FORMAT " %d %s %u %s\n", at_us, (int)kind, job, task,
          machine ? machine : "-");
}

static void event_clear(gpointer p) {
  FkRunEvent *e = p;
  g_free(e->job);
  g_free(e->machine);
}

GArray *fk_run_events_new(void) {
  GArray *events = g_array_new(FALSE, FALSE, sizeof(FkRunEvent));
  g_array_set_clear_func(events, event_clear);
  return events;
}

static gboolean parse_line(char *line, GArray *events) {
  g_auto(GStrv) parts = g_strsplit(line, " ", 5);
  if (g_strv_length(parts) != 5)
    return FALSE;
  FkRunEvent e = {g_ascii_strtoll(parts[0], NULL, 10), (FkRunEventKind)g_ascii_strtoull(parts[1], NULL, 10),
                  g_strdup(parts[2]), (guint32)g_ascii_strtoull(parts[3], NULL, 10),
                  g_str_equal(parts[4], "-") ? NULL : g_strdup(parts[4])};
  g_array_append_val(events, e);
  return TRUE;
}

/* The last line may be half written: its process was ended. */
gboolean fk_event_log_read(const char *dir, const char *name, GArray *events, GError **error) {
  g_autofree char *path = path_of(dir, name), *text = NULL;
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

static int by_time(gconstpointer a, gconstpointer b) {
  const FkRunEvent *x = a, *y = b;
  return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

void fk_run_events_sort(GArray *events) { g_array_sort(events, by_time); }
