/* The recovery experiment: a share of the machines is lost at once, at several sizes of the cluster. */
#pragma once
#include <glib.h>

/* Exit statuses of the subcommands. */
enum { FK_SIM_EXIT_OK, FK_SIM_EXIT_FAILED, FK_SIM_EXIT_USAGE };

/* `flaxknot-sim recovery`, with its own options. Prints a table to stdout. */
int fk_sim_recovery(int argc, char **argv);
