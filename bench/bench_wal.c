#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "state/wal.h"

#define SAMPLES 1000
#define ENTRY_BYTES 256
#define BATCH 32
#define SNAPSHOT_BYTES (1024 * 1024)

static err_t error;

static void
require(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "bench_wal: %s: %s\n", what, error.text);
	exit(EXIT_FAILURE);
}

/* The design page states no targets for the log, so every line is info. */
static void
report(const char *name, double value, const char *unit)
{
	printf("%s %.2f %s - info\n", name, value, unit);
	fflush(stdout);
}

static void
count_entry(void *ctx, const raft_entry_t *entry)
{
	(*(uint64_t *)ctx)++;
}

static void
remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(folder);
}

static void
append(wal_t *wal, uint64_t index)
{
	static char data[ENTRY_BYTES];
	raft_entry_t entry = {
	    .index = index, .term = 1, .data = {sizeof(data), data}};

	memset(data, (int)index, sizeof(data));
	require(wal_append(wal, &entry, &error) == 0, "append");
}

static wal_t *
open_folder(const char *folder, uint64_t *entries)
{
	raft_saved_t saved;
	wal_t *wal;

	*entries = 0;
	wal = wal_open(folder, &saved, count_entry, entries, &error);
	require(wal != NULL, "open");
	xdr_free((xdrproc_t)xdr_raft_members_t, &saved.members);
	return wal;
}

static void
report_latency(const char *name, const histogram_t *histogram)
{
	char line[64];

	snprintf(line, sizeof(line), "%s_median", name);
	report(line, (double)histogram_quantile(histogram, 0.5), "us");
	snprintf(line, sizeof(line), "%s_p99", name);
	report(line, (double)histogram_quantile(histogram, 0.99), "us");
}

/*
 * Compares append and sync with a bare write of as many bytes and sync.  The
 * two alternate, so that other load on the disk hits both.
 */
static void
bench_sync(const char *parent, uint64_t entries, const char *suffix)
{
	char *folder = g_build_filename(parent, "sync", NULL);
	char *bare = g_build_filename(parent, "bare", NULL);
	histogram_t *wal_us = histogram_create();
	histogram_t *bare_us = histogram_create();
	char *data = g_malloc0(entries * ENTRY_BYTES);
	char name[64];
	uint64_t unused;
	wal_t *wal = open_folder(folder, &unused);
	int fd = open(bare, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	uint64_t index = 0;

	require(fd >= 0, "create");
	for (int i = 0; i < SAMPLES; i++) {
		int64_t start_us = clock_mono_us();

		for (uint64_t j = 0; j < entries; j++)
			append(wal, ++index);
		require(wal_sync(wal, &error) == 0, "sync");
		histogram_record(wal_us, clock_mono_us() - start_us);
		start_us = clock_mono_us();
		require(write(fd, data, entries * ENTRY_BYTES) ==
			    (ssize_t)(entries * ENTRY_BYTES),
		    "bare write");
		require(fdatasync(fd) == 0, "bare sync");
		histogram_record(bare_us, clock_mono_us() - start_us);
	}
	snprintf(name, sizeof(name), "wal_append_sync_%s", suffix);
	report_latency(name, wal_us);
	snprintf(name, sizeof(name), "bare_write_sync_%s", suffix);
	report_latency(name, bare_us);
	snprintf(name, sizeof(name), "wal_to_bare_%s_median", suffix);
	report(name,
	    (double)histogram_quantile(wal_us, 0.5) /
		(double)histogram_quantile(bare_us, 0.5),
	    "ratio");
	close(fd);
	wal_close(wal);
	g_unlink(bare);
	remove_folder(folder);
	histogram_destroy(wal_us);
	histogram_destroy(bare_us);
	g_free(data);
	g_free(bare);
	g_free(folder);
}

/* Time to open a log of so many entries, or their snapshot. */
static void
bench_open(const char *parent, uint64_t entries, bool with_snapshot)
{
	char *folder = g_build_filename(parent, "open", NULL);
	raft_members_t members = {0};
	uint64_t restored;
	wal_t *wal = open_folder(folder, &restored);
	int64_t start_us;
	char name[64];

	for (uint64_t i = 1; i <= entries; i++) {
		append(wal, i);
		if (i % 100 == 0)
			require(wal_sync(wal, &error) == 0, "sync");
	}
	require(wal_sync(wal, &error) == 0, "sync");
	if (with_snapshot && entries > 0) {
		uint8_t *data = g_malloc0(SNAPSHOT_BYTES);

		require(wal_save_snapshot(wal, entries, 1, &members, data,
			    SNAPSHOT_BYTES, &error) == 0,
		    "snapshot");
		g_free(data);
	}
	wal_close(wal);
	start_us = clock_mono_us();
	wal = open_folder(folder, &restored);
	snprintf(name, sizeof(name), "wal_open_%" PRIu64 "%s", entries,
	    with_snapshot ? "_with_snapshot" : "");
	report(
	    name, (double)(clock_mono_us() - start_us) / CLOCK_US_PER_MS, "ms");
	require(restored == (with_snapshot ? 0 : entries), "entries");
	wal_close(wal);
	remove_folder(folder);
	g_free(folder);
}

/* Works below $BENCH_FOLDER, else the present folder: not on a memory disk. */
int
main(void)
{
	static const uint64_t sizes[] = {0, 1000, 10000};
	const char *base = getenv("BENCH_FOLDER");
	char *parent = g_build_filename(
	    base != NULL ? base : ".", "bench-wal-XXXXXX", NULL);

	log_set_level(LOG_ERR);
	require(g_mkdtemp(parent) != NULL, "create folder");
	bench_sync(parent, 1, "1");
	bench_sync(parent, BATCH, "32");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bench_open(parent, sizes[i], false);
		if (sizes[i] > 0)
			bench_open(parent, sizes[i], true);
	}
	g_rmdir(parent);
	g_free(parent);
	return EXIT_SUCCESS;
}
