#include "admission/admission.h"

/* While less than this fraction of a capacity is in use, an address may use any part of it. Above this
 * fraction, each address is limited to an equal share. */
#define UNCONTENDED_FRACTION 0.5
/* The fraction of the capacity up to which requests of each class are admitted. From FK_REQUEST_CLASS_CANCEL
 * on, each class has less than the class before it. Health checks are always admitted. */
static const double capacity_fraction[FK_REQUEST_CLASSES] = {
    [FK_REQUEST_CLASS_HEALTH] = 1,    [FK_REQUEST_CLASS_PEER] = 1,    [FK_REQUEST_CLASS_HEARTBEAT] = 1,
    [FK_REQUEST_CLASS_CANCEL] = 0.85, [FK_REQUEST_CLASS_POLL] = 0.75, [FK_REQUEST_CLASS_SUBMIT] = 0.65,
    [FK_REQUEST_CLASS_OTHER] = 0.5};
/* The fraction of the buffer capacity for a request whose head is incomplete. Its class is not known yet: it
 * may be a heartbeat. */
#define HEAD_CAPACITY_FRACTION 0.9

#define REQUEST_RETRY_AFTER_S 2
#define HEARTBEAT_RETRY_AFTER_S 1
#define CONNECTION_RETRY_AFTER_S 1

#define BYTES_PER_KB 1024

struct FkAddressUsage {
  char *address;
  guint connections; /* connections of any class and stage; the structure is freed with the last one */
  guint clients;     /* connections of FK_CONNECTION_CLASS_CLIENT, without the lingering ones */
  guint requests;    /* requests of users in progress, see is_user_request() */
  gsize buffered;    /* bytes buffered for the connections of this address */
  /* Client connections that may be evicted, ordered by the time in their stage, longest first. `unanswered`
   * has those that never had a whole response, `answered` the others. */
  GQueue unanswered, answered;
  GList count_link; /* this structure's link in FkAdmission.by_client_count */
};

struct FkAdmission {
  FkAdmissionLimits limits;
  GHashTable *addresses;      /* maps an address to its FkAddressUsage */
  GPtrArray *by_client_count; /* GQueue of FkAddressUsage, indexed by `clients`; if there are several queues,
                                 the last is not empty */
  GQueue stages[FK_STAGES];   /* FkConnectionSlot, the longest in its stage first; empty for FK_STAGE_IDLE */
  GQueue idle[FK_CONNECTION_CLASSES];       /* FkConnectionSlot in FK_STAGE_IDLE, the longest idle first */
  guint connections[FK_CONNECTION_CLASSES]; /* open connections of each class, except lingering ones */
  guint requests;                           /* requests in progress */
  guint requesting_addresses;               /* addresses with requests of users in progress */
  gsize buffered;                           /* bytes buffered for all connections */
  guint buffering_addresses;                /* addresses with buffered bytes */
  guint64 rejections[FK_REJECTION_REASONS], accepted; /* counters since the start */
};

static void address_usage_free(gpointer data) {
  FkAddressUsage *usage = data;
  g_free(usage->address);
  g_free(usage);
}

FkAdmission *fk_admission_new(const FkAdmissionLimits *limits) {
  FkAdmission *admission = g_new0(FkAdmission, 1);
  admission->limits = *limits;
  admission->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, address_usage_free);
  admission->by_client_count = g_ptr_array_new_with_free_func((GDestroyNotify)g_queue_free);
  g_ptr_array_add(admission->by_client_count, g_queue_new());
  return admission;
}

void fk_admission_free(FkAdmission *admission) {
  if (!admission)
    return;
  g_assert(g_hash_table_size(admission->addresses) == 0);
  g_hash_table_unref(admission->addresses);
  g_ptr_array_unref(admission->by_client_count);
  g_free(admission);
}

const FkAdmissionLimits *fk_admission_limits(const FkAdmission *admission) { return &admission->limits; }

/* ------------------------------------------------------------------ addresses by their connections */

static GQueue *addresses_with_clients(FkAdmission *admission, guint count) {
  while (admission->by_client_count->len <= count)
    g_ptr_array_add(admission->by_client_count, g_queue_new());
  return admission->by_client_count->pdata[count];
}

/* Changes the number of client connections of an address. Removes empty queues at the end of
 * `by_client_count`, so that the last queue has the addresses with the most clients. */
static void add_clients(FkAdmission *admission, FkAddressUsage *usage, int delta) {
  g_queue_unlink(addresses_with_clients(admission, usage->clients), &usage->count_link);
  usage->clients += delta;
  g_queue_push_tail_link(addresses_with_clients(admission, usage->clients), &usage->count_link);
  while (admission->by_client_count->len > 1 &&
         g_queue_is_empty(admission->by_client_count->pdata[admission->by_client_count->len - 1]))
    g_ptr_array_set_size(admission->by_client_count, (gint)admission->by_client_count->len - 1);
}

static void count_connection(FkAdmission *admission, FkConnectionSlot *slot, int delta) {
  admission->connections[slot->connection_class] += delta;
  if (slot->connection_class == FK_CONNECTION_CLASS_CLIENT)
    add_clients(admission, slot->address, delta);
}

/* ------------------------------------------------------------------ stages */

static GQueue *queue_of(FkAdmission *admission, const FkConnectionSlot *slot) {
  return slot->stage == FK_STAGE_IDLE ? &admission->idle[slot->connection_class]
                                      : &admission->stages[slot->stage];
}

static GQueue *evictable_queue(FkConnectionSlot *slot) {
  if (slot->connection_class != FK_CONNECTION_CLASS_CLIENT)
    return NULL;
  switch (slot->stage) {
  case FK_STAGE_CONNECTED:
  case FK_STAGE_HEAD:
  case FK_STAGE_BODY:
    return slot->answered ? &slot->address->answered : &slot->address->unanswered;
  case FK_STAGE_IDLE:
    return &slot->address->answered;
  case FK_STAGE_UNTRACKED:
  case FK_STAGE_HANDLING:
  case FK_STAGE_SENDING:
  case FK_STAGE_LINGERING:
  case FK_STAGES:
    return NULL;
  }
  g_return_val_if_reached(NULL);
}

static gboolean is_in_progress(FkConnectionStage stage) {
  return stage == FK_STAGE_HANDLING || stage == FK_STAGE_SENDING;
}

static gboolean is_user_request(FkRequestClass request_class) {
  return request_class >= FK_REQUEST_CLASS_CANCEL;
}

static void count_request(FkAdmission *admission, FkConnectionSlot *slot, int delta) {
  admission->requests += delta;
  if (!is_user_request(slot->request_class))
    return;
  if (delta > 0 && slot->address->requests == 0)
    admission->requesting_addresses++;
  slot->address->requests += delta;
  if (delta < 0 && slot->address->requests == 0)
    admission->requesting_addresses--;
}

static void unlink_slot(FkAdmission *admission, FkConnectionSlot *slot) {
  g_queue_unlink(queue_of(admission, slot), &slot->stage_link);
  GQueue *eviction_queue = evictable_queue(slot);
  if (eviction_queue)
    g_queue_unlink(eviction_queue, &slot->address_link);
}

static void link_slot(FkAdmission *admission, FkConnectionSlot *slot) {
  g_queue_push_tail_link(queue_of(admission, slot), &slot->stage_link);
  GQueue *eviction_queue = evictable_queue(slot);
  if (eviction_queue)
    g_queue_push_tail_link(eviction_queue, &slot->address_link);
}

/* Moves a slot to another stage; only opening and closing a connection set the stage elsewhere. Lingering
 * connections have a limit of their own: if they counted towards the limits of their class, they would cause
 * evictions of other connections. */
static void set_stage(FkAdmission *admission, FkConnectionSlot *slot, FkConnectionStage to, gint64 now_us) {
  unlink_slot(admission, slot);
  if (to == FK_STAGE_LINGERING && slot->stage != FK_STAGE_LINGERING)
    count_connection(admission, slot, -1);
  if (is_in_progress(slot->stage) != is_in_progress(to))
    count_request(admission, slot, is_in_progress(to) ? 1 : -1);
  slot->stage = to;
  slot->since_us = now_us;
  link_slot(admission, slot);
}

static void set_buffered(FkAdmission *admission, FkConnectionSlot *slot, gsize bytes) {
  FkAddressUsage *usage = slot->address;
  admission->buffered += bytes - slot->buffered;
  gboolean buffered_before = usage->buffered > 0;
  usage->buffered += bytes - slot->buffered;
  slot->buffered = bytes;
  admission->buffering_addresses += (usage->buffered > 0) - buffered_before;
}

/* ------------------------------------------------------------------ connections */

void fk_admission_connection_opened(FkAdmission *admission, FkConnectionSlot *slot, const char *address,
                                    FkConnectionClass connection_class, gint64 now_us) {
  FkAddressUsage *usage = g_hash_table_lookup(admission->addresses, address);
  if (!usage) {
    usage = g_new0(FkAddressUsage, 1);
    usage->address = g_strdup(address);
    usage->count_link.data = usage;
    g_hash_table_insert(admission->addresses, usage->address, usage);
    g_queue_push_tail_link(addresses_with_clients(admission, 0), &usage->count_link);
  }
  usage->connections++;
  admission->accepted++;
  *slot = (FkConnectionSlot){.address = usage,
                             .connection_class = connection_class,
                             .request_class = FK_REQUEST_CLASS_OTHER,
                             .stage = FK_STAGE_CONNECTED,
                             .since_us = now_us};
  slot->stage_link.data = slot->address_link.data = slot;
  count_connection(admission, slot, 1);
  link_slot(admission, slot);
}

void fk_admission_connection_closed(FkAdmission *admission, FkConnectionSlot *slot) {
  if (slot->stage == FK_STAGE_UNTRACKED)
    return;
  FkAddressUsage *usage = slot->address;
  set_buffered(admission, slot, 0);
  unlink_slot(admission, slot);
  if (is_in_progress(slot->stage))
    count_request(admission, slot, -1);
  if (slot->stage != FK_STAGE_LINGERING)
    count_connection(admission, slot, -1);
  if (--usage->connections == 0) {
    g_queue_unlink(addresses_with_clients(admission, usage->clients), &usage->count_link);
    g_hash_table_remove(admission->addresses, usage->address);
  }
  *slot = (FkConnectionSlot){.stage = FK_STAGE_UNTRACKED};
}

void fk_admission_begin_stage(FkAdmission *admission, FkConnectionSlot *slot, FkConnectionStage stage,
                              gint64 now_us) {
  g_return_if_fail(stage == FK_STAGE_HEAD || stage == FK_STAGE_BODY);
  set_stage(admission, slot, stage, now_us);
}

void fk_admission_reject(FkAdmission *admission, FkConnectionSlot *slot, FkRejectionReason reason,
                         gint64 now_us) {
  admission->rejections[reason]++;
  set_buffered(admission, slot, 0);
  set_stage(admission, slot, FK_STAGE_LINGERING, now_us);
}

/* ------------------------------------------------------------------ requests */

static FkConnectionClass class_after_request(FkConnectionClass current_class, FkRequestClass request_class) {
  if (current_class == FK_CONNECTION_CLASS_PEER)
    return current_class; /* peers connect to a separate listener, and keep their class */
  switch (request_class) {
  case FK_REQUEST_CLASS_HEALTH:
    return FK_CONNECTION_CLASS_HEALTH_CHECK;
  case FK_REQUEST_CLASS_HEARTBEAT:
    return FK_CONNECTION_CLASS_WORKER;
  case FK_REQUEST_CLASS_PEER:
  case FK_REQUEST_CLASS_CANCEL:
  case FK_REQUEST_CLASS_POLL:
  case FK_REQUEST_CLASS_SUBMIT:
  case FK_REQUEST_CLASS_OTHER:
  case FK_REQUEST_CLASSES:
    return FK_CONNECTION_CLASS_CLIENT;
  }
  g_return_val_if_reached(FK_CONNECTION_CLASS_CLIENT);
}

/* Returns whether a connection may change to a class. A full class evicts its own idle connections (see
 * choose_over_limit()); a full class without idle connections admits no more. The client class admits any
 * connection. */
static gboolean may_change_to(FkAdmission *admission, FkConnectionClass connection_class) {
  return connection_class == FK_CONNECTION_CLASS_CLIENT ||
         admission->connections[connection_class] < admission->limits.connections[connection_class] ||
         !g_queue_is_empty(&admission->idle[connection_class]);
}

static void change_class(FkAdmission *admission, FkConnectionSlot *slot, FkConnectionClass to) {
  if (slot->connection_class == to || !may_change_to(admission, to))
    return;
  unlink_slot(admission, slot);
  count_connection(admission, slot, -1);
  slot->connection_class = to;
  count_connection(admission, slot, 1);
  link_slot(admission, slot);
}

/* Returns whether an address may use more of a capacity of `max`, of which `used` is in use, `own_use` of it
 * by this address. `sharing` is the number of addresses that share the capacity, including this one. */
static gboolean has_capacity(double used, double own_use, guint sharing, double max) {
  return used < max && (used < UNCONTENDED_FRACTION * max || own_use < max / MAX(1, sharing));
}

gboolean fk_admission_admit_request(FkAdmission *admission, FkConnectionSlot *slot,
                                    FkRequestClass request_class, gint64 now_us, FkRejection *rejection) {
  slot->request_class = request_class;
  double max = capacity_fraction[request_class] * admission->limits.requests;
  const FkAddressUsage *usage = slot->address;
  gboolean by_user = is_user_request(request_class);
  guint sharing = admission->requesting_addresses + (usage->requests == 0);
  /* a health check is cheap, and its response tells the sender whether to send more requests here */
  if (request_class == FK_REQUEST_CLASS_HEALTH ||
      (by_user ? has_capacity(admission->requests, usage->requests, sharing, max)
               : admission->requests < max))
    return TRUE;
  *rejection = (FkRejection){.status = 503,
                             .retry_after_s = by_user ? REQUEST_RETRY_AFTER_S : HEARTBEAT_RETRY_AFTER_S,
                             .reason = "too many requests are under way"};
  fk_admission_reject(admission, slot, FK_REJECTION_OVERLOADED, now_us);
  return FALSE;
}

void fk_admission_request_complete(FkAdmission *admission, FkConnectionSlot *slot, gint64 now_us) {
  change_class(admission, slot, class_after_request(slot->connection_class, slot->request_class));
  set_stage(admission, slot, FK_STAGE_HANDLING, now_us);
}

void fk_admission_response_written(FkAdmission *admission, FkConnectionSlot *slot, gboolean all,
                                   gint64 now_us) {
  FkConnectionStage to = all ? FK_STAGE_IDLE : FK_STAGE_SENDING;
  if (slot->stage == to)
    return; /* the timeout for sending covers the whole response, so it is not restarted */
  unlink_slot(admission, slot);
  slot->answered |= all;
  link_slot(admission, slot);
  set_stage(admission, slot, to, now_us);
}

gboolean fk_admission_set_buffered(FkAdmission *admission, FkConnectionSlot *slot, gsize bytes,
                                   FkRejection *rejection) {
  gboolean more = bytes > slot->buffered;
  gboolean head =
      slot->stage == FK_STAGE_HEAD || slot->stage == FK_STAGE_CONNECTED || slot->stage == FK_STAGE_IDLE;
  FkRequestClass request_class = slot->request_class;
  double max = (head ? HEAD_CAPACITY_FRACTION : capacity_fraction[request_class]) *
               (double)admission->limits.buffered_bytes;
  guint sharing = admission->buffering_addresses + (slot->address->buffered == 0);
  set_buffered(admission, slot, bytes);
  /* Only growth is rejected. A handler is never interrupted, and a timeout bounds the sending of its
   * response. A health check is never rejected. */
  if (!more || is_in_progress(slot->stage) || (!head && request_class == FK_REQUEST_CLASS_HEALTH))
    return TRUE;
  gboolean by_user = head || is_user_request(request_class);
  if (by_user ? has_capacity((double)admission->buffered, (double)slot->address->buffered, sharing, max)
              : (double)admission->buffered < max)
    return TRUE;
  *rejection = (FkRejection){.status = 503,
                             .retry_after_s = REQUEST_RETRY_AFTER_S,
                             .reason = "too much is held for requests under way"};
  return FALSE;
}

/* ------------------------------------------------------------------ evictions */

/* Returns the time limit of a stage; -1 if it has none. */
static gint64 stage_timeout_us(const FkAdmission *admission, FkConnectionStage stage) {
  switch (stage) {
  case FK_STAGE_CONNECTED:
    return admission->limits.first_byte_us;
  case FK_STAGE_HEAD:
    return admission->limits.head_us;
  case FK_STAGE_BODY:
    return admission->limits.body_us;
  case FK_STAGE_SENDING:
    return admission->limits.send_us;
  case FK_STAGE_IDLE:
    return admission->limits.idle_us;
  case FK_STAGE_LINGERING:
    return admission->limits.linger_us;
  case FK_STAGE_HANDLING: /* the handler has its own deadlines */
  case FK_STAGE_UNTRACKED:
  case FK_STAGES:
    return -1;
  }
  g_return_val_if_reached(-1);
}

static FkConnectionSlot *oldest(const GQueue *queue) { return queue->head ? queue->head->data : NULL; }

static FkConnectionSlot *expired_in(const FkAdmission *admission, const GQueue *queue, gint64 now_us) {
  FkConnectionSlot *slot = oldest(queue);
  gint64 timeout_us = slot ? stage_timeout_us(admission, slot->stage) : -1;
  return timeout_us >= 0 && now_us >= slot->since_us + timeout_us ? slot : NULL;
}

static FkConnectionSlot *choose_expired(const FkAdmission *admission, gint64 now_us) {
  FkConnectionSlot *slot = NULL;
  for (guint i = 0; i < FK_STAGES && !slot; i++)
    slot = expired_in(admission, &admission->stages[i], now_us);
  for (guint i = 0; i < FK_CONNECTION_CLASSES && !slot; i++)
    slot = expired_in(admission, &admission->idle[i], now_us);
  return slot;
}

/* Returns a client connection to evict: of the address with the most client connections, among the addresses
 * that have an evictable one. Prefers connections that never had a whole response, and of these the longest
 * in its stage. A flood from one address thus evicts its own connections, and new connections have some time
 * to send a request. Returns NULL if no client connection may be evicted. */
static FkConnectionSlot *choose_of_largest_address(const FkAdmission *admission) {
  for (guint count = admission->by_client_count->len; count-- > 1;)
    for (GList *l = ((GQueue *)admission->by_client_count->pdata[count])->head; l; l = l->next) {
      const FkAddressUsage *usage = l->data;
      FkConnectionSlot *slot = oldest(&usage->unanswered);
      if (!slot)
        slot = oldest(&usage->answered);
      if (slot)
        return slot;
    }
  return NULL;
}

/* Returns a connection to close because a limit is exceeded; NULL if none is exceeded, or none may be closed.
 */
static FkConnectionSlot *choose_over_limit(const FkAdmission *admission) {
  if (admission->stages[FK_STAGE_LINGERING].length > admission->limits.lingering)
    return oldest(&admission->stages[FK_STAGE_LINGERING]);
  for (guint i = 0; i < FK_CONNECTION_CLASSES; i++) {
    if (admission->connections[i] <= admission->limits.connections[i])
      continue;
    FkConnectionSlot *slot =
        i == FK_CONNECTION_CLASS_CLIENT ? choose_of_largest_address(admission) : oldest(&admission->idle[i]);
    if (!slot && i == FK_CONNECTION_CLASS_PEER)
      slot = oldest(&admission->stages[FK_STAGE_CONNECTED]);
    if (slot)
      return slot;
  }
  return NULL;
}

FkConnectionSlot *fk_admission_next_eviction(FkAdmission *admission, gint64 now_us, FkRejection *rejection) {
  static const FkRejection timeout = {408, 0, "the request took too long to come"};
  static const FkRejection evicted = {503, CONNECTION_RETRY_AFTER_S, "too many connections"};
  FkConnectionSlot *slot = choose_expired(admission, now_us);
  gboolean is_late = slot != NULL;
  if (!slot)
    slot = choose_over_limit(admission);
  if (!slot)
    return NULL;
  gboolean in_request = slot->stage == FK_STAGE_HEAD || slot->stage == FK_STAGE_BODY;
  *rejection = in_request ? (is_late ? timeout : evicted) : (FkRejection){0};
  if (slot->stage != FK_STAGE_LINGERING)
    fk_admission_reject(admission, slot, is_late ? FK_REJECTION_TIMEOUT : FK_REJECTION_EVICTED, now_us);
  if (!in_request)
    fk_admission_connection_closed(admission, slot);
  return slot;
}

gint64 fk_admission_next_deadline_us(const FkAdmission *admission) {
  gint64 deadline_us = G_MAXINT64;
  for (guint i = 0; i < FK_STAGES + FK_CONNECTION_CLASSES; i++) {
    FkConnectionSlot *slot = oldest(i < FK_STAGES ? &admission->stages[i] : &admission->idle[i - FK_STAGES]);
    if (slot && stage_timeout_us(admission, slot->stage) >= 0)
      deadline_us = MIN(deadline_us, slot->since_us + stage_timeout_us(admission, slot->stage));
  }
  return deadline_us;
}

/* ------------------------------------------------------------------ metrics */

guint fk_admission_connections(const FkAdmission *admission, FkConnectionClass connection_class) {
  return admission->connections[connection_class];
}
guint fk_admission_requests(const FkAdmission *admission) { return admission->requests; }
gsize fk_admission_buffered_bytes(const FkAdmission *admission) { return admission->buffered; }
guint fk_admission_addresses(const FkAdmission *admission) { return g_hash_table_size(admission->addresses); }
guint64 fk_admission_rejections(const FkAdmission *admission, FkRejectionReason reason) {
  return admission->rejections[reason];
}
guint64 fk_admission_accepted(const FkAdmission *admission) { return admission->accepted; }

char *fk_admission_summary(const FkAdmission *admission, FkAdmissionCounters *last,
                           gboolean *has_rejections) {
  static const char *const keys[FK_REJECTION_REASONS] = {
      [FK_REJECTION_TIMEOUT] = "timeout",       [FK_REJECTION_EVICTED] = "evicted",
      [FK_REJECTION_OVERLOADED] = "overloaded", [FK_REJECTION_MEMORY] = "memory",
      [FK_REJECTION_MALFORMED] = "malformed",   [FK_REJECTION_HANDLER_CLOSED] = "handler_closed"};
  static const char *const class_keys[FK_CONNECTION_CLASSES] = {[FK_CONNECTION_CLASS_CLIENT] = "clients",
                                                                [FK_CONNECTION_CLASS_WORKER] = "workers",
                                                                [FK_CONNECTION_CLASS_HEALTH_CHECK] =
                                                                    "health_checks",
                                                                [FK_CONNECTION_CLASS_PEER] = "peers"};
  const FkAdmissionLimits *limits = &admission->limits;
  GString *text = g_string_new("");
  g_string_append_printf(text, "admission accepted=%" G_GUINT64_FORMAT, admission->accepted - last->accepted);
  for (guint i = 0; i < FK_CONNECTION_CLASSES; i++)
    g_string_append_printf(text, " %s=%u/%u", class_keys[i], admission->connections[i],
                           limits->connections[i]);
  g_string_append_printf(text,
                         " addresses=%u requests=%u/%u buffered_kb=%" G_GSIZE_FORMAT "/%" G_GSIZE_FORMAT,
                         fk_admission_addresses(admission), admission->requests, limits->requests,
                         admission->buffered / BYTES_PER_KB, limits->buffered_bytes / BYTES_PER_KB);
  *has_rejections = FALSE;
  for (guint i = 0; i < FK_REJECTION_REASONS; i++) {
    guint64 count = admission->rejections[i] - last->rejections[i];
    if (count)
      g_string_append_printf(text, " %s=%" G_GUINT64_FORMAT, keys[i], count);
    *has_rejections |= count && i != FK_REJECTION_TIMEOUT && i != FK_REJECTION_HANDLER_CLOSED;
    last->rejections[i] = admission->rejections[i];
  }
  last->accepted = admission->accepted;
  return g_string_free(text, FALSE);
}

/* ------------------------------------------------------------------ self-check */

/* Expected counts, summed over all slots. */
typedef struct {
  guint by_class[FK_CONNECTION_CLASSES], connections, requests;
  gsize buffered;
} SlotTotals;

static void add_queue_totals(SlotTotals *totals, const GQueue *queue, FkConnectionStage stage) {
  for (GList *l = queue->head; l; l = l->next) {
    const FkConnectionSlot *slot = l->data, *next = l->next ? l->next->data : NULL;
    g_assert_true(!next || next->since_us >= slot->since_us);
    g_assert_true(slot->stage == stage);
    totals->by_class[slot->connection_class] += stage != FK_STAGE_LINGERING;
    totals->requests += is_in_progress(stage);
    totals->buffered += slot->buffered;
    totals->connections++;
  }
}

static void verify_slots(const FkAdmission *admission, SlotTotals *totals) {
  for (guint i = 0; i < FK_STAGES; i++)
    add_queue_totals(totals, &admission->stages[i], i);
  for (guint i = 0; i < FK_CONNECTION_CLASSES; i++)
    add_queue_totals(totals, &admission->idle[i], FK_STAGE_IDLE);
  for (guint i = 0; i < FK_CONNECTION_CLASSES; i++)
    g_assert_cmpuint(totals->by_class[i], ==, admission->connections[i]);
  g_assert_cmpuint(totals->requests, ==, admission->requests);
  g_assert_cmpuint(totals->buffered, ==, admission->buffered);
}

static void verify_addresses(const FkAdmission *admission, const SlotTotals *totals) {
  guint requesting = 0, buffering = 0, connections = 0, largest = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, admission->addresses);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkAddressUsage *usage = value;
    g_assert_cmpuint(usage->unanswered.length + usage->answered.length, <=, usage->clients);
    g_assert_nonnull(g_queue_find(admission->by_client_count->pdata[usage->clients], usage));
    requesting += usage->requests > 0;
    buffering += usage->buffered > 0;
    connections += usage->connections;
    largest = MAX(largest, usage->clients);
  }
  g_assert_cmpuint(connections, ==, totals->connections);
  g_assert_cmpuint(largest, ==, admission->by_client_count->len - 1);
  g_assert_cmpuint(requesting, ==, admission->requesting_addresses);
  g_assert_cmpuint(buffering, ==, admission->buffering_addresses);
}

void fk_admission_verify(const FkAdmission *admission) {
  SlotTotals totals = {0};
  verify_slots(admission, &totals);
  verify_addresses(admission, &totals);
}
