/* `flaxknot-sim scale`: real controllers against simulated workers, in real time on loopback. */
#pragma once

/* Returns an exit status. */
int fk_sim_scale(int argc, char **argv);
