#pragma once

#include <glib.h>
#include <stdint.h>

/*
 * Applies random commands to a machine and checks after each: configuration
 * versions never decrease, a patch id has one outcome, a key has one open
 * claim, an attempt has one start and no accelerator is used by two attempts.
 * If reload_every > 0, replaces the machine by one loaded from its snapshot
 * after every reload_every commands.  Returns the final snapshot, which the
 * caller frees.
 */
GByteArray *machine_random_run(uint32_t seed, int commands, int reload_every);
