/* Every schedule of the digest against the line that is on record for it, data/digests.txt, exactly. Two
 * arguments, R and N: the schedules whose index is R modulo N. `--write`: prints the whole table instead,
 * which is how the file is made. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "simulation/digest.h"

/* Shows errors and warnings of the code under test, nothing else. */
static void quiet(const char *domain, GLogLevelFlags level, const char *text, gpointer data) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING))
    g_log_default_handler(domain, level, text, data);
}

int main(int argc, char **argv) {
  g_log_set_default_handler(quiet, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
  gboolean write = argc == 2 && g_str_equal(argv[1], "--write");
  guint rest = argc == 3 ? (guint)atoi(argv[1]) : 0, parts = argc == 3 ? (guint)atoi(argv[2]) : 1;
  if ((!write && argc != 3) || parts < 1 || rest >= parts) {
    fprintf(stderr, "test_digest R N | --write\n");
    return 2;
  }
  g_autofree char *text = NULL;
  if (!write && !g_file_get_contents(FK_SOURCE_DIR "/test/data/digests.txt", &text, NULL, NULL)) {
    fprintf(stderr, "test/data/digests.txt can't be read\n");
    return 1;
  }
  g_auto(GStrv) recorded = text ? g_strsplit(g_strchomp(text), "\n", -1) : NULL;
  guint lines = recorded ? g_strv_length(recorded) : 0, wrong = 0;
  if (!write && lines != fk_digest_count()) {
    fprintf(stderr, "%u lines are on record, and the table has %u schedules\n", lines, fk_digest_count());
    wrong++;
  }
  for (guint i = rest; i < fk_digest_count(); i += parts) {
    FkDigest d = fk_digest_play(i, NULL);
    if (write)
      printf("%s\n", d.line);
    else if (i >= lines || !g_str_equal(d.line, recorded[i])) {
      fprintf(stderr, "%s differs: recorded \"%s\", played \"%s\"\n", fk_digest_name(i),
              i < lines ? recorded[i] : "nothing", d.line);
      wrong++;
    }
    if (d.broken) {
      fprintf(stderr, "%s: a rule is broken: %s\n", fk_digest_name(i), d.broken);
      wrong++;
    }
    fk_digest_clear(&d);
  }
  return wrong ? 1 : 0;
}
