#pragma once

#include <glib.h>

#include "policy/cells.h"

#define CELLS_LEVELS 6 /* blocks of 1, 2, 4, 8, 16 and 32 accelerators */
#define CELLS_NONE (-1)

/* Which accelerators of a worker a search may use. */
typedef enum {
	VIEW_OPEN, /* nothing runs there and nothing is reserved */
	VIEW_FREE, /* nothing runs there */
	VIEW_HARD, /* no guaranteed work and nothing reserved */
	VIEW_ALL,  /* every accelerator, failed ones too */
	VIEW_PLAN, /* free, or used by work that a plan supposes ended */
	VIEW_COUNT,
} cells_view_t;

/* Blocks are aligned: block i of level l starts at accelerator i << l. */
typedef struct {
	int total;                 /* available accelerators */
	int blocks[CELLS_LEVELS];  /* wholly available blocks of each level */
	int maximal[CELLS_LEVELS]; /* those that no larger one contains */
} cells_index_t;

typedef struct {
	char *id;
	int rack;
	int accelerators;
	int slots;
	bool present;
	bool usable;
	bool avoided;        /* left out of searches for the time being */
	uint32_t used;       /* by any work */
	uint32_t guaranteed; /* by guaranteed work */
	uint32_t reserved;   /* cells of guarantees, used or not */
	int slots_used;
	int slots_guaranteed;
	uint32_t held;    /* by holds, for nobody to use */
	uint32_t planned; /* supposed to be free in VIEW_PLAN */
	int slots_planned;
	int slots_reserved; /* one for each cell without work */
	uint32_t avail[VIEW_COUNT];
	int slots_left[VIEW_COUNT];
	GPtrArray *jobs; /* job_t, with a member here; once for each member */
} worker_t;

typedef struct {
	char *name;
	GArray *workers; /* int */
	cells_index_t index[VIEW_COUNT];
} rack_t;

typedef struct {
	int worker;
	uint32_t mask;
} place_t;

/* What a workspace may use of one cell. */
typedef struct {
	int worker;
	uint32_t mask;
	bool has_slot; /* a slot is reserved for the first member */
	int spare;     /* slots of the worker that nothing reserves */
} pool_t;

typedef struct {
	char *id;
	const char *workspace; /* interned */
	bool claims_guarantee; /* started as guaranteed work */
	bool guaranteed;       /* bound to a unit */
	int members;
	int accelerators;
	adjacency_t adjacency;
	int64_t lost_ms; /* work lost when it is stopped now */
	place_t *places;
} job_t;

/* One cell of a unit; worker is CELLS_NONE while it is not placed. */
typedef struct {
	int worker;
	uint32_t mask;
	int work; /* guaranteed members inside */
} cell_t;

/* One instance of a guaranteed shape: a virtual private cell. */
typedef struct {
	int guarantee; /* index */
	int members;
	int accelerators;
	adjacency_t adjacency;
	const char *workspace; /* interned */
	cell_t *cells;
	int work;      /* guaranteed members inside */
	bool honoured; /* had its cells before the present change */
} unit_t;

typedef struct {
	const char *workspace; /* interned */
	int count;
	int members;
	int accelerators;
	adjacency_t adjacency;
} guarantee_t;

struct cells_t {
	GPtrArray *workers; /* worker_t; positions are stable */
	GPtrArray *racks;   /* rack_t */
	GHashTable *worker_ids;
	GHashTable *rack_ids;
	GHashTable *jobs;
	GHashTable *holds;  /* GArray of place_t by name */
	GArray *guarantees; /* guarantee_t */
	GPtrArray *units;   /* unit_t */
};

/* cells_search.c */
int cells_level(int accelerators);
uint32_t cells_full_mask(int accelerators);
uint32_t cells_block(uint32_t avail, int accelerators, uint32_t prefer);
worker_t *cells_worker_at(const cells_t *cells, int worker);
void cells_set_avail(
    const cells_t *cells, int worker, cells_view_t view, uint32_t mask);
void cells_refresh(const cells_t *cells, int worker);
int cells_search(const cells_t *cells, cells_view_t view, int members,
    int accelerators, adjacency_t adjacency, int rack, place_t *places);
bool cells_fit_on_worker(
    uint32_t avail, int worker, int members, int accelerators, place_t *places);
int cells_search_within(const cells_t *cells, const pool_t *pool, int count,
    const cells_shape_t *shape, place_t *places);

/* cells_units.c */
void cells_unit_free(void *unit);
GPtrArray *cells_units_create(const GArray *guarantees);
void cells_unit_set_cell(
    const cells_t *cells, unit_t *unit, int member, const place_t *place);
void cells_unit_clear_cell(const cells_t *cells, unit_t *unit, int member);
void cells_unit_clear(const cells_t *cells, unit_t *unit);
void cells_unit_work(
    const cells_t *cells, unit_t *unit, cell_t *cell, int sign);
bool cells_unit_is_whole(const unit_t *unit);
bool cells_unit_same(
    const unit_t *unit, int members, int accelerators, adjacency_t adjacency);
bool cells_unit_holds(
    const unit_t *unit, int members, int accelerators, adjacency_t adjacency);
adjacency_t cells_tightest(int members, adjacency_t adjacency);
cell_t *cells_units_save(GPtrArray *order);
void cells_units_load(
    const cells_t *cells, GPtrArray *order, const cell_t *saved);
void cells_repair(cells_t *cells);
int cells_fit_empty(const cells_t *cells, const GArray *guarantees);

/* cells_bind.c */
int cells_bind(cells_t *cells, job_t *job);
void cells_unbind(cells_t *cells, job_t *job);
bool cells_is_inside(const cells_t *cells, const job_t *job);
void cells_replace_units(cells_t *cells, GArray *guarantees);

/* cells_find.c */
void cells_copy_places(const cells_t *cells, const place_t *from, int count,
    cells_place_t *places);

/* cells.c */
int cells_worker_find(const cells_t *cells, const char *id);
void cells_job_free(void *job);
