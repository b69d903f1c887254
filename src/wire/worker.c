#include "wire/worker.h"

#include <string.h>

static const char *command_words[] = {"launch", "stop", "forget"};

static const struct {
  const char *word;
  FkTaskState state;
} states[] = {{"fetching", FK_TASK_FETCHING},
              {"running", FK_TASK_RUNNING},
              {"flushing", FK_TASK_SAVING},
              {"exited", FK_TASK_EXITED}};

static const struct {
  const char *word;
  FkExitReason why;
} whys[] = {{"done", FK_EXIT_DONE}, {"halted", FK_EXIT_STOPPED}, {"error", FK_EXIT_ERROR},
            {"full", FK_EXIT_FULL}, {"busy", FK_EXIT_BUSY},      {"unknown", FK_EXIT_UNKNOWN}};

static FkTaskStatus *parse_task(const cJSON *j) {
  const char *name = fk_json_str(j, "strand"), *phase = fk_json_str(j, "phase"),
             *cause = fk_json_str(j, "cause");
  const char *slash = name ? strrchr(name, '/') : NULL;
  guint64 task, attempt;
  if (!slash || !phase || !fk_json_u64(j, "try", &attempt) ||
      !g_ascii_string_to_unsigned(slash + 1, 10, 0, G_MAXUINT32, &task, NULL))
    return NULL;
  FkTaskStatus *t = g_new0(FkTaskStatus, 1);
  t->job = g_strndup(name, slash - name);
  t->task = (guint32)task;
  t->attempt.n = attempt;
  t->state = FK_TASK_OTHER;
  for (guint i = 0; i < G_N_ELEMENTS(states); i++)
    if (g_str_equal(states[i].word, phase))
      t->state = states[i].state;
  for (guint i = 0; cause && i < G_N_ELEMENTS(whys); i++)
    if (g_str_equal(whys[i].word, cause))
      t->exit_reason = whys[i].why;
  return t;
}

FkHeartbeat *fk_worker_parse_heartbeat(const char *body, gsize len) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  g_autoptr(FkHeartbeat) r = fk_heartbeat_new();
  gboolean spot = FALSE;
  const cJSON *tasks = fk_json_get(o, "strands"), *item;
  if (!cJSON_IsObject(o) || !fk_json_str(o, "knotter") || !fk_json_u64(o, "shift", &r->incarnation) ||
      !fk_json_u64(o, "tally", &r->sequence) || !fk_json_u64(o, "baton", &r->fencing_token.n) ||
      (tasks && !cJSON_IsArray(tasks)))
    return NULL;
  r->machine = g_strdup(fk_json_str(o, "knotter"));
  r->addr = g_strdup(fk_json_str(o, "address"));
  r->type = g_strdup(fk_json_str(o, "build"));
  r->zone = g_strdup(fk_json_str(o, "yard"));
  fk_json_bool(o, "loaners", &spot);
  r->spot = spot;
  r->termination_notice_s = fk_json_num_or(o, "recall_s", -1);
  if (!r->addr || !r->type || !r->zone || strlen(r->machine) > 100)
    return NULL;
  cJSON_ArrayForEach(item, tasks) {
    FkTaskStatus *t = parse_task(item);
    if (!t)
      return NULL; /* a list with a hole proves nothing */
    g_ptr_array_add(r->tasks, t);
  }
  return g_steal_pointer(&r);
}

static void add_commands(cJSON *o, const GPtrArray *orders) {
  cJSON *list = cJSON_AddArrayToObject(o, "orders");
  for (guint i = 0; orders && i < orders->len; i++) {
    const FkCommand *order = orders->pdata[i];
    cJSON *j = cJSON_CreateObject();
    g_autofree char *task = g_strdup_printf("%s/%u", order->job, order->task);
    cJSON_AddStringToObject(j, "verb", command_words[order->kind]);
    cJSON_AddStringToObject(j, "strand", task);
    fk_json_add_u64(j, "try", order->attempt.n);
    if (order->kind == FK_COMMAND_STOP)
      cJSON_AddNumberToObject(j, "mercy_s", order->grace_s);
    cJSON_AddItemToArray(list, j);
  }
}

char *fk_worker_print_reply(const FkOutput *out) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  if (out->status == 200) {
    fk_json_add_u64(o, "baton", out->fencing_token.n);
    add_commands(o, out->commands);
  } else if (out->redirect_to) {
    cJSON_AddStringToObject(o, "foreman", out->redirect_to);
  }
  return fk_json_print(o);
}

char *fk_worker_print_commands(const FkOutput *out) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  fk_json_add_u64(o, "baton", out->fencing_token.n);
  fk_json_add_u64(o, "shift", out->incarnation);
  add_commands(o, out->commands);
  return fk_json_print(o);
}

/* ------------------------------------------------------------------ the worker's side */

static const char *state_word(FkTaskState state) {
  for (guint i = 0; i < G_N_ELEMENTS(states); i++)
    if (states[i].state == state)
      return states[i].word;
  return "unknown";
}

static const char *exit_reason_word(FkExitReason why) {
  for (guint i = 0; i < G_N_ELEMENTS(whys); i++)
    if (whys[i].why == why)
      return whys[i].word;
  return NULL;
}

static cJSON *task_to_json(const FkTaskStatus *t) {
  cJSON *j = cJSON_CreateObject();
  g_autofree char *name = g_strdup_printf("%s/%u", t->job, t->task);
  cJSON_AddStringToObject(j, "strand", name);
  fk_json_add_u64(j, "try", t->attempt.n);
  cJSON_AddStringToObject(j, "phase", state_word(t->state));
  const char *cause = t->state == FK_TASK_EXITED ? exit_reason_word(t->exit_reason) : NULL;
  if (cause)
    cJSON_AddStringToObject(j, "cause", cause);
  return j;
}

char *fk_worker_print_heartbeat(const FkHeartbeat *r) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddStringToObject(o, "knotter", r->machine);
  cJSON_AddStringToObject(o, "address", r->addr);
  cJSON_AddStringToObject(o, "build", r->type);
  cJSON_AddStringToObject(o, "yard", r->zone);
  cJSON_AddBoolToObject(o, "loaners", r->spot);
  fk_json_add_u64(o, "shift", r->incarnation);
  fk_json_add_u64(o, "tally", r->sequence);
  fk_json_add_u64(o, "baton", r->fencing_token.n);
  cJSON *tasks = cJSON_AddArrayToObject(o, "strands");
  for (guint i = 0; i < r->tasks->len; i++)
    cJSON_AddItemToArray(tasks, task_to_json(r->tasks->pdata[i]));
  return fk_json_print(o);
}

void fk_worker_commands_free(FkWorkerCommands *o) {
  g_clear_pointer(&o->commands, g_ptr_array_unref);
  g_free(o->redirect);
  g_free(o);
}

static void command_free(gpointer p) {
  g_free(((FkCommand *)p)->job);
  g_free(p);
}

static FkCommand *parse_command(const cJSON *j) {
  const char *verb = fk_json_str(j, "verb"), *name = fk_json_str(j, "strand");
  const char *slash = name ? strrchr(name, '/') : NULL;
  guint64 task, attempt;
  if (!verb || !slash || !fk_json_u64(j, "try", &attempt) ||
      !g_ascii_string_to_unsigned(slash + 1, 10, 0, G_MAXUINT32, &task, NULL))
    return NULL;
  for (guint i = 0; i < G_N_ELEMENTS(command_words); i++) {
    if (!g_str_equal(command_words[i], verb))
      continue;
    FkCommand *o = g_new0(FkCommand, 1);
    *o = (FkCommand){(FkCommandKind)i,
                     g_strndup(name, slash - name),
                     (guint32)task,
                     {attempt},
                     fk_json_num_or(j, "mercy_s", 0)};
    return o;
  }
  return NULL;
}

static FkWorkerCommands *parse_commands(const cJSON *o) {
  g_autoptr(FkWorkerCommands) orders = g_new0(FkWorkerCommands, 1);
  orders->commands = g_ptr_array_new_with_free_func(command_free);
  orders->redirect = g_strdup(fk_json_str(o, "foreman"));
  if (!cJSON_IsObject(o) || !fk_json_u64(o, "baton", &orders->fencing_token.n))
    return orders->redirect ? g_steal_pointer(&orders) : NULL;
  const cJSON *item;
  cJSON_ArrayForEach(item, fk_json_get(o, "orders")) {
    FkCommand *order = parse_command(item);
    if (!order)
      return NULL;
    g_ptr_array_add(orders->commands, order);
  }
  return g_steal_pointer(&orders);
}

FkWorkerCommands *fk_worker_parse_reply(guint status, const char *body, gsize len) {
  g_autoptr(cJSON) o = status == 200 || status == 421 ? fk_json_parse(body, len) : NULL;
  return o ? parse_commands(o) : NULL;
}

FkWorkerCommands *fk_worker_parse_commands(const char *body, gsize len) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  guint64 session;
  if (!o || !fk_json_u64(o, "shift", &session))
    return NULL;
  FkWorkerCommands *orders = parse_commands(o);
  if (orders)
    orders->incarnation = session;
  return orders;
}
