#include "sched/task_index.h"

#include <string.h>

/* Prime, so that neighbouring tasks get different hashes. */
#define HASH_FACTOR 31u

typedef struct {
	task_name_t task;
	uint32_t run;
	member_t *member;
} entry_t;

struct task_index_t {
	const worker_t *worker;
	entry_t *entries;
	GHashTable *table; /* set of entry_t */
};

static guint
hash_entry(gconstpointer key)
{
	const entry_t *entry = key;
	guint hash = g_str_hash(entry->task.job);

	hash = hash * HASH_FACTOR + (guint)entry->task.occurrence;
	hash = hash * HASH_FACTOR + (guint)entry->task.step;
	hash = hash * HASH_FACTOR + (guint)entry->task.index;
	return hash * HASH_FACTOR + entry->run;
}

static gboolean
equal_entries(gconstpointer a, gconstpointer b)
{
	const entry_t *first = a;
	const entry_t *second = b;

	return first->run == second->run &&
	       first->task.index == second->task.index &&
	       first->task.step == second->task.step &&
	       first->task.occurrence == second->task.occurrence &&
	       strcmp(first->task.job, second->task.job) == 0;
}

/* Indexes the present members of the worker, whose runs must not be freed. */
task_index_t *
task_index_create(const worker_t *worker)
{
	task_index_t *index = g_new0(task_index_t, 1);
	guint count = worker->members->len;

	index->worker = worker;
	index->entries = g_new0(entry_t, count);
	index->table = g_hash_table_new(hash_entry, equal_entries);
	for (guint i = 0; i < count; i++) {
		member_t *member = g_ptr_array_index(worker->members, i);
		entry_t *entry = &index->entries[i];

		*entry =
		    (entry_t){member_task(member), member->run->number, member};
		g_hash_table_add(index->table, entry);
	}
	return index;
}

void
task_index_destroy(task_index_t *index)
{
	g_hash_table_unref(index->table);
	g_free(index->entries);
	g_free(index);
}

/* Returns the member, or NULL if there is none on the worker any more. */
member_t *
task_index_find(
    const task_index_t *index, const task_name_t *task, uint32_t run)
{
	entry_t key = {*task, run, NULL};
	const entry_t *entry = g_hash_table_lookup(index->table, &key);

	if (entry == NULL || entry->member->worker != index->worker)
		return NULL;
	return entry->member;
}
