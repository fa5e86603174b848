#pragma once

#include <glib.h>

#include "policy/cells.h"

#define CELLS_LEVELS 6 /* blocks of 1, 2, 4, 8, 16 and 32 accelerators */
#define CELLS_NONE (-1)

/*
 * Selects the accelerators and slots that a search may use.  All views except
 * VIEW_ALL leave out failed and excluded workers; all leave out removed workers
 * and workers without a free slot.
 */
typedef enum {
	VIEW_UNRESERVED,   /* unused, not held, and outside reserved cells */
	VIEW_FREE,         /* unused and not held; may be in a reserved cell */
	VIEW_UNGUARANTEED, /* no guaranteed job and outside reserved cells */
	VIEW_ALL,          /* every accelerator, failed ones too */
	VIEW_ASSUMED, /* VIEW_FREE plus the jobs that a search assumes ended */
	VIEW_COUNT,
} cells_view_t;

/*
 * Counts the available blocks of a worker or a rack.  Blocks are aligned: block
 * i of level l starts at accelerator i << l.
 */
typedef struct {
	int total;                 /* available accelerators */
	int blocks[CELLS_LEVELS];  /* fully available blocks per level */
	int maximal[CELLS_LEVELS]; /* of these, not in a larger one */
} block_counts_t;

typedef struct {
	char *id;
	int rack;
	int accelerators;
	int slots;
	bool present; /* false after cells_remove_worker */
	bool usable;
	bool excluded;       /* excluded from searches for now */
	uint32_t used;       /* by any job */
	uint32_t guaranteed; /* by jobs bound to a unit */
	uint32_t reserved;   /* by cells of units, idle or not */
	int slots_used;
	int slots_guaranteed;
	uint32_t held;         /* by holds; not in VIEW_FREE */
	uint32_t assumed_free; /* assumed free in VIEW_ASSUMED */
	int slots_assumed_free;
	int slots_reserved; /* one per cell without a guaranteed job */
	uint32_t avail[VIEW_COUNT];
	int slots_left[VIEW_COUNT];
	GPtrArray *jobs; /* job_t; once per member on the worker */
} worker_t;

typedef struct {
	char *name;
	GArray *workers; /* int */
	block_counts_t counts[VIEW_COUNT];
} rack_t;

typedef struct {
	int worker;
	uint32_t mask;
} place_t;

/*
 * Accelerators of one worker in which a search may place members: part of a
 * cell, or a place of a hold.
 */
typedef struct {
	int worker;
	uint32_t mask;
	bool has_reserved_slot; /* for the first member placed here */
	int spare_slots;        /* usable besides the reserved one */
} pool_area_t;

typedef struct {
	char *id;
	const char *workspace;   /* interned */
	bool started_guaranteed; /* requested to be; may be unbound */
	bool guaranteed;         /* bound to a unit */
	int members;
	int accelerators;
	adjacency_t adjacency;
	int64_t lost_ms; /* work lost if stopped now */
	place_t *places;
} job_t;

/*
 * The cell of one member of a unit (cells_t is the whole domain); worker is
 * CELLS_NONE while unplaced.
 */
typedef struct {
	int worker;
	uint32_t mask;
	int running; /* job members bound to the cell */
} cell_t;

/*
 * One of the count units of a guarantee: cells in which the workspace can
 * run one job of the guaranteed shape.
 */
typedef struct {
	int guarantee_index;
	int members;
	int accelerators;
	adjacency_t adjacency;
	const char *workspace; /* interned */
	cell_t *cells;
	int running;       /* job members bound to its cells */
	bool was_complete; /* after the last placement or in the old set */
} unit_t;

typedef struct {
	const char *workspace; /* interned */
	int count;
	int members;
	int accelerators;
	adjacency_t adjacency;
} guarantee_t;

struct cells_t {
	GPtrArray *workers;     /* worker_t; indices are stable */
	GPtrArray *racks;       /* rack_t */
	GHashTable *worker_ids; /* name to index + 1; NULL means unknown */
	GHashTable *rack_ids;   /* likewise */
	GHashTable *jobs;
	GHashTable *holds;  /* hold name to GArray of place_t */
	GArray *guarantees; /* guarantee_t */
	GPtrArray *units;   /* unit_t */
};

/* cells_search.c */
int cells_level(int accelerators);
uint32_t cells_low_mask(int accelerators);
uint32_t cells_choose_block(uint32_t avail, int accelerators, uint32_t prefer);
worker_t *cells_worker_at(const cells_t *cells, int worker);
void cells_set_avail(
    const cells_t *cells, int worker, cells_view_t view, uint32_t mask);
void cells_update_views(const cells_t *cells, int worker);
int cells_search(const cells_t *cells, cells_view_t view, int members,
    int accelerators, adjacency_t adjacency, int rack, place_t *places);
bool cells_fit_on_worker(
    uint32_t avail, int worker, int members, int accelerators, place_t *places);
int cells_search_pool(const cells_t *cells, const pool_area_t *pool, int count,
    const cells_request_t *shape, place_t *places);

/* cells_units.c */
void cells_unit_free(void *unit);
GPtrArray *cells_units_create(const GArray *guarantees);
void cells_unit_set_cell(
    const cells_t *cells, unit_t *unit, int member, const place_t *place);
void cells_unit_clear_cell(const cells_t *cells, unit_t *unit, int member);
void cells_unit_clear(const cells_t *cells, unit_t *unit);
void cells_unit_add_member(
    const cells_t *cells, unit_t *unit, cell_t *cell, int sign);
bool cells_unit_is_complete(const unit_t *unit);
bool cells_unit_has_shape(
    const unit_t *unit, int members, int accelerators, adjacency_t adjacency);
bool cells_unit_can_hold(
    const unit_t *unit, int members, int accelerators, adjacency_t adjacency);
adjacency_t cells_effective_adjacency(int members, adjacency_t adjacency);
cell_t *cells_units_save(GPtrArray *order);
void cells_units_restore(
    const cells_t *cells, GPtrArray *order, const cell_t *saved);
void cells_place_incomplete_units(cells_t *cells);
int cells_first_unplaceable(const cells_t *cells, const GArray *guarantees);

/* cells_bind.c */
int cells_bind(cells_t *cells, job_t *job);
void cells_unbind(cells_t *cells, job_t *job);
bool cells_cover_job(const cells_t *cells, const job_t *job);
void cells_apply_guarantees(cells_t *cells, GArray *guarantees);

/* cells_find.c */
void cells_copy_places(const cells_t *cells, const place_t *from, int count,
    cells_place_t *places);

/* cells.c */
int cells_worker_find(const cells_t *cells, const char *id);
void cells_job_free(void *job);
