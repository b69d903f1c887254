/* A digest of behaviour: a fixed table of simulated schedules, and for each one a checksum over everything
 * that its controllers send. Two builds that print the same table behave the same in these schedules,
 * whatever their identifiers and their internal structure are. */
#pragma once
#include <glib.h>
#include <stdio.h>

/* What one schedule came to. */
typedef struct {
  char *line;   /* "NAME SHA256 NUMBER_OF_OUTPUTS" */
  char *broken; /* the first broken rule of the simulated world, or NULL */
} FkDigest;

/* Frees the members, not the struct. */
void fk_digest_clear(FkDigest *d);

/* Number of schedules in the table. */
guint fk_digest_count(void);

/* Name of the schedule with this index; owned by the table. */
const char *fk_digest_name(guint index);

/* Plays the schedule with this index from its beginning to its end. What goes into the checksum goes to
 * `text` as well, a line an output, so that the first difference of two runs can be seen; NULL: it doesn't.
 * The caller clears the result. */
FkDigest fk_digest_play(guint index, FILE *text);

/* `flaxknot-sim digest`, with its own options. Prints the table. */
int fk_sim_digest(int argc, char **argv);
