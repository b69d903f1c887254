#include "daemon/daemon.h"

#include <string.h>
#include <sys/resource.h>

#include "admission/dependency_health.h"
#include "daemon/process_metrics.h"
#include "daemon/rate_limiter.h"
#include "net/http_client.h"
#include "net/soup_listener.h"
#include "wire/cloud.h"
#include "wire/route.h"
#include "wire/store.h"
#include "wire/user.h"
#include "wire/worker.h"

#define TICK_MS 100
#define STORE_DEADLINE_S 2.0
#define AGAIN_MAX 6    /* times that a request over the store's budget is sent again */
#define OVER_KEPT 0.98 /* a tick: half of them are forgotten after 3.4 s */
#define OVER_MANY 6    /* of a controller that keeps to its share: the limits have changed */
#define NEXT_S 60      /* and are looked at again after this */
#define LEND 1.2 /* a controller may use somewhat more than its share: not all need theirs at once ... */
#define LEND_WRITES 1.0 /* ... but what users wait for must find room */

struct FkShell {
  const FkSettings *settings;
  FkController *core;
  FkDoor *door;
  SoupServer *server, *mesh; /* they listen nowhere: the door hands them what is complete */
  FkReach *reach;
  guint reach_store, reach_cloud;
  GHashTable *reach_peers; /* name -> number */
  FkGateTally door_tally;
  gint64 door_said; /* us */
  FkHttp *store, *workers, *cloud, *peers;
  FkBudget *store_budget, *cloud_budget;
  double over;          /* transactions that the store refused as over its rate, lately */
  gint64 next_until;    /* until then its rates are taken to be those to come */
  GHashTable *requests; /* number -> SoupServerMessage: those that wait */
  guint64 next_request;
  SoupServerMessage *fresh; /* the request in the handler now, not answered yet; its number is next_request */
  guint tick;
  gint64 last_tick;
  FkVitals *vitals;
  gboolean draining;
  char *state_addr, *cloud_addr;
};

static FkTime now(void) { return (FkTime){g_get_monotonic_time()}; }

static void drain(FkShell *s);

/* Processor time from here on is charged to that purpose; end() takes back what begin() returned. */
static FkCost begin(FkShell *s, FkCost what) { return fk_meter_enter(fk_controller_meter(s->core), what); }
static void end(FkShell *s, FkCost before) { fk_meter_leave(fk_controller_meter(s->core), before); }

/* ------------------------------------------------------------------ answers */

static void respond(SoupServerMessage *msg, guint status, char *body /* taken */, double retry_s) {
  if (retry_s > 0 && status >= 429) {
    g_autofree char *after = g_strdup_printf("%d", (int)MAX(1, retry_s));
    soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Retry-After", after);
  }
  soup_server_message_set_status(msg, status, NULL);
  soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE, body, strlen(body));
}

static void answer(FkShell *s, const FkOut *o) {
  gboolean fresh = s->fresh && o->request.n == s->next_request;
  SoupServerMessage *msg = fresh ? s->fresh : g_hash_table_lookup(s->requests, &o->request.n);
  if (!msg)
    return; /* whoever asked has gone */
  respond(msg, (guint)o->status, o->kind == FK_OUT_REPLY ? fk_worker_print_reply(o) : fk_user_print_answer(o),
          o->retry_s);
  /* Workers come seldom, and are many: their connections would only make every turn of the main loop longer.
   */
  if (o->kind == FK_OUT_REPLY)
    soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Connection", "close");
  if (fresh) {
    s->fresh = NULL;
    return;
  }
  soup_server_message_unpause(msg);
  g_hash_table_remove(s->requests, &o->request.n);
}

/* ------------------------------------------------------------------ the store */

typedef struct {
  FkShell *shell;
  FkOut *out;
  FkTime sent;
} Sent;

static FkOutcome outcome(guint status) {
  switch (status) {
  case 200:
    return FK_OK;
  case 409:
    return FK_CONFLICT;
  case 400:
    return FK_INVALID;
  case 404:
  case 410:
    return FK_GONE;
  case 429:
  case 503:
    return FK_REFUSED;
  default:
    return FK_UNKNOWN;
  }
}

static void reached(FkShell *s, guint system, guint status) {
  const char *why = status == 0 ? "no answer" : status == 503 ? "it answers 503" : NULL;
  fk_reach_note(s->reach, system, why, g_get_monotonic_time());
}

static void say_reach(FkShell *s) {
  gboolean bad;
  char *text;
  while ((text = fk_reach_say(s->reach, g_get_monotonic_time(), &bad))) {
    if (bad)
      g_warning("%s", text);
    else
      g_message("%s", text);
    g_free(text);
  }
}

static void store_done(gpointer data, guint status, const char *body, gsize len) {
  Sent *sent = data;
  FkShell *s = sent->shell;
  FkOut *out = sent->out;
  FkOutcome o = outcome(status);
  fk_controller_room(s->core, fk_budget_room(s->store_budget, FK_PRIO_LAUNCH));
  if (status == 429 && out->kind == FK_OUT_COMMIT)
    s->over += 1;
  if (status == 429 && (out->kind == FK_OUT_COMMIT || out->kind == FK_OUT_GET) && out->tries++ < AGAIN_MAX) {
    g_free(sent);
    fk_budget_again(s->store_budget, out->kind == FK_OUT_GET ? FK_PRIO_USER : out->prio,
                    out->kind == FK_OUT_GET ? 0 : out->writes->len, out);
    return;
  }
  if (o == FK_INVALID)
    g_warning("the store refuses: %.*s", (int)MIN(len, 300), body);
  switch (out->kind) {
  case FK_OUT_COMMIT: {
    g_autoptr(cJSON) j = fk_json_parse(body, len);
    g_autoptr(GPtrArray) failed = fk_store_parse_failed(j);
    if (!j && (o == FK_OK || o == FK_CONFLICT))
      o = FK_UNKNOWN;
    fk_controller_committed(s->core, now(), out->call, o, fk_store_parse_epoch(j), failed);
    break;
  }
  case FK_OUT_GET: {
    g_autoptr(cJSON) j = fk_json_parse(body, len);
    FkEvent *e = o == FK_OK ? fk_store_parse_item(j) : NULL;
    fk_controller_got(s->core, now(), out->call, o == FK_OK && !e ? FK_UNKNOWN : o, e);
    break;
  }
  case FK_OUT_LIST:
  case FK_OUT_WATCH: {
    gboolean more = FALSE;
    FkRev epoch = {0};
    g_autoptr(GPtrArray) events = NULL;
    FkCost before = begin(s, FK_COST_DECODE);
    if (o == FK_OK)
      events = out->kind == FK_OUT_LIST ? fk_store_parse_list(body, len, &more, &epoch)
                                        : fk_store_parse_watch(body, len, &epoch);
    end(s, before);
    if (!events) {
      if (o == FK_OK)
        o = FK_UNKNOWN;
      events = g_ptr_array_new();
    }
    if (out->kind == FK_OUT_LIST)
      fk_controller_listed(s->core, now(), o, events, more, epoch);
    else
      fk_controller_watched(s->core, now(), o, events, epoch, sent->sent);
    break;
  }
  case FK_OUT_HOLD_NEW: {
    g_autoptr(cJSON) j = fk_json_parse(body, len);
    FkRev hold = {0};
    if (o == FK_OK && !fk_json_u64(j, "tether", &hold.n))
      o = FK_UNKNOWN;
    fk_controller_held(s->core, now(), o, hold, sent->sent);
    break;
  }
  case FK_OUT_HOLD_RENEW:
    fk_controller_renewed(s->core, now(), o, sent->sent);
    break;
  default:
    break;
  }
  fk_out_free(out);
  g_free(sent);
  drain(s);
}

/* What comes from outside says whether there is anybody; what we shed ourselves doesn't. */
static void store_answered(gpointer data, guint status, const char *body, gsize len) {
  FkShell *s = ((Sent *)data)->shell;
  reached(s, s->reach_store, status);
  store_done(data, status, body, len);
}

static Sent *sent_new(FkShell *s, FkOut *o) {
  Sent *sent = g_new0(Sent, 1);
  *sent = (Sent){s, o, now()};
  return sent;
}

static char *print_commit(FkShell *s, const FkOut *o) {
  FkCost before = begin(s, FK_COST_ENCODE);
  char *body = fk_store_print_commit(o);
  end(s, before);
  return body;
}

static void store_send(gpointer data, gpointer item) {
  FkShell *s = data;
  FkOut *o = item;
  const char *method = "POST";
  double deadline = STORE_DEADLINE_S;
  g_autofree char *path = NULL, *body = NULL;
  switch (o->kind) {
  case FK_OUT_COMMIT:
    path = g_strdup("/commit");
    fk_controller_sent(s->core, now(), o->call);
    body = print_commit(s, o);
    break;
  case FK_OUT_GET:
    method = "GET";
    path = g_strdup_printf("/store/%s", o->path);
    break;
  case FK_OUT_LIST: {
    method = "GET";
    g_autofree char *after = o->after ? g_strdup_printf("&after=%s", o->after) : g_strdup("");
    path = g_strdup_printf("/store?prefix=%s%s&page=1000", o->path, after);
    deadline = 5;
    break;
  }
  case FK_OUT_WATCH:
    method = "GET";
    path = g_strdup_printf("/watch?prefix=%s&after=%" G_GUINT64_FORMAT "&block_ms=%d", o->path, o->rev.n,
                           (int)(o->seconds * 1000));
    deadline = o->seconds + 3;
    break;
  case FK_OUT_HOLD_NEW:
    path = g_strdup("/holds");
    body = g_strdup_printf("{\"ttl_ms\":%d}", (int)(o->seconds * 1000));
    break;
  default:
    path = g_strdup_printf("/holds/%" G_GUINT64_FORMAT "/renew", o->rev.n);
    body = g_strdup("{}");
  }
  fk_http_call(s->store, method, s->settings->state, path, body, deadline, store_answered, sent_new(s, o));
}

static gboolean shed_later(gpointer data) {
  store_done(data, 503, "", 0);
  return G_SOURCE_REMOVE;
}

static void store_shed(gpointer data, gpointer item) { g_idle_add(shed_later, sent_new(data, item)); }

static gboolean watch_later(gpointer data) {
  Sent *sent = data;
  fk_budget_count(sent->shell->store_budget);
  store_send(sent->shell, sent->out);
  g_free(sent);
  return G_SOURCE_REMOVE;
}

/* ------------------------------------------------------------------ workers */

static void commands_done(gpointer data, guint status, const char *body, gsize len) {
  Sent *sent = data;
  FkShell *s = sent->shell;
  FkCost before = begin(s, FK_COST_REPORTS);
  FkReport *r = status == 200 || status == 409 ? fk_worker_parse_report(body, len) : NULL;
  fk_controller_commanded(s->core, now(), sent->out->call, outcome(status), r);
  end(s, before);
  fk_out_free(sent->out);
  g_free(sent);
  drain(s);
}

/* ------------------------------------------------------------------ other controllers */

static void peer_done(gpointer data, guint status, const char *body, gsize len) {
  Sent *sent = data;
  FkShell *s = sent->shell;
  g_autoptr(cJSON) o = status == 200 ? fk_json_parse(body, len) : NULL;
  FkRev seen, applied = {0};
  gpointer number;
  if (g_hash_table_lookup_extended(s->reach_peers, sent->out->name, NULL, &number))
    reached(s, GPOINTER_TO_UINT(number), status);
  if (o && fk_json_str(o, "life") && fk_json_u64(o, "seen", &seen.n)) {
    fk_json_u64(o, "applied", &applied.n); /* one of before says nothing of it */
    fk_controller_peer(s->core, now(), sent->out->name, fk_json_str(o, "life"), seen, applied,
                       fk_json_num_or(o, "store_age_s", 1e6), sent->sent);
  }
  fk_out_free(sent->out);
  g_free(sent);
  drain(s);
}

static void on_mesh(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
                    gpointer data) {
  FkShell *s = data;
  FkRev seen, applied;
  double age_s;
  if (!g_str_equal(path, "/seen") || !g_str_equal(soup_server_message_get_method(msg), "GET")) {
    respond(msg, 404, fk_user_print_error("no such path"), 0);
    return;
  }
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddStringToObject(o, "life", fk_controller_seen(s->core, now(), &seen, &applied, &age_s));
  fk_json_add_u64(o, "seen", seen.n);
  fk_json_add_u64(o, "applied", applied.n);
  cJSON_AddNumberToObject(o, "store_age_s", age_s);
  respond(msg, 200, fk_json_print(o), 0);
}

/* ------------------------------------------------------------------ the cloud */

static void cloud_done(gpointer data, guint status, const char *body, gsize len) {
  Sent *sent = data;
  FkShell *s = sent->shell;
  FkOut *out = sent->out;
  FkOutcome o = outcome(status);
  switch (out->kind) {
  case FK_OUT_TYPES: {
    g_autoptr(GPtrArray) types = o == FK_OK ? fk_cloud_parse_types(body, len) : NULL;
    if (types)
      g_ptr_array_set_free_func(types, NULL);
    fk_controller_types(s->core, now(), types ? o : FK_UNKNOWN, types);
    break;
  }
  case FK_OUT_MACHINES: {
    gboolean more = FALSE;
    g_autoptr(GPtrArray) listed = o == FK_OK ? fk_cloud_parse_machines(body, len, &more) : NULL;
    fk_controller_machines(s->core, now(), listed ? o : FK_UNKNOWN, listed, more);
    break;
  }
  case FK_OUT_RENT: {
    g_autoptr(GPtrArray) names = o == FK_OK ? fk_cloud_parse_names(body, len) : NULL;
    if (o == FK_OK && !names)
      o = FK_UNKNOWN;
    /* a plain refusal for want of machines, apart from the interface's own trouble */
    if (status == 503 && fk_cloud_no_capacity(body, len))
      o = FK_CONFLICT;
    fk_controller_rented(s->core, now(), out->call, o, names);
    break;
  }
  default:
    fk_controller_returned(s->core, now(), out->call, o);
  }
  fk_out_free(out);
  g_free(sent);
  drain(s);
}

static void cloud_answered(gpointer data, guint status, const char *body, gsize len) {
  FkShell *s = ((Sent *)data)->shell;
  reached(s, s->reach_cloud, status == 503 && fk_cloud_no_capacity(body, len) ? 200 : status);
  cloud_done(data, status, body, len);
}

static void cloud_send(gpointer data, gpointer item) {
  FkShell *s = data;
  FkOut *o = item;
  const char *method = "POST";
  g_autofree char *path = NULL, *body = NULL;
  switch (o->kind) {
  case FK_OUT_TYPES:
    method = "GET";
    path = g_strdup("/machine_types");
    break;
  case FK_OUT_MACHINES:
    method = "GET";
    path = o->after && *o->after ? g_strdup_printf("/machines?after=%s&page=500", o->after)
                                 : g_strdup("/machines?page=500");
    break;
  case FK_OUT_RENT:
    path = g_strdup("/machines");
    body = fk_cloud_print_rent(o);
    break;
  default:
    path = g_strdup("/machines/return");
    body = fk_cloud_print_return(o);
  }
  fk_http_call(s->cloud, method, s->settings->cloud, path, body, 4, cloud_answered, sent_new(s, o));
}

static gboolean cloud_shed_later(gpointer data) {
  cloud_done(data, 429, "", 0);
  return G_SOURCE_REMOVE;
}

static void cloud_shed(gpointer data, gpointer item) { g_idle_add(cloud_shed_later, sent_new(data, item)); }

/* ------------------------------------------------------------------ what the core wants done */

static void perform(FkShell *s, FkOut *o) {
  switch (o->kind) {
  case FK_OUT_ANSWER:
  case FK_OUT_REPLY:
    answer(s, o);
    fk_out_free(o);
    break;
  case FK_OUT_COMMIT:
    fk_budget_add(s->store_budget, o->prio, o->writes->len, o);
    break;
  case FK_OUT_GET:
    fk_budget_add(s->store_budget, FK_PRIO_USER, 0, o);
    break;
  case FK_OUT_LIST:
  case FK_OUT_HOLD_NEW:
  case FK_OUT_HOLD_RENEW:
    fk_budget_count(s->store_budget);
    store_send(s, o);
    break;
  case FK_OUT_WATCH:
    g_timeout_add((guint)(o->delay_s * 1000), watch_later, sent_new(s, o));
    break;
  case FK_OUT_PEER:
    fk_http_call(s->peers, "GET", o->addr, "/seen", NULL, 1.5, peer_done, sent_new(s, o));
    break;
  case FK_OUT_COMMANDS: {
    g_autofree char *body = fk_worker_print_commands(o);
    fk_http_call(s->workers, "POST", o->addr, "/commands", body, 2, commands_done, sent_new(s, o));
    break;
  }
  default:
    fk_budget_add(s->cloud_budget, o->kind == FK_OUT_MACHINES ? 1 : 0, 0, o);
  }
}

static void drain(FkShell *s) {
  if (s->draining)
    return;
  s->draining = TRUE;
  FkOut *o;
  while ((o = fk_controller_next(s->core)))
    perform(s, o);
  s->draining = FALSE;
}

/* ------------------------------------------------------------------ the server */

static void gone(SoupServerMessage *msg, gpointer data) {
  FkShell *s = data;
  guint64 *id = g_object_get_data(G_OBJECT(msg), "fk-request");
  if (!id || !g_hash_table_contains(s->requests, id))
    return;
  FkRequest r = {*id};
  g_hash_table_remove(s->requests, id);
  fk_controller_request_gone(s->core, r);
}

/* Most requests are answered before their handler returns: only what must wait is kept and paused. */
static FkRequest open_request(FkShell *s, SoupServerMessage *msg) {
  s->fresh = msg;
  return (FkRequest){++s->next_request};
}

static void settle_request(FkShell *s) {
  drain(s);
  SoupServerMessage *msg = s->fresh;
  if (!msg)
    return;
  guint64 n = s->next_request;
  s->fresh = NULL;
  g_hash_table_insert(s->requests, g_memdup2(&n, sizeof n), g_object_ref(msg));
  g_object_set_data_full(G_OBJECT(msg), "fk-request", g_memdup2(&n, sizeof n), g_free);
  g_signal_connect(msg, "disconnected", G_CALLBACK(gone), s);
  soup_server_message_pause(msg);
}

static void refuse(SoupServerMessage *msg, guint status, const char *why) {
  respond(msg, status, fk_user_print_error(why), 0);
}

static void on_submit(FkShell *s, SoupServerMessage *msg, const char *body, gsize len) {
  const char *why = NULL;
  FkCost before = begin(s, FK_COST_USERS);
  FkSpec *spec = fk_user_parse_submission(body, len, &why);
  if (!spec) {
    g_autofree char *text = g_strdup_printf("malformed: %s", why);
    refuse(msg, 400, text);
  } else {
    FkRequest r = open_request(s, msg);
    fk_controller_submit(s->core, now(), r, spec);
  }
  end(s, before);
  settle_request(s);
}

static void on_hello(FkShell *s, SoupServerMessage *msg, const char *body, gsize len) {
  FkCost before = begin(s, FK_COST_REPORTS);
  FkReport *report = fk_worker_parse_report(body, len);
  if (!report) {
    g_warning("a malformed report: %.*s", (int)MIN(len, 200), body);
    refuse(msg, 400, "malformed report");
  } else {
    FkRequest r = open_request(s, msg);
    fk_controller_report(s->core, now(), r, report);
  }
  end(s, before);
  settle_request(s);
}

static void on_job(FkShell *s, SoupServerMessage *msg, FkRoute route, const char *job, gsize len) {
  g_autofree char *id = g_strndup(job, len);
  if (!fk_user_valid_id(id)) {
    refuse(msg, 404, "no such job");
    return;
  }
  FkCost before = begin(s, FK_COST_USERS);
  FkRequest r = open_request(s, msg);
  if (route == FK_ROUTE_CANCEL)
    fk_controller_cancel(s->core, now(), r, id);
  else
    fk_controller_get(s->core, now(), r, id);
  end(s, before);
  settle_request(s);
}

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
                       gpointer data) {
  FkShell *s = data;
  SoupMessageBody *request = soup_server_message_get_request_body(msg);
  const char *body = request->data ? request->data : "", *job = NULL;
  gsize len = (gsize)request->length, job_len = 0;
  FkRoute route = fk_route(soup_server_message_get_method(msg), path, &job, &job_len);
  switch (route) {
  case FK_ROUTE_UP: {
    gboolean up = fk_controller_up(s->core, now());
    respond(msg, up ? 200 : 503, g_strdup(up ? "{\"up\":true}" : "{\"up\":false}"), up ? 0 : 1);
    break;
  }
  case FK_ROUTE_REPORT:
    on_hello(s, msg, body, len);
    break;
  case FK_ROUTE_SUBMIT:
    on_submit(s, msg, body, len);
    break;
  case FK_ROUTE_POLL:
  case FK_ROUTE_CANCEL:
    on_job(s, msg, route, job, job_len);
    break;
  case FK_ROUTE_METHOD:
    refuse(msg, 405, "wrong method");
    break;
  default:
    refuse(msg, 404, "no such path");
  }
}

/* ------------------------------------------------------------------ the door */

static FkAsk asked(const char *method, const char *path) {
  return fk_route_ask(fk_route(method, path, NULL, NULL));
}

static FkAsk peer_asked(const char *method, const char *path) { return FK_ASK_PEER; }

static gboolean open_door(FkShell *s, GError **error) {
  return fk_soup_door_listen(s->door, s->server, s->settings->listen, FK_GUEST_OUTSIDER, asked,
                             fk_user_print_error, error) &&
         fk_soup_door_listen(s->door, s->mesh, s->settings->mesh, FK_GUEST_PEER, peer_asked,
                             fk_user_print_error, error);
}

static void watch_reach(FkShell *s) {
  s->reach = fk_reach_new((gint64)(s->settings->tuning.window_s * 1e6));
  g_autofree char *store = g_strdup_printf("the store at %s", s->settings->state),
                  *cloud = g_strdup_printf("the cloud at %s", s->settings->cloud);
  s->reach_store = fk_reach_add(
      s->reach, store, "nothing is accepted, started or ended; what runs goes on while all controllers do");
  s->reach_cloud = fk_reach_add(s->reach, cloud, "no machine is rented or returned");
  s->reach_peers = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < s->settings->peers->len; i++) {
    const FkPeer *p = s->settings->peers->pdata[i];
    g_autofree char *name = g_strdup_printf("controller %s at %s", p->name, p->addr);
    guint number =
        fk_reach_add(s->reach, name, "it can't vouch for what we know: without the store, leases run out");
    g_hash_table_insert(s->reach_peers, p->name, GUINT_TO_POINTER(number));
  }
}

/* Once a window; a warning when somebody was turned away. */
static void say_door(FkShell *s, gint64 now_us) {
  if (now_us < s->door_said + (gint64)(s->settings->tuning.window_s * 1e6))
    return;
  gboolean bad;
  g_autofree char *words = fk_gate_words(fk_door_gate(s->door), &s->door_tally, &bad);
  s->door_said = now_us;
  if (bad)
    g_warning("%s", words);
  else
    g_info("%s", words);
}

static gboolean on_tick(gpointer data) {
  FkShell *s = data;
  gint64 t = g_get_monotonic_time();
  if (s->last_tick)
    fk_vitals_tick(s->vitals, (double)(t - s->last_tick) / 1e6 - TICK_MS / 1e3);
  s->last_tick = t;
  say_door(s, t);
  fk_controller_room(s->core, fk_budget_room(s->store_budget, FK_PRIO_LAUNCH));
  fk_controller_tick(s->core, now(), g_get_real_time());
  say_reach(s);
  double share = fk_controller_share(s->core), writes = fk_controller_write_share(s->core);
  /* The limits to come hold from some moment on, without notice: refusals tell. */
  s->over *= OVER_KEPT;
  if (s->over > OVER_MANY && s->settings->next_write_rps < s->settings->state_write_rps) {
    if (g_get_monotonic_time() >= s->next_until)
      g_message("the store refuses writes within its rate: %g a second from here on",
                s->settings->next_write_rps);
    s->next_until = g_get_monotonic_time() + (gint64)(NEXT_S * 1e6);
  }
  gboolean next = g_get_monotonic_time() < s->next_until;
  fk_budget_rates(
      s->store_budget, MIN(1, LEND * share) * (next ? s->settings->next_rps : s->settings->state_rps),
      MIN(1, LEND_WRITES * writes) * (next ? s->settings->next_write_rps : s->settings->state_write_rps));
  drain(s);
  return G_SOURCE_CONTINUE;
}

/* How many descriptors the process may have: as many as sockets, where the system lets us. A limit that is
 * lower would be met by accepts and calls that fail. */
static double descriptors(rlim_t wanted) {
  struct rlimit r;
  if (getrlimit(RLIMIT_NOFILE, &r) < 0)
    return (double)wanted;
  if (r.rlim_cur < wanted) {
    rlim_t had = r.rlim_cur;
    r.rlim_cur = MIN(wanted, r.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &r) < 0)
      r.rlim_cur = had;
    if (r.rlim_cur < wanted)
      g_warning("door: the system allows %.0f descriptors, the settings %.0f sockets", (double)r.rlim_cur,
                (double)wanted);
  }
  return (double)r.rlim_cur;
}

FkShell *fk_shell_new(const FkSettings *settings, GError **error) {
  FkShell *s = g_new0(FkShell, 1);
  s->settings = settings;
  guint32 seed = (guint32)g_get_real_time() ^ g_str_hash(settings->node) ^ g_random_int();
  /* distinct for every start of the process: names the life that a claim belongs to */
  g_autofree char *life =
      g_strdup_printf("%" G_GINT64_MODIFIER "x%04x", g_get_real_time() / 1000, seed & 0xffff);
  s->core = fk_controller_new(settings, life, seed, now());
  s->vitals = fk_vitals_new(settings->tuning.window_s);
  fk_meter_start(fk_controller_meter(s->core), fk_vitals_clock_ns);
  s->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_object_unref);
  const FkDoorMeans means = {MIN(settings->sockets, descriptors((rlim_t)settings->sockets)), settings->ram_mb,
                             settings->peers->len};
  const FkDoorLimits l = fk_door_limits(&means, &settings->tuning.door);
  s->store = fk_http_new(l.store_calls, l.store_calls, 60, l.store_answer);
  s->workers = fk_http_new_many(l.worker_calls, l.answer);
  s->cloud = fk_http_new(l.cloud_calls, l.cloud_calls, 60, l.answer);
  s->peers = fk_http_new(l.peer_calls, 2, 60, l.answer);
  watch_reach(s);
  s->store_budget = fk_budget_new(settings->state_rps * 0.5, settings->state_write_rps * 0.5, 0.8,
                                  FK_PRIO_RESULT + 1, FK_PRIO_USER + 1, 2000, store_send, store_shed, s);
  s->cloud_budget = fk_budget_new(settings->cloud_rps * 0.7, 1, 1.0, 2, 0, 50, cloud_send, cloud_shed, s);
  s->server = soup_server_new("server-header", "flaxknot", NULL);
  soup_server_add_handler(s->server, NULL, on_request, s, NULL);
  s->mesh = soup_server_new("server-header", "flaxknot", NULL);
  soup_server_add_handler(s->mesh, NULL, on_mesh, s, NULL);
  s->door = fk_door_new(&l);
  if (!open_door(s, error)) {
    fk_shell_free(s);
    return NULL;
  }
  s->tick = g_timeout_add(TICK_MS, on_tick, s);
  on_tick(s);
  return s;
}

static FkShell *turning; /* a poll function has no argument of its own */

/* What is waited for isn't processor time of any purpose; a turn is what lies between two waits. */
static gint measured_poll(GPollFD *fds, guint n, gint timeout) {
  FkMeter *meter = fk_controller_meter(turning->core);
  FkCost before = begin(turning, FK_COST_IDLE);
  fk_vitals_turn_ends(turning->vitals, meter->last_ns, n);
  gint ready = g_poll(fds, n, timeout);
  end(turning, before);
  fk_vitals_turn_begins(turning->vitals, meter->last_ns);
  return ready;
}

void fk_shell_run(FkShell *s) {
  turning = s;
  g_main_context_set_poll_func(NULL, measured_poll);
  g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
  g_main_loop_run(loop);
}

void fk_shell_free(FkShell *s) {
  if (!s)
    return;
  g_clear_handle_id(&s->tick, g_source_remove);
  soup_server_disconnect(s->server);
  g_object_unref(s->server);
  soup_server_disconnect(s->mesh);
  g_object_unref(s->mesh);
  fk_door_free(s->door);
  fk_reach_free(s->reach);
  g_hash_table_unref(s->reach_peers);
  fk_http_free(s->peers);
  fk_http_free(s->store);
  fk_http_free(s->workers);
  fk_http_free(s->cloud);
  fk_budget_free(s->store_budget);
  fk_budget_free(s->cloud_budget);
  g_hash_table_unref(s->requests);
  fk_controller_free(s->core);
  fk_vitals_free(s->vitals);
  g_free(s);
}
