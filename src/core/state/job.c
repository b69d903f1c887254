#include "core/state/job.h"

#include <string.h>

FkSpec *fk_spec_new(void) {
  FkSpec *s = g_new0(FkSpec, 1);
  s->refs = 1;
  s->deadline_s = -1;
  return s;
}

FkSpec *fk_spec_ref(FkSpec *s) {
  s->refs++;
  return s;
}

void fk_spec_unref(FkSpec *s) {
  if (!s || --s->refs > 0)
    return;
  g_free(s->id);
  g_free(s->class_name);
  g_free(s->team);
  g_free(s->image);
  g_strfreev(s->types);
  g_free(s->zone);
  g_free(s->owner);
  g_strfreev(s->needs);
  g_free(s);
}

double fk_spec_size(const FkSpec *s) { return s->tasks * s->cpus * MAX(1, s->estimate_s); }

guint32 fk_spec_chunks(const FkSpec *s) { return (s->tasks + s->chunk - 1) / s->chunk; }

guint32 fk_spec_chunk_tasks(const FkSpec *s, guint32 chunk) {
  guint32 first = chunk * s->chunk;
  return MIN(s->chunk, s->tasks - first);
}

FkChunk *fk_chunk_new(guint32 first, guint32 count) {
  FkChunk *c = g_new0(FkChunk, 1);
  c->first = first;
  c->count = count;
  c->next_attempt = 1;
  c->done = g_new0(guint8, count);
  c->bookings = g_array_new(FALSE, FALSE, sizeof(FkBooking));
  return c;
}

FkChunk *fk_chunk_copy(const FkChunk *c) {
  FkChunk *n = fk_chunk_new(c->first, c->count);
  n->rev = c->rev;
  n->next_attempt = c->next_attempt;
  memcpy(n->done, c->done, c->count);
  n->done_count = c->done_count;
  if (c->bookings->len)
    g_array_append_vals(n->bookings, c->bookings->data, c->bookings->len);
  return n;
}

void fk_chunk_free(FkChunk *c) {
  if (!c)
    return;
  g_free(c->done);
  g_array_unref(c->bookings);
  g_free(c);
}

#define RECORD_BYTES 160 /* of a chunk's record, its bookings apart, whatever the number of tasks */
#define BOOKING_BYTES 28 /* of a booking, the names apart */
#define ID_BYTES                                                                                             \
  12 /* of a machine's id, as the cloud gives them; longer ones leave tasks waiting for others' ends */

gboolean fk_chunk_fits(const FkChunk *c, double value_kb, const char *machine, const char *by) {
  double bytes = RECORD_BYTES;
  for (guint i = 0; i < c->bookings->len; i++) {
    const FkBooking *b = &g_array_index(c->bookings, FkBooking, i);
    bytes += BOOKING_BYTES + (double)strlen(b->machine) + (double)strlen(b->by);
  }
  bytes += machine ? BOOKING_BYTES + (double)strlen(machine) + (double)strlen(by) : 0;
  return bytes <= 1024 * value_kb;
}

guint32 fk_chunk_tasks_within(double value_kb, const char *by) {
  double each = BOOKING_BYTES + ID_BYTES + (double)strlen(by);
  return (guint32)CLAMP((value_kb * 1024 - RECORD_BYTES) / each, 8, 128);
}

FkBooking *fk_chunk_find(const FkChunk *c, guint32 task) {
  for (guint i = 0; i < c->bookings->len; i++) {
    FkBooking *b = &g_array_index(c->bookings, FkBooking, i);
    if (b->task == task)
      return b;
  }
  return NULL;
}

static gboolean in_range(const FkChunk *c, guint32 task) {
  return task >= c->first && task < c->first + c->count;
}

gboolean fk_chunk_book_as(FkChunk *c, guint32 task, const char *machine, const char *by, FkAttempt attempt) {
  /* One booking a task, ever: this is what keeps a task from running twice. */
  if (!in_range(c, task) || c->done[task - c->first] || fk_chunk_find(c, task))
    return FALSE;
  FkBooking b = {task, attempt, g_intern_string(machine), g_intern_string(by), FALSE, {0}, FALSE};
  g_array_append_val(c->bookings, b);
  c->next_attempt = MAX(c->next_attempt, attempt.n + 1);
  return TRUE;
}

gboolean fk_chunk_book(FkChunk *c, guint32 task, const char *machine, const char *by) {
  return fk_chunk_book_as(c, task, machine, by, (FkAttempt){c->next_attempt});
}

gboolean fk_chunk_release(FkChunk *c, guint32 task, FkAttempt attempt) {
  for (guint i = 0; i < c->bookings->len; i++) {
    FkBooking *b = &g_array_index(c->bookings, FkBooking, i);
    if (b->task == task && b->attempt.n == attempt.n) {
      g_array_remove_index(c->bookings, i);
      return TRUE;
    }
  }
  return FALSE;
}

gboolean fk_chunk_finish(FkChunk *c, guint32 task, FkAttempt attempt) {
  if (!fk_chunk_release(c, task, attempt))
    return FALSE;
  c->done[task - c->first] = 1;
  c->done_count++;
  return TRUE;
}

gboolean fk_chunk_stop(FkChunk *c, guint32 task) {
  FkBooking *b = fk_chunk_find(c, task);
  if (!b || b->stop)
    return FALSE;
  b->stop = TRUE;
  return TRUE;
}
