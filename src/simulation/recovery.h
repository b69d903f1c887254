/* The growth experiment: a share of the machines is lost at once, at several sizes of the fleet. */
#pragma once
#include <glib.h>

/* Exit statuses of the subcommands. */
enum { FK_LAB_OK, FK_LAB_FAILED, FK_LAB_USAGE };

/* `flaxknot-sim recovery`, with its own options. Prints a table to stdout. */
int fk_lab_recovery(int argc, char **argv);
