#pragma once
/* `flaxknot-sim scale`: real controllers against hollow workers, in real time on loopback. */
int fk_sim_scale(int argc, char **argv);
