#include "admission/admission.h"

/* Requests come seldom in the usual course; past this part of the room, each address has only an equal part.
 */
#define UNCONTENDED_PART 0.5
/* The part of the room that each kind of request may fill: the later in the order, the less. */
static const double capacity_part[FK_REQUEST_CLASSES] = {
    [FK_REQUEST_CLASS_HEALTH] = 1,    [FK_REQUEST_CLASS_PEER] = 1,    [FK_REQUEST_CLASS_HEARTBEAT] = 1,
    [FK_REQUEST_CLASS_CANCEL] = 0.85, [FK_REQUEST_CLASS_POLL] = 0.75, [FK_REQUEST_CLASS_SUBMIT] = 0.65,
    [FK_REQUEST_CLASS_OTHER] = 0.5};
#define HEAD_CAPACITY_PART 0.9 /* a head that isn't complete may yet be a report's */

struct FkAddressUsage {
  char *address;
  guint clients;     /* connections; the place in FkAdmission.crowds */
  guint requests;    /* users' requests under way */
  gsize buffered;    /* bytes of outsiders' requests */
  guint connections; /* connections of any kind: the party lives as long */
  GQueue unanswered,
      answered; /* outsiders that can be closed, the longest waiting first: never answered, idle */
  GList count_link;
};

struct FkAdmission {
  FkAdmissionLimits limits;
  GHashTable *addresses;      /* address -> FkAddressUsage */
  GPtrArray *by_client_count; /* GQueue of FkAddressUsage by the number of their outsiders: the largest crowd
                                 is the last */
  GQueue stages[FK_STAGES];   /* FkConnectionSlot, the longest in its stage first; IDLE: see idle */
  GQueue idle[FK_CONNECTION_CLASSES];
  guint connections[FK_CONNECTION_CLASSES];
  guint requests, requesting_addresses; /* under way; parties that have users' requests under way */
  gsize buffered;
  guint buffering_addresses; /* parties that hold bytes */
  guint64 rejections[FK_REJECTION_REASONS], accepted;
};

static void address_usage_free(gpointer p) {
  FkAddressUsage *party = p;
  g_free(party->address);
  g_free(party);
}

FkAdmission *fk_admission_new(const FkAdmissionLimits *limits) {
  FkAdmission *g = g_new0(FkAdmission, 1);
  g->limits = *limits;
  g->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, address_usage_free);
  g->by_client_count = g_ptr_array_new_with_free_func((GDestroyNotify)g_queue_free);
  g_ptr_array_add(g->by_client_count, g_queue_new());
  return g;
}

void fk_admission_free(FkAdmission *g) {
  if (!g)
    return;
  g_assert(g_hash_table_size(g->addresses) == 0);
  g_hash_table_unref(g->addresses);
  g_ptr_array_unref(g->by_client_count);
  g_free(g);
}

const FkAdmissionLimits *fk_admission_limits(const FkAdmission *g) { return &g->limits; }

/* ------------------------------------------------------------------ crowds */

static GQueue *addresses_with_clients(FkAdmission *g, guint n) {
  while (g->by_client_count->len <= n)
    g_ptr_array_add(g->by_client_count, g_queue_new());
  return g->by_client_count->pdata[n];
}

/* One more or one less: the largest crowd is always the last but for empty ones, found without a search. */
static void add_clients(FkAdmission *g, FkAddressUsage *p, int by) {
  g_queue_unlink(addresses_with_clients(g, p->clients), &p->count_link);
  p->clients += by;
  g_queue_push_tail_link(addresses_with_clients(g, p->clients), &p->count_link);
  while (g->by_client_count->len > 1 &&
         g_queue_is_empty(g->by_client_count->pdata[g->by_client_count->len - 1]))
    g_ptr_array_set_size(g->by_client_count, (gint)g->by_client_count->len - 1);
}

static void count_connection(FkAdmission *g, FkConnectionSlot *s, int by) {
  g->connections[s->connection_class] += by;
  if (s->connection_class == FK_CONNECTION_CLASS_CLIENT)
    add_clients(g, s->address, by);
}

/* ------------------------------------------------------------------ stages */

static GQueue *queue_of(FkAdmission *g, const FkConnectionSlot *s) {
  return s->stage == FK_STAGE_IDLE ? &g->idle[s->connection_class] : &g->stages[s->stage];
}

static GQueue *evictable_queue(FkConnectionSlot *s) {
  if (s->connection_class != FK_CONNECTION_CLASS_CLIENT)
    return NULL;
  switch (s->stage) {
  case FK_STAGE_CONNECTED:
  case FK_STAGE_HEAD:
  case FK_STAGE_BODY:
    return s->answered ? &s->address->answered : &s->address->unanswered;
  case FK_STAGE_IDLE:
    return &s->address->answered;
  default:
    return NULL;
  }
}

static gboolean is_in_progress(FkConnectionStage stage) {
  return stage == FK_STAGE_HANDLING || stage == FK_STAGE_SENDING;
}

static gboolean is_user_request(FkRequestClass ask) { return ask >= FK_REQUEST_CLASS_CANCEL; }

static void count_request(FkAdmission *g, FkConnectionSlot *s, int by) {
  g->requests += by;
  if (!is_user_request(s->request_class))
    return;
  if (by > 0 && s->address->requests == 0)
    g->requesting_addresses++;
  s->address->requests += by;
  if (by < 0 && s->address->requests == 0)
    g->requesting_addresses--;
}

static void unlink_slot(FkAdmission *g, FkConnectionSlot *s) {
  g_queue_unlink(queue_of(g, s), &s->stage_link);
  GQueue *victims = evictable_queue(s);
  if (victims)
    g_queue_unlink(victims, &s->address_link);
}

static void link_slot(FkAdmission *g, FkConnectionSlot *s) {
  g_queue_push_tail_link(queue_of(g, s), &s->stage_link);
  GQueue *victims = evictable_queue(s);
  if (victims)
    g_queue_push_tail_link(victims, &s->address_link);
}

/* The one place where a slot changes its stage. What is ending has a room of its own (`endings`): counted
 * with the others it would crowd them out one by one. */
static void set_stage(FkAdmission *g, FkConnectionSlot *s, FkConnectionStage to, gint64 now_us) {
  unlink_slot(g, s);
  if (to == FK_STAGE_LINGERING && s->stage != FK_STAGE_LINGERING)
    count_connection(g, s, -1);
  if (is_in_progress(s->stage) != is_in_progress(to))
    count_request(g, s, is_in_progress(to) ? 1 : -1);
  s->stage = to;
  s->since_us = now_us;
  link_slot(g, s);
}

static void set_buffered(FkAdmission *g, FkConnectionSlot *s, gsize bytes) {
  FkAddressUsage *p = s->address;
  g->buffered += bytes - s->buffered;
  gboolean did = p->buffered > 0;
  p->buffered += bytes - s->buffered;
  s->buffered = bytes;
  g->buffering_addresses += (p->buffered > 0) - did;
}

/* ------------------------------------------------------------------ coming and going */

void fk_admission_connection_opened(FkAdmission *g, FkConnectionSlot *s, const char *address,
                                    FkConnectionClass guest, gint64 now_us) {
  FkAddressUsage *p = g_hash_table_lookup(g->addresses, address);
  if (!p) {
    p = g_new0(FkAddressUsage, 1);
    p->address = g_strdup(address);
    p->count_link.data = p;
    g_hash_table_insert(g->addresses, p->address, p);
    g_queue_push_tail_link(addresses_with_clients(g, 0), &p->count_link);
  }
  p->connections++;
  g->accepted++;
  *s = (FkConnectionSlot){.address = p,
                          .connection_class = guest,
                          .request_class = FK_REQUEST_CLASS_OTHER,
                          .stage = FK_STAGE_CONNECTED,
                          .since_us = now_us};
  s->stage_link.data = s->address_link.data = s;
  count_connection(g, s, 1);
  link_slot(g, s);
}

void fk_admission_connection_closed(FkAdmission *g, FkConnectionSlot *s) {
  if (s->stage == FK_STAGE_UNTRACKED)
    return;
  FkAddressUsage *p = s->address;
  set_buffered(g, s, 0);
  unlink_slot(g, s);
  if (is_in_progress(s->stage))
    count_request(g, s, -1);
  if (s->stage != FK_STAGE_LINGERING)
    count_connection(g, s, -1);
  if (--p->connections == 0) {
    g_queue_unlink(addresses_with_clients(g, p->clients), &p->count_link);
    g_hash_table_remove(g->addresses, p->address);
  }
  *s = (FkConnectionSlot){.stage = FK_STAGE_UNTRACKED};
}

void fk_admission_begin_stage(FkAdmission *g, FkConnectionSlot *s, FkConnectionStage stage, gint64 now_us) {
  g_return_if_fail(stage == FK_STAGE_HEAD || stage == FK_STAGE_BODY);
  set_stage(g, s, stage, now_us);
}

void fk_admission_reject(FkAdmission *g, FkConnectionSlot *s, FkRejectionReason why, gint64 now_us) {
  g->rejections[why]++;
  set_buffered(g, s, 0);
  set_stage(g, s, FK_STAGE_LINGERING, now_us);
}

/* ------------------------------------------------------------------ requests */

static FkConnectionClass class_after_request(FkConnectionClass was, FkRequestClass ask) {
  if (was == FK_CONNECTION_CLASS_PEER)
    return was; /* another listener */
  switch (ask) {
  case FK_REQUEST_CLASS_HEALTH:
    return FK_CONNECTION_CLASS_HEALTH_CHECK;
  case FK_REQUEST_CLASS_HEARTBEAT:
    return FK_CONNECTION_CLASS_WORKER;
  default:
    return FK_CONNECTION_CLASS_CLIENT;
  }
}

/* A kind that is full closes its own idle ones (see next()); with none of those it takes no more, and who
 * came stays an outsider. */
static void change_class(FkAdmission *g, FkConnectionSlot *s, FkConnectionClass to) {
  if (s->connection_class == to ||
      (to != FK_CONNECTION_CLASS_CLIENT && g->connections[to] >= g->limits.connections[to] &&
       g_queue_is_empty(&g->idle[to])))
    return;
  unlink_slot(g, s);
  count_connection(g, s, -1);
  s->connection_class = to;
  count_connection(g, s, 1);
  link_slot(g, s);
}

/* Whether one more fits: `have` of `most` are used, `own` of them by this address, `sharing` have some. */
static gboolean has_capacity(double have, double own, guint sharing, double most) {
  return have < most && (have < UNCONTENDED_PART * most || own < most / MAX(1, sharing));
}

gboolean fk_admission_admit_request(FkAdmission *g, FkConnectionSlot *s, FkRequestClass ask, gint64 now_us,
                                    FkRejection *v) {
  s->request_class = ask;
  double most = capacity_part[ask] * g->limits.requests;
  const FkAddressUsage *p = s->address;
  /* the answer to a health check needs nobody else, and says whether there is any use in coming */
  if (ask == FK_REQUEST_CLASS_HEALTH ||
      (is_user_request(ask)
           ? has_capacity(g->requests, p->requests, g->requesting_addresses + (p->requests == 0), most)
           : g->requests < most))
    return TRUE;
  *v = (FkRejection){503, is_user_request(ask) ? 2 : 1, "too many requests are under way"};
  fk_admission_reject(g, s, FK_REJECTION_OVERLOADED, now_us);
  return FALSE;
}

void fk_admission_request_complete(FkAdmission *g, FkConnectionSlot *s, gint64 now_us) {
  change_class(g, s, class_after_request(s->connection_class, s->request_class));
  set_stage(g, s, FK_STAGE_HANDLING, now_us);
}

void fk_admission_response_written(FkAdmission *g, FkConnectionSlot *s, gboolean all, gint64 now_us) {
  FkConnectionStage to = all ? FK_STAGE_IDLE : FK_STAGE_SENDING;
  if (s->stage == to)
    return; /* the time to take an answer is one for all of it */
  unlink_slot(g, s);
  s->answered |= all;
  link_slot(g, s);
  set_stage(g, s, to, now_us);
}

gboolean fk_admission_set_buffered(FkAdmission *g, FkConnectionSlot *s, gsize bytes, FkRejection *v) {
  gboolean more = bytes > s->buffered;
  gboolean head = s->stage == FK_STAGE_HEAD || s->stage == FK_STAGE_CONNECTED || s->stage == FK_STAGE_IDLE;
  FkRequestClass ask = s->request_class;
  double most = (head ? HEAD_CAPACITY_PART : capacity_part[ask]) * (double)g->limits.buffered_bytes;
  guint sharing = g->buffering_addresses + (s->address->buffered == 0);
  set_buffered(g, s, bytes);
  /* what is answered already is given the time to go out; a request's handler is never stopped half-way */
  if (!more || is_in_progress(s->stage) || (!head && ask == FK_REQUEST_CLASS_HEALTH))
    return TRUE;
  gboolean users = head || is_user_request(ask);
  if (users ? has_capacity((double)g->buffered, (double)s->address->buffered, sharing, most)
            : (double)g->buffered < most)
    return TRUE;
  *v = (FkRejection){503, 2, "too much is held for requests under way"};
  return FALSE;
}

/* ------------------------------------------------------------------ who must go */

static gint64 stage_timeout_us(const FkAdmission *g, FkConnectionStage stage) {
  switch (stage) {
  case FK_STAGE_CONNECTED:
    return g->limits.first_byte_us;
  case FK_STAGE_HEAD:
    return g->limits.head_us;
  case FK_STAGE_BODY:
    return g->limits.body_us;
  case FK_STAGE_SENDING:
    return g->limits.send_us;
  case FK_STAGE_IDLE:
    return g->limits.idle_us;
  case FK_STAGE_LINGERING:
    return g->limits.linger_us;
  default:
    return -1; /* under way: the core's own deadlines */
  }
}

static FkConnectionSlot *oldest(const GQueue *q) { return q->head ? q->head->data : NULL; }

static FkConnectionSlot *expired_in(const FkAdmission *g, const GQueue *q, gint64 now_us) {
  FkConnectionSlot *s = oldest(q);
  gint64 most = s ? stage_timeout_us(g, s->stage) : -1;
  return most >= 0 && now_us >= s->since_us + most ? s : NULL;
}

static FkConnectionSlot *expired(const FkAdmission *g, gint64 now_us) {
  FkConnectionSlot *s = NULL;
  for (guint i = 0; i < FK_STAGES && !s; i++)
    s = expired_in(g, &g->stages[i], now_us);
  for (guint i = 0; i < FK_CONNECTION_CLASSES && !s; i++)
    s = expired_in(g, &g->idle[i], now_us);
  return s;
}

/* Of the address with the most connections: who never had an answer, the longest waiting first, then who is
 * idle. So a crowd from one address only ever crowds out itself, and newcomers get a moment to say what they
 * want. */
static FkConnectionSlot *largest_address_victim(const FkAdmission *g) {
  for (guint n = g->by_client_count->len; n-- > 1;)
    for (GList *l = ((GQueue *)g->by_client_count->pdata[n])->head; l; l = l->next) {
      const FkAddressUsage *p = l->data;
      FkConnectionSlot *s = oldest(&p->unanswered);
      s = s ? s : oldest(&p->answered);
      if (s)
        return s;
    }
  return NULL;
}

static FkConnectionSlot *over_limit(const FkAdmission *g) {
  if (g->stages[FK_STAGE_LINGERING].length > g->limits.lingering)
    return oldest(&g->stages[FK_STAGE_LINGERING]);
  for (guint i = 0; i < FK_CONNECTION_CLASSES; i++) {
    if (g->connections[i] <= g->limits.connections[i])
      continue;
    FkConnectionSlot *s = i == FK_CONNECTION_CLASS_CLIENT ? largest_address_victim(g) : oldest(&g->idle[i]);
    if (!s && i == FK_CONNECTION_CLASS_PEER)
      s = oldest(&g->stages[FK_STAGE_CONNECTED]);
    if (s)
      return s;
  }
  return NULL;
}

FkConnectionSlot *fk_admission_next_eviction(FkAdmission *g, gint64 now_us, FkRejection *v) {
  static const FkRejection slow = {408, 0, "the request took too long to come"};
  static const FkRejection full = {503, 1, "too many connections"};
  FkConnectionSlot *s = expired(g, now_us);
  gboolean late = s != NULL;
  if (!s)
    s = over_limit(g);
  if (!s)
    return NULL;
  gboolean speaks = s->stage == FK_STAGE_HEAD || s->stage == FK_STAGE_BODY;
  *v = speaks ? (late ? slow : full) : (FkRejection){0};
  if (s->stage != FK_STAGE_LINGERING)
    fk_admission_reject(g, s, late ? FK_REJECTION_TIMEOUT : FK_REJECTION_EVICTED, now_us);
  if (!speaks)
    fk_admission_connection_closed(g, s);
  return s;
}

gint64 fk_admission_next_deadline_us(const FkAdmission *g) {
  gint64 at = G_MAXINT64;
  for (guint i = 0; i < FK_STAGES + FK_CONNECTION_CLASSES; i++) {
    FkConnectionSlot *s = oldest(i < FK_STAGES ? &g->stages[i] : &g->idle[i - FK_STAGES]);
    if (s && stage_timeout_us(g, s->stage) >= 0)
      at = MIN(at, s->since_us + stage_timeout_us(g, s->stage));
  }
  return at;
}

/* ------------------------------------------------------------------ figures */

guint fk_admission_connections(const FkAdmission *g, FkConnectionClass guest) {
  return g->connections[guest];
}
guint fk_admission_requests(const FkAdmission *g) { return g->requests; }
gsize fk_admission_buffered_bytes(const FkAdmission *g) { return g->buffered; }
guint fk_admission_addresses(const FkAdmission *g) { return g_hash_table_size(g->addresses); }
guint64 fk_admission_rejections(const FkAdmission *g, FkRejectionReason why) { return g->rejections[why]; }
guint64 fk_admission_accepted(const FkAdmission *g) { return g->accepted; }

char *fk_admission_summary(const FkAdmission *g, FkAdmissionCounters *last, gboolean *bad) {
  static const char *const names[FK_REJECTION_REASONS] = {[FK_REJECTION_TIMEOUT] = "too slow",
                                                          [FK_REJECTION_EVICTED] = "closed for others",
                                                          [FK_REJECTION_OVERLOADED] = "too many requests",
                                                          [FK_REJECTION_MEMORY] = "memory",
                                                          [FK_REJECTION_MALFORMED] = "no request",
                                                          [FK_REJECTION_HANDLER_CLOSED] = "sent on and on"};
  const guint *most = g->limits.connections;
  g_autoptr(GString) text = g_string_new("");
  g_string_append_printf(
      text,
      "door: %" G_GUINT64_FORMAT
      " came; open: %u/%u users and unknown, %u/%u workers, %u/%u checks, %u/%u peers, "
      "of %u addresses; %u/%u requests under way, %" G_GSIZE_FORMAT "/%" G_GSIZE_FORMAT " kB held",
      g->accepted - last->accepted, g->connections[0], most[0], g->connections[1], most[1], g->connections[2],
      most[2], g->connections[3], most[3], fk_admission_addresses(g), g->requests, g->limits.requests,
      g->buffered / 1024, g->limits.buffered_bytes / 1024);
  *bad = FALSE;
  for (guint i = 0; i < FK_REJECTION_REASONS; i++) {
    guint64 n = g->rejections[i] - last->rejections[i];
    if (n)
      g_string_append_printf(text, "; %s: %" G_GUINT64_FORMAT, names[i], n);
    *bad |= n && i != FK_REJECTION_TIMEOUT && i != FK_REJECTION_HANDLER_CLOSED;
    last->rejections[i] = g->rejections[i];
  }
  last->accepted = g->accepted;
  return g_string_free(g_steal_pointer(&text), FALSE);
}

void fk_admission_verify(const FkAdmission *g) {
  guint guests[FK_CONNECTION_CLASSES] = {0}, requests = 0, asking = 0, holding = 0, all = 0, largest = 0;
  gsize held = 0;
  for (guint i = 0; i < FK_STAGES + FK_CONNECTION_CLASSES; i++)
    for (GList *l = (i < FK_STAGES ? &g->stages[i] : &g->idle[i - FK_STAGES])->head; l; l = l->next) {
      const FkConnectionSlot *s = l->data, *after = l->next ? l->next->data : NULL;
      g_assert_true(!after || after->since_us >= s->since_us);
      g_assert_true(s->stage == (i < FK_STAGES ? i : FK_STAGE_IDLE));
      guests[s->connection_class] += s->stage != FK_STAGE_LINGERING;
      requests += is_in_progress(s->stage);
      held += s->buffered;
      all++;
    }
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, g->addresses);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const FkAddressUsage *p = v;
    g_assert_cmpuint(p->unanswered.length + p->answered.length, <=, p->clients);
    g_assert_nonnull(g_queue_find(g->by_client_count->pdata[p->clients], p));
    asking += p->requests > 0;
    holding += p->buffered > 0;
    all -= p->connections;
    largest = MAX(largest, p->clients);
  }
  for (guint i = 0; i < FK_CONNECTION_CLASSES; i++)
    g_assert_cmpuint(guests[i], ==, g->connections[i]);
  g_assert_cmpuint(all, ==, 0);
  g_assert_cmpuint(largest, ==, g->by_client_count->len - 1);
  g_assert_cmpuint(requests, ==, g->requests);
  g_assert_cmpuint(asking, ==, g->requesting_addresses);
  g_assert_cmpuint(holding, ==, g->buffering_addresses);
  g_assert_cmpuint(held, ==, g->buffered);
}
