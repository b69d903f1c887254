#include "admission/admission.h"

/* Requests come seldom in the usual course; past this part of the room, each address has only an equal part.
 */
#define FREE_PART 0.5
/* The part of the room that each kind of request may fill: the later in the order, the less. */
static const double part_of[FK_ASKS] = {
    [FK_ASK_HEALTH] = 1,  [FK_ASK_PEER] = 1,      [FK_ASK_REPORT] = 1, [FK_ASK_CANCEL] = 0.85,
    [FK_ASK_POLL] = 0.75, [FK_ASK_SUBMIT] = 0.65, [FK_ASK_OTHER] = 0.5};
#define HEAD_PART 0.9 /* a head that isn't complete may yet be a report's */

struct FkParty {
  char *address;
  guint outsiders;         /* connections; the place in FkGate.crowds */
  guint requests;          /* users' requests under way */
  gsize held;              /* bytes of outsiders' requests */
  guint all;               /* connections of any kind: the party lives as long */
  GQueue unproven, proven; /* outsiders that can be closed, the longest waiting first: never answered, idle */
  GList by_crowd;
};

struct FkGate {
  FkDoorLimits limits;
  GHashTable *parties; /* address -> FkParty */
  GPtrArray *crowds;   /* GQueue of FkParty by the number of their outsiders: the largest crowd is the last */
  GQueue stages[FK_STAGES]; /* FkSlot, the longest in its stage first; IDLE: see idle */
  GQueue idle[FK_GUESTS];
  guint guests[FK_GUESTS];
  guint requests, asking; /* under way; parties that have users' requests under way */
  gsize held;
  guint holding; /* parties that hold bytes */
  guint64 shut[FK_SHUTS], entered;
};

static void party_free(gpointer p) {
  FkParty *party = p;
  g_free(party->address);
  g_free(party);
}

FkGate *fk_gate_new(const FkDoorLimits *limits) {
  FkGate *g = g_new0(FkGate, 1);
  g->limits = *limits;
  g->parties = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, party_free);
  g->crowds = g_ptr_array_new_with_free_func((GDestroyNotify)g_queue_free);
  g_ptr_array_add(g->crowds, g_queue_new());
  return g;
}

void fk_gate_free(FkGate *g) {
  if (!g)
    return;
  g_assert(g_hash_table_size(g->parties) == 0);
  g_hash_table_unref(g->parties);
  g_ptr_array_unref(g->crowds);
  g_free(g);
}

const FkDoorLimits *fk_gate_limits(const FkGate *g) { return &g->limits; }

/* ------------------------------------------------------------------ crowds */

static GQueue *crowd(FkGate *g, guint n) {
  while (g->crowds->len <= n)
    g_ptr_array_add(g->crowds, g_queue_new());
  return g->crowds->pdata[n];
}

/* One more or one less: the largest crowd is always the last but for empty ones, found without a search. */
static void resize(FkGate *g, FkParty *p, int by) {
  g_queue_unlink(crowd(g, p->outsiders), &p->by_crowd);
  p->outsiders += by;
  g_queue_push_tail_link(crowd(g, p->outsiders), &p->by_crowd);
  while (g->crowds->len > 1 && g_queue_is_empty(g->crowds->pdata[g->crowds->len - 1]))
    g_ptr_array_set_size(g->crowds, (gint)g->crowds->len - 1);
}

static void count_guest(FkGate *g, FkSlot *s, int by) {
  g->guests[s->guest] += by;
  if (s->guest == FK_GUEST_OUTSIDER)
    resize(g, s->party, by);
}

/* ------------------------------------------------------------------ stages */

static GQueue *queue_of(FkGate *g, const FkSlot *s) {
  return s->stage == FK_STAGE_IDLE ? &g->idle[s->guest] : &g->stages[s->stage];
}

static GQueue *victims_of(FkSlot *s) {
  if (s->guest != FK_GUEST_OUTSIDER)
    return NULL;
  switch (s->stage) {
  case FK_STAGE_FRESH:
  case FK_STAGE_HEAD:
  case FK_STAGE_BODY:
    return s->proven ? &s->party->proven : &s->party->unproven;
  case FK_STAGE_IDLE:
    return &s->party->proven;
  default:
    return NULL;
  }
}

static gboolean under_way(FkStage stage) { return stage == FK_STAGE_SERVED || stage == FK_STAGE_SEND; }

static gboolean users_ask(FkAsk ask) { return ask >= FK_ASK_CANCEL; }

static void count_request(FkGate *g, FkSlot *s, int by) {
  g->requests += by;
  if (!users_ask(s->ask))
    return;
  if (by > 0 && s->party->requests == 0)
    g->asking++;
  s->party->requests += by;
  if (by < 0 && s->party->requests == 0)
    g->asking--;
}

static void unlink_slot(FkGate *g, FkSlot *s) {
  g_queue_unlink(queue_of(g, s), &s->by_stage);
  GQueue *victims = victims_of(s);
  if (victims)
    g_queue_unlink(victims, &s->by_party);
}

static void link_slot(FkGate *g, FkSlot *s) {
  g_queue_push_tail_link(queue_of(g, s), &s->by_stage);
  GQueue *victims = victims_of(s);
  if (victims)
    g_queue_push_tail_link(victims, &s->by_party);
}

/* The one place where a slot changes its stage. What is ending has a room of its own (`endings`): counted
 * with the others it would crowd them out one by one. */
static void move(FkGate *g, FkSlot *s, FkStage to, gint64 now_us) {
  unlink_slot(g, s);
  if (to == FK_STAGE_ENDING && s->stage != FK_STAGE_ENDING)
    count_guest(g, s, -1);
  if (under_way(s->stage) != under_way(to))
    count_request(g, s, under_way(to) ? 1 : -1);
  s->stage = to;
  s->since_us = now_us;
  link_slot(g, s);
}

static void set_held(FkGate *g, FkSlot *s, gsize bytes) {
  FkParty *p = s->party;
  g->held += bytes - s->held;
  gboolean did = p->held > 0;
  p->held += bytes - s->held;
  s->held = bytes;
  g->holding += (p->held > 0) - did;
}

/* ------------------------------------------------------------------ coming and going */

void fk_gate_enter(FkGate *g, FkSlot *s, const char *address, FkGuest guest, gint64 now_us) {
  FkParty *p = g_hash_table_lookup(g->parties, address);
  if (!p) {
    p = g_new0(FkParty, 1);
    p->address = g_strdup(address);
    p->by_crowd.data = p;
    g_hash_table_insert(g->parties, p->address, p);
    g_queue_push_tail_link(crowd(g, 0), &p->by_crowd);
  }
  p->all++;
  g->entered++;
  *s = (FkSlot){.party = p, .guest = guest, .ask = FK_ASK_OTHER, .stage = FK_STAGE_FRESH, .since_us = now_us};
  s->by_stage.data = s->by_party.data = s;
  count_guest(g, s, 1);
  link_slot(g, s);
}

void fk_gate_leave(FkGate *g, FkSlot *s) {
  if (s->stage == FK_STAGE_OUT)
    return;
  FkParty *p = s->party;
  set_held(g, s, 0);
  unlink_slot(g, s);
  if (under_way(s->stage))
    count_request(g, s, -1);
  if (s->stage != FK_STAGE_ENDING)
    count_guest(g, s, -1);
  if (--p->all == 0) {
    g_queue_unlink(crowd(g, p->outsiders), &p->by_crowd);
    g_hash_table_remove(g->parties, p->address);
  }
  *s = (FkSlot){.stage = FK_STAGE_OUT};
}

void fk_gate_begins(FkGate *g, FkSlot *s, FkStage stage, gint64 now_us) {
  g_return_if_fail(stage == FK_STAGE_HEAD || stage == FK_STAGE_BODY);
  move(g, s, stage, now_us);
}

void fk_gate_ends(FkGate *g, FkSlot *s, FkShut why, gint64 now_us) {
  g->shut[why]++;
  set_held(g, s, 0);
  move(g, s, FK_STAGE_ENDING, now_us);
}

/* ------------------------------------------------------------------ requests */

static FkGuest guest_of(FkGuest was, FkAsk ask) {
  if (was == FK_GUEST_PEER)
    return was; /* another listener */
  switch (ask) {
  case FK_ASK_HEALTH:
    return FK_GUEST_CHECKER;
  case FK_ASK_REPORT:
    return FK_GUEST_REPORTER;
  default:
    return FK_GUEST_OUTSIDER;
  }
}

/* A kind that is full closes its own idle ones (see next()); with none of those it takes no more, and who
 * came stays an outsider. */
static void change_guest(FkGate *g, FkSlot *s, FkGuest to) {
  if (s->guest == to ||
      (to != FK_GUEST_OUTSIDER && g->guests[to] >= g->limits.guests[to] && g_queue_is_empty(&g->idle[to])))
    return;
  unlink_slot(g, s);
  count_guest(g, s, -1);
  s->guest = to;
  count_guest(g, s, 1);
  link_slot(g, s);
}

/* Whether one more fits: `have` of `most` are used, `own` of them by this address, `sharing` have some. */
static gboolean fits(double have, double own, guint sharing, double most) {
  return have < most && (have < FREE_PART * most || own < most / MAX(1, sharing));
}

gboolean fk_gate_asks(FkGate *g, FkSlot *s, FkAsk ask, gint64 now_us, FkVerdict *v) {
  s->ask = ask;
  double most = part_of[ask] * g->limits.requests;
  const FkParty *p = s->party;
  /* the answer to a health check needs nobody else, and says whether there is any use in coming */
  if (ask == FK_ASK_HEALTH ||
      (users_ask(ask) ? fits(g->requests, p->requests, g->asking + (p->requests == 0), most)
                      : g->requests < most))
    return TRUE;
  *v = (FkVerdict){503, users_ask(ask) ? 2 : 1, "too many requests are under way"};
  fk_gate_ends(g, s, FK_SHUT_BUSY, now_us);
  return FALSE;
}

void fk_gate_served(FkGate *g, FkSlot *s, gint64 now_us) {
  change_guest(g, s, guest_of(s->guest, s->ask));
  move(g, s, FK_STAGE_SERVED, now_us);
}

void fk_gate_answered(FkGate *g, FkSlot *s, gboolean all, gint64 now_us) {
  FkStage to = all ? FK_STAGE_IDLE : FK_STAGE_SEND;
  if (s->stage == to)
    return; /* the time to take an answer is one for all of it */
  unlink_slot(g, s);
  s->proven |= all;
  link_slot(g, s);
  move(g, s, to, now_us);
}

gboolean fk_gate_holds(FkGate *g, FkSlot *s, gsize bytes, FkVerdict *v) {
  gboolean more = bytes > s->held;
  gboolean head = s->stage == FK_STAGE_HEAD || s->stage == FK_STAGE_FRESH || s->stage == FK_STAGE_IDLE;
  FkAsk ask = s->ask;
  double most = (head ? HEAD_PART : part_of[ask]) * (double)g->limits.held;
  guint sharing = g->holding + (s->party->held == 0);
  set_held(g, s, bytes);
  /* what is answered already is given the time to go out; a request's handler is never stopped half-way */
  if (!more || under_way(s->stage) || (!head && ask == FK_ASK_HEALTH))
    return TRUE;
  gboolean users = head || users_ask(ask);
  if (users ? fits((double)g->held, (double)s->party->held, sharing, most) : (double)g->held < most)
    return TRUE;
  *v = (FkVerdict){503, 2, "too much is held for requests under way"};
  return FALSE;
}

/* ------------------------------------------------------------------ who must go */

static gint64 time_for(const FkGate *g, FkStage stage) {
  switch (stage) {
  case FK_STAGE_FRESH:
    return g->limits.fresh_us;
  case FK_STAGE_HEAD:
    return g->limits.head_us;
  case FK_STAGE_BODY:
    return g->limits.body_us;
  case FK_STAGE_SEND:
    return g->limits.send_us;
  case FK_STAGE_IDLE:
    return g->limits.idle_us;
  case FK_STAGE_ENDING:
    return g->limits.linger_us;
  default:
    return -1; /* under way: the core's own deadlines */
  }
}

static FkSlot *first(const GQueue *q) { return q->head ? q->head->data : NULL; }

static FkSlot *overdue_in(const FkGate *g, const GQueue *q, gint64 now_us) {
  FkSlot *s = first(q);
  gint64 most = s ? time_for(g, s->stage) : -1;
  return most >= 0 && now_us >= s->since_us + most ? s : NULL;
}

static FkSlot *overdue(const FkGate *g, gint64 now_us) {
  FkSlot *s = NULL;
  for (guint i = 0; i < FK_STAGES && !s; i++)
    s = overdue_in(g, &g->stages[i], now_us);
  for (guint i = 0; i < FK_GUESTS && !s; i++)
    s = overdue_in(g, &g->idle[i], now_us);
  return s;
}

/* Of the address with the most connections: who never had an answer, the longest waiting first, then who is
 * idle. So a crowd from one address only ever crowds out itself, and newcomers get a moment to say what they
 * want. */
static FkSlot *crowded_out(const FkGate *g) {
  for (guint n = g->crowds->len; n-- > 1;)
    for (GList *l = ((GQueue *)g->crowds->pdata[n])->head; l; l = l->next) {
      const FkParty *p = l->data;
      FkSlot *s = first(&p->unproven);
      s = s ? s : first(&p->proven);
      if (s)
        return s;
    }
  return NULL;
}

static FkSlot *too_many(const FkGate *g) {
  if (g->stages[FK_STAGE_ENDING].length > g->limits.endings)
    return first(&g->stages[FK_STAGE_ENDING]);
  for (guint i = 0; i < FK_GUESTS; i++) {
    if (g->guests[i] <= g->limits.guests[i])
      continue;
    FkSlot *s = i == FK_GUEST_OUTSIDER ? crowded_out(g) : first(&g->idle[i]);
    if (!s && i == FK_GUEST_PEER)
      s = first(&g->stages[FK_STAGE_FRESH]);
    if (s)
      return s;
  }
  return NULL;
}

FkSlot *fk_gate_next(FkGate *g, gint64 now_us, FkVerdict *v) {
  static const FkVerdict slow = {408, 0, "the request took too long to come"};
  static const FkVerdict full = {503, 1, "too many connections"};
  FkSlot *s = overdue(g, now_us);
  gboolean late = s != NULL;
  if (!s)
    s = too_many(g);
  if (!s)
    return NULL;
  gboolean speaks = s->stage == FK_STAGE_HEAD || s->stage == FK_STAGE_BODY;
  *v = speaks ? (late ? slow : full) : (FkVerdict){0};
  if (s->stage != FK_STAGE_ENDING)
    fk_gate_ends(g, s, late ? FK_SHUT_TIME : FK_SHUT_CROWD, now_us);
  if (!speaks)
    fk_gate_leave(g, s);
  return s;
}

gint64 fk_gate_wakes(const FkGate *g) {
  gint64 at = G_MAXINT64;
  for (guint i = 0; i < FK_STAGES + FK_GUESTS; i++) {
    FkSlot *s = first(i < FK_STAGES ? &g->stages[i] : &g->idle[i - FK_STAGES]);
    if (s && time_for(g, s->stage) >= 0)
      at = MIN(at, s->since_us + time_for(g, s->stage));
  }
  return at;
}

/* ------------------------------------------------------------------ figures */

guint fk_gate_connections(const FkGate *g, FkGuest guest) { return g->guests[guest]; }
guint fk_gate_requests(const FkGate *g) { return g->requests; }
gsize fk_gate_held(const FkGate *g) { return g->held; }
guint fk_gate_parties(const FkGate *g) { return g_hash_table_size(g->parties); }
guint64 fk_gate_shut(const FkGate *g, FkShut why) { return g->shut[why]; }
guint64 fk_gate_entered(const FkGate *g) { return g->entered; }

char *fk_gate_words(const FkGate *g, FkGateTally *last, gboolean *bad) {
  static const char *const names[FK_SHUTS] = {
      [FK_SHUT_TIME] = "too slow",          [FK_SHUT_CROWD] = "closed for others",
      [FK_SHUT_BUSY] = "too many requests", [FK_SHUT_MEMORY] = "memory",
      [FK_SHUT_BAD] = "no request",         [FK_SHUT_DONE] = "sent on and on"};
  const guint *most = g->limits.guests;
  g_autoptr(GString) text = g_string_new("");
  g_string_append_printf(text,
                         "door: %" G_GUINT64_FORMAT
                         " came; open: %u/%u users and unknown, %u/%u workers, %u/%u checks, %u/%u peers, "
                         "of %u addresses; %u/%u requests under way, %" G_GSIZE_FORMAT "/%" G_GSIZE_FORMAT
                         " kB held",
                         g->entered - last->entered, g->guests[0], most[0], g->guests[1], most[1],
                         g->guests[2], most[2], g->guests[3], most[3], fk_gate_parties(g), g->requests,
                         g->limits.requests, g->held / 1024, g->limits.held / 1024);
  *bad = FALSE;
  for (guint i = 0; i < FK_SHUTS; i++) {
    guint64 n = g->shut[i] - last->shut[i];
    if (n)
      g_string_append_printf(text, "; %s: %" G_GUINT64_FORMAT, names[i], n);
    *bad |= n && i != FK_SHUT_TIME && i != FK_SHUT_DONE;
    last->shut[i] = g->shut[i];
  }
  last->entered = g->entered;
  return g_string_free(g_steal_pointer(&text), FALSE);
}

void fk_gate_check(const FkGate *g) {
  guint guests[FK_GUESTS] = {0}, requests = 0, asking = 0, holding = 0, all = 0, largest = 0;
  gsize held = 0;
  for (guint i = 0; i < FK_STAGES + FK_GUESTS; i++)
    for (GList *l = (i < FK_STAGES ? &g->stages[i] : &g->idle[i - FK_STAGES])->head; l; l = l->next) {
      const FkSlot *s = l->data, *after = l->next ? l->next->data : NULL;
      g_assert_true(!after || after->since_us >= s->since_us);
      g_assert_true(s->stage == (i < FK_STAGES ? i : FK_STAGE_IDLE));
      guests[s->guest] += s->stage != FK_STAGE_ENDING;
      requests += under_way(s->stage);
      held += s->held;
      all++;
    }
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, g->parties);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const FkParty *p = v;
    g_assert_cmpuint(p->unproven.length + p->proven.length, <=, p->outsiders);
    g_assert_nonnull(g_queue_find(g->crowds->pdata[p->outsiders], p));
    asking += p->requests > 0;
    holding += p->held > 0;
    all -= p->all;
    largest = MAX(largest, p->outsiders);
  }
  for (guint i = 0; i < FK_GUESTS; i++)
    g_assert_cmpuint(guests[i], ==, g->guests[i]);
  g_assert_cmpuint(all, ==, 0);
  g_assert_cmpuint(largest, ==, g->crowds->len - 1);
  g_assert_cmpuint(requests, ==, g->requests);
  g_assert_cmpuint(asking, ==, g->asking);
  g_assert_cmpuint(holding, ==, g->holding);
  g_assert_cmpuint(held, ==, g->held);
}
