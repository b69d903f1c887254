#include <string.h>

#include "wire/settings.h"
#include "wire/store.h"
#include "wire/user.h"
#include "wire/worker.h"

#define VALID_SUBMISSION                                                                                     \
  "\"ref\":\"run-000412\",\"lane\":\"train\",\"crew\":\"red\",\"shape\":\"sweep\",\"rank\":\"high\","        \
  "\"strands\":16,"                                                                                          \
  "\"cores\":8.0,\"cards\":1.0,\"mem_gb\":64.0,\"bundle\":\"img-07\",\"size_gb\":6.2,\"together\":true,"     \
  "\"spread\":false,\"loaners\":true,\"guess_s\":240.0,\"knot_s\":30.0,\"stow_s\":4.0"

static void test_submission(void) {
  static const struct {
    const char *body;
    gboolean ok;
  } cases[] = {
      {"{" VALID_SUBMISSION "}", TRUE},
      {"{" VALID_SUBMISSION ",\"builds\":null,\"yard\":null,\"due_s\":null}", TRUE},
      {"{" VALID_SUBMISSION ",\"builds\":[\"g8\"],\"yard\":\"a\",\"due_s\":900.0,\"unknown\":{\"x\":[1]}}",
       TRUE},
      {"{" VALID_SUBMISSION ",\"builds\":[]}", FALSE},
      {"{" VALID_SUBMISSION ",\"builds\":\"g8\"}", FALSE},
      {"{" VALID_SUBMISSION ",\"builds\":[8]}", FALSE},
      {"{" VALID_SUBMISSION ",\"due_s\":-1}", FALSE},
      {"{" VALID_SUBMISSION ",\"due_s\":\"soon\"}", FALSE},
      {"{" VALID_SUBMISSION ",\"awaits\":null}", TRUE},
      {"{" VALID_SUBMISSION ",\"awaits\":[]}", TRUE},
      {"{" VALID_SUBMISSION ",\"awaits\":[\"run-1\",\"run-2\",\"run-1\"]}", TRUE},
      {"{" VALID_SUBMISSION ",\"awaits\":\"run-1\"}", FALSE},
      {"{" VALID_SUBMISSION ",\"awaits\":{}}", FALSE},
      {"{" VALID_SUBMISSION ",\"awaits\":[1]}", FALSE},
      {"{" VALID_SUBMISSION ",\"awaits\":[\"job-1\"]}", FALSE},
      {"{" VALID_SUBMISSION ",\"awaits\":[\"run-1\",null]}", FALSE},
      {"{" VALID_SUBMISSION "} trailing", FALSE},
      {"{" VALID_SUBMISSION, FALSE},
      {"", FALSE},
      {"[]", FALSE},
      {"7", FALSE},
      {"null", FALSE},
      {"{\"ref\":\"run-1\"}", FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    const char *reason = NULL;
    g_autoptr(FkSpec) spec = fk_user_parse_submission(cases[i].body, strlen(cases[i].body), &reason);
    g_assert_cmpint(spec != NULL, ==, cases[i].ok);
    g_assert_cmpint(reason != NULL, ==, !cases[i].ok);
  }
  /* Each required field in turn is removed, and then set to a value of a wrong type or out of range. */
  static const char *fields[][2] = {
      {"ref", "\"job-1\""}, {"ref", "\"run-\""},   {"ref", "\"run-12x\""}, {"lane", "\"\""},
      {"crew", "5"},        {"shape", "\"blob\""}, {"rank", "\"low\""},    {"strands", "0"},
      {"strands", "1.5"},   {"strands", "100001"}, {"strands", "\"16\""},  {"cores", "-1"},
      {"cards", "\"1\""},   {"mem_gb", "null"},    {"bundle", "{}"},       {"size_gb", "true"},
      {"together", "1"},    {"spread", "\"no\""},  {"loaners", "null"},    {"guess_s", "-0.1"},
      {"knot_s", "\"\""},   {"stow_s", "[]"}};
  for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
    g_autoptr(cJSON) json = fk_json_parse("{" VALID_SUBMISSION "}", strlen("{" VALID_SUBMISSION "}"));
    cJSON_DeleteItemFromObject(json, fields[i][0]);
    const char *reason = NULL;
    char *missing = fk_json_print(json);
    g_assert_null(fk_user_parse_submission(missing, strlen(missing), &reason));
    cJSON_AddItemToObject(json, fields[i][0], cJSON_CreateRaw(fields[i][1]));
    char *wrong = fk_json_print(json);
    g_assert_null(fk_user_parse_submission(wrong, strlen(wrong), &reason));
    g_assert_cmpstr(reason, ==, fields[i][0]);
    cJSON_free(missing);
    cJSON_free(wrong);
  }
}

/* Fencing tokens, revisions and attempts are unsigned 64-bit integers, which cJSON alone would round to
 * doubles. */
static void test_integers(void) {
  static const struct {
    const char *text;
    gboolean ok;
    guint64 value;
  } cases[] = {{"0", TRUE, 0},
               {"41", TRUE, 41},
               {"9007199254740993", TRUE, G_GUINT64_CONSTANT(9007199254740993)},
               {"18446744073709551615", TRUE, G_MAXUINT64},
               {"18446744073709551616", FALSE, 0},
               {"-1", FALSE, 0},
               {"1.5", FALSE, 0},
               {"\"41\"", FALSE, 0},
               {"null", FALSE, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autofree char *text =
        g_strdup_printf("{\"s\":\"a \\\" 99999999999999999999\",\"n\":%s}", cases[i].text);
    g_autoptr(cJSON) json = fk_json_parse(text, strlen(text));
    guint64 number = 0;
    g_assert_nonnull(json);
    g_assert_cmpint(fk_json_u64(json, "n", &number), ==, cases[i].ok);
    g_assert_cmpuint(number, ==, cases[i].value);
    g_assert_cmpstr(fk_json_str(json, "s"), ==, "a \" 99999999999999999999");
    g_autoptr(cJSON) object = cJSON_CreateObject();
    fk_json_add_u64(object, "n", number);
    char *printed = fk_json_print(object);
    g_autofree char *expected = g_strdup_printf("{\"n\":%" G_GUINT64_FORMAT "}", number);
    g_assert_cmpstr(printed, ==, expected);
    cJSON_free(printed);
  }
}

static void test_heartbeat(void) {
  static const struct {
    const char *body;
    int tasks; /* number of tasks in the heartbeat; -1 if the body must be rejected */
  } cases[] = {
      {"{\"knotter\":\"i-1\",\"address\":\"10.1.0.2:9000\",\"build\":\"g8\",\"yard\":\"a\",\"loaners\":true,"
       "\"shift\":1,\"tally\":88,\"baton\":41,\"recall_s\":null,\"strands\":["
       "{\"strand\":\"run-000412/3\",\"try\":2,\"phase\":\"running\"},"
       "{\"strand\":\"run-000398/0\",\"try\":1,\"phase\":\"exited\",\"cause\":\"done\"}]}",
       2},
      {"{\"knotter\":\"i-1\",\"address\":\"10.1.0.2:9000\",\"build\":\"g8\",\"yard\":\"a\",\"shift\":1,"
       "\"tally\":8,"
       "\"baton\":0}",
       0},
      {"{\"knotter\":\"i-1\",\"address\":\"x\",\"build\":\"g8\",\"yard\":\"a\",\"shift\":1,\"tally\":8}", -1},
      {"{\"knotter\":\"i-1\",\"address\":\"x\",\"build\":\"g8\",\"yard\":\"a\",\"shift\":1,\"tally\":8,"
       "\"baton\":1,"
       "\"strands\":[{\"strand\":\"run-1\",\"try\":2,\"phase\":\"running\"}]}",
       -1},
      {"[]", -1},
      {"", -1},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autoptr(FkHeartbeat) heartbeat = fk_worker_parse_heartbeat(cases[i].body, strlen(cases[i].body));
    g_assert_cmpint(heartbeat ? (int)heartbeat->tasks->len : -1, ==, cases[i].tasks);
  }
}

/* A dependency named twice counts once. The record of a job without dependencies must keep the format of
 * versions before dependencies were introduced. A record with a malformed list of dependencies must be
 * rejected as a whole, or the job could start before its dependencies have finished. */
static void test_dependencies(void) {
  static const struct {
    const char *awaits; /* value of the field in the submission */
    const char *needs;  /* ids of the parsed dependencies, separated by spaces; NULL if there are none */
  } cases[] = {{"null", NULL},
               {"[]", NULL},
               {"[\"run-2\"]", "run-2"},
               {"[\"run-2\",\"run-3\",\"run-2\"]", "run-2 run-3"}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autofree char *body = g_strdup_printf("{" VALID_SUBMISSION ",\"awaits\":%s}", cases[i].awaits);
    const char *reason;
    FkRecord *record = fk_record_new(FK_STORE_KEY_JOB);
    record->spec = fk_user_parse_submission(body, strlen(body), &reason);
    record->spec->chunk_tasks = 8;
    g_autofree char *needs = record->spec->dependencies ? g_strjoinv(" ", record->spec->dependencies) : NULL;
    g_assert_cmpstr(needs, ==, cases[i].needs);
    g_autoptr(cJSON) json = fk_store_record_to_json(record);
    g_assert_cmpint(fk_json_get(json, "needs") != NULL, ==, cases[i].needs != NULL);
    FkRecord *parsed = fk_store_record_from_json(FK_STORE_LIVE_ROOT "j/run-1", json);
    g_autofree char *parsed_needs =
        parsed->spec->dependencies ? g_strjoinv(" ", parsed->spec->dependencies) : NULL;
    g_assert_cmpstr(parsed_needs, ==, cases[i].needs);
    fk_record_free(parsed);
    fk_record_free(record);
    cJSON_DeleteItemFromObject(json, "needs");
    cJSON_AddItemToObject(json, "needs", cJSON_CreateRaw("[7]"));
    g_autofree char *malformed_text = fk_json_print(json);
    g_autoptr(cJSON) malformed_json = fk_json_parse(malformed_text, strlen(malformed_text));
    g_assert_null(fk_store_record_from_json(FK_STORE_LIVE_ROOT "j/run-1", malformed_json));
  }
}

/* The limits that the store will enforce later (deployment.state.next) may be missing, or lower or higher
 * than the present limits. A higher limit must have no effect. Unknown fields must be ignored, and malformed
 * values must be rejected. */
static void test_next_limits(void) {
  static const struct {
    const char *next; /* value of deployment.state.next; NULL if the field is missing */
    gboolean ok;
    double value_kb, write_rps;
    guint ops;
  } cases[] = {{NULL, TRUE, 2, 60, 32},
               {"null", TRUE, 2, 60, 32},
               {"{}", TRUE, 2, 60, 32},
               {"{\"value_kb\":1,\"txn_ops\":8,\"write_rps\":35}", TRUE, 1, 35, 8},
               {"{\"value_kb\":64,\"txn_ops\":99,\"write_rps\":350}", TRUE, 2, 60, 32},
               {"{\"txn_ops\":10,\"colour\":\"red\"}", TRUE, 2, 60, 10},
               {"{\"value_kb\":null}", TRUE, 2, 60, 32},
               {"7", FALSE, 0, 0, 0},
               {"[]", FALSE, 0, 0, 0},
               {"{\"value_kb\":0}", FALSE, 0, 0, 0},
               {"{\"value_kb\":\"2\"}", FALSE, 0, 0, 0},
               {"{\"txn_ops\":-1}", FALSE, 0, 0, 0},
               {"{\"write_rps\":0}", FALSE, 0, 0, 0}};
  g_autofree char *text = NULL;
  gsize len;
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/test/data/good.json", &text, &len, NULL));
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autoptr(cJSON) json = fk_json_parse(text, len);
    cJSON *state = cJSON_GetObjectItem(cJSON_GetObjectItem(json, "deployment"), "state");
    if (cases[i].next)
      cJSON_AddItemToObject(state, "next", cJSON_CreateRaw(cases[i].next));
    g_autofree char *body = fk_json_print(json);
    g_autoptr(GError) error = NULL;
    g_autoptr(FkSettings) settings = fk_settings_parse(body, strlen(body), &error);
    g_assert_cmpint(settings != NULL, ==, cases[i].ok);
    g_assert_cmpint(error != NULL, ==, !cases[i].ok);
    if (!settings)
      continue;
    g_assert_cmpfloat(settings->value_kb, ==, cases[i].value_kb);
    g_assert_cmpfloat(settings->current_value_limit_kb, ==, 2);
    g_assert_cmpfloat(settings->next_store_write_rps, ==, cases[i].write_rps);
    g_assert_cmpuint(settings->transaction_ops_max, ==, cases[i].ops);
  }
}

static void test_chunk_record(void) {
  for (guint32 count = 1; count <= 128; count += 13) {
    FkRecord *record = fk_record_new(FK_STORE_KEY_CHUNK);
    record->chunk = fk_chunk_new(64, count);
    for (guint32 i = 0; i < count; i++) {
      fk_chunk_allocate(record->chunk, 64 + i, "i-000000000231", "knotter-0");
      if (i % 3 == 0)
        fk_chunk_finish(record->chunk, 64 + i, (FkAttempt){i + 1});
    }
    g_autoptr(cJSON) json = fk_store_record_to_json(record);
    FkRecord *parsed = fk_store_record_from_json(FK_STORE_LIVE_ROOT "t/run-1/00001", json);
    g_assert_nonnull(parsed);
    g_assert_cmpuint(parsed->chunk->next_attempt, ==, record->chunk->next_attempt);
    g_assert_cmpuint(parsed->chunk->done_count, ==, record->chunk->done_count);
    g_assert_cmpmem(parsed->chunk->done, count, record->chunk->done, count);
    g_assert_cmpuint(parsed->chunk->allocations->len, ==, record->chunk->allocations->len);
    fk_record_free(parsed);
    fk_record_free(record);
  }
}

/* With machine ids of 12 bytes, the record of a chunk must fit the store's value limit even if
 * fk_chunk_max_tasks() tasks are allocated and have a stop request. fk_chunk_fits() must return FALSE before
 * an allocation would exceed the limit. */
static void test_chunk_fits(void) {
  static const double limits[] = {1, 2, 8, 32};
  for (guint i = 0; i < G_N_ELEMENTS(limits); i++) {
    guint32 max_tasks = fk_chunk_max_tasks(limits[i], "knotter-10");
    FkRecord *record = fk_record_new(FK_STORE_KEY_CHUNK);
    record->chunk = fk_chunk_new(99872, max_tasks + 60);
    record->chunk->next_attempt = 9000000;
    guint32 allocated = 0;
    while (allocated < max_tasks + 60 &&
           fk_chunk_fits(record->chunk, limits[i], "i-0000000231", "knotter-10")) {
      fk_chunk_allocate(record->chunk, 99872 + allocated, "i-0000000231", "knotter-10");
      fk_chunk_request_stop(record->chunk, 99872 + allocated++);
    }
    record->chunk->done_count = 1; /* a count above 0 adds the bit set of completed tasks to the record */
    g_assert_cmpuint(allocated, >=, MIN(max_tasks, 128));
    g_autoptr(cJSON) json = fk_store_record_to_json(record);
    g_autofree char *text = fk_json_print(json);
    g_assert_cmpuint(strlen(text), <=, (gsize)(1024 * limits[i]));
    g_assert_true(fk_chunk_fits(record->chunk, limits[i], NULL, NULL));
    fk_record_free(record);
  }
}

/* The schema and the code must list the same settings with the same ranges and defaults. */
static void test_schema(void) {
  g_autofree char *text = NULL;
  gsize len;
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/schema/operator.schema.json", &text, &len, NULL));
  g_autoptr(cJSON) json = fk_json_parse(text, len);
  const cJSON *properties = fk_json_get(json, "properties");
  guint n;
  const FkTuningField *fields = fk_tuning_fields(&n);
  g_autoptr(FkSettings) settings = fk_settings_new();
  g_assert_cmpint(cJSON_GetArraySize(properties), ==, (int)n);
  for (guint i = 0; i < n; i++) {
    const cJSON *property = fk_json_get(properties, fields[i].name);
    g_assert_nonnull(property);
    g_assert_cmpfloat(fk_json_num_or(property, "minimum", -1), ==, fields[i].min);
    g_assert_cmpfloat(fk_json_num_or(property, "maximum", -1), ==, fields[i].max);
    /* A default of 0 means that the default is derived from other settings (the resources or the heartbeat
     * interval). The schema gives no default for settings of this kind. */
    g_assert_cmpfloat(fk_json_num_or(property, "default", 0), ==,
                      G_STRUCT_MEMBER(double, &settings->tuning, fields[i].offset));
  }
}

static void test_settings(void) {
  g_autofree char *text = NULL;
  gsize len;
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/test/data/good.json", &text, &len, NULL));
  static const struct {
    const char *from, *to, *names;
  } cases[] = {{"\"c-0\"", "\"\"", "node"},
               {"127.0.0.1:8080", "localhost", "serve_on"},
               {"127.0.0.1:8080", "127.0.0.1:99999", "serve_on"},
               {"\"lease_s\": 20", "\"lease_s\": -1", "lease_s"},
               {"\"txn_ops\": 32", "\"txn_ops\": 1", "txn_ops"},
               /* Found by fuzzing: this number exceeded the range of the integer type. */
               {"\"txn_ops\": 32", "\"txn_ops\": 1e12", "txn_ops"},
               {"\"sockets\": 1000", "\"sockets\": 10", "sockets"},
               {"\"cpus\": 8,", "\"cpus\": \"8\",", "cpus"},
               {"\"teams\"", "\"squads\"", "teams"},
               {"\"outside\"", "\"inside\"", "cloud"}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_auto(GStrv) parts = g_strsplit(text, cases[i].from, -1);
    g_autofree char *malformed = g_strjoinv(cases[i].to, parts);
    g_autoptr(GError) error = NULL;
    g_assert_null(fk_settings_parse(malformed, strlen(malformed), &error));
    g_assert_nonnull(strstr(error->message, cases[i].names));
  }
  static const struct {
    const char *text;
    gboolean ok;
  } tuning_cases[] = {{"{}", TRUE},
                      {"{\"window_s\":20,\"cutoff_s\":60}", TRUE},
                      {"{\"window_s\":0}", FALSE},
                      {"{\"windows\":20}", FALSE},
                      {"{\"span\":\"much\"}", FALSE},
                      {"[]", FALSE}};
  for (guint i = 0; i < G_N_ELEMENTS(tuning_cases); i++) {
    FkTuning tuning = {0};
    g_autoptr(GError) error = NULL;
    g_assert_cmpint(fk_tuning_parse(&tuning, tuning_cases[i].text, strlen(tuning_cases[i].text), &error), ==,
                    tuning_cases[i].ok);
  }
}

/* Failed attempts are listed in "r" with all released attempts, and again in "f", so that earlier versions,
 * which ignore "f", still release them. An attempt in "f" that isn't in "r" is ignored; a malformed "f"
 * invalidates the record. */
static void test_failed_completions(void) {
  static const struct {
    const char *json;
    guint released, failed;
    gboolean valid;
  } cases[] = {{"{\"run-1/0\":{\"r\":[0,1,3,7],\"f\":[7]}}", 2, 1, TRUE},
               {"{\"run-1/0\":{\"r\":[0,1,3,7]}}", 2, 0, TRUE},
               {"{\"run-1/0\":{\"r\":[0,1],\"f\":[9]}}", 1, 0, TRUE},
               {"{\"run-1/0\":{\"r\":[0,1],\"f\":[\"x\"]}}", 0, 0, FALSE}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autoptr(cJSON) parsed = fk_json_parse(cases[i].json, strlen(cases[i].json));
    g_autoptr(FkRecord) record = fk_store_record_from_json("fk/l/r/c-0/0", parsed);
    g_assert_cmpint(record != NULL, ==, cases[i].valid);
    for (guint pass = 0; record && pass < 2; pass++) {
      const FkCompletionRecord *completion = record->completions->pdata[0];
      guint failed = 0;
      for (guint k = 0; k < completion->released->len; k++)
        failed += g_array_index(completion->released, FkReleasedAttempt, k).task_failed != 0;
      g_assert_cmpuint(completion->released->len, ==, cases[i].released);
      g_assert_cmpuint(failed, ==, cases[i].failed);
      g_autoptr(cJSON) printed = fk_store_record_to_json(record);
      fk_record_free(record);
      record = fk_store_record_from_json("fk/l/r/c-0/0", printed);
    }
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/wire/submission", test_submission);
  g_test_add_func("/wire/integers", test_integers);
  g_test_add_func("/wire/heartbeat", test_heartbeat);
  g_test_add_func("/wire/chunk_record", test_chunk_record);
  g_test_add_func("/wire/chunk_fits", test_chunk_fits);
  g_test_add_func("/wire/dependencies", test_dependencies);
  g_test_add_func("/wire/next_limits", test_next_limits);
  g_test_add_func("/wire/schema", test_schema);
  g_test_add_func("/wire/settings", test_settings);
  g_test_add_func("/wire/failed_completions", test_failed_completions);
  return g_test_run();
}
