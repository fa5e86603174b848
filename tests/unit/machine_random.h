#pragma once

#include <glib.h>
#include <stdint.h>

/*
 * Applies random commands to a machine and checks after each: versions only
 * rise, a patch id has one outcome, a key has one open claim, an attempt has
 * one start and no accelerator is taken twice.  With reload_every > 0 the
 * machine is replaced by one loaded from its snapshot that often.  Returns the
 * last snapshot.
 */
GByteArray *machine_random_run(uint32_t seed, int commands, int reload_every);
