#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Shares out the memory of a process among those who hold bytes for others, so
 * that none of them can take what another needs.  Bytes are taken before they
 * are read and given back when they are let go.  Load pattern: many clients
 * that each make the process hold as much as one request may.
 */
typedef struct mem_budget_t mem_budget_t;
typedef struct mem_share_t mem_share_t;

/* What the HTTP library and the loop keep for one connection. */
#define MEM_CONNECTION_BYTES (18 * 1024)

typedef enum {
	MEM_CALLERS,   /* bodies and answers of callers */
	MEM_OPERATORS, /* those of operators and announcements */
	MEM_READINESS, /* those of health checks and metrics */
	MEM_HOLDERS,
} mem_holder_t;

/* Bytes that the process may use: of its control group or the machine. */
int64_t mem_budget_limit(void);

/* Without a budget, NULL, nothing is counted and connections are not bounded.
 */
mem_budget_t *mem_budget_create(int64_t total_bytes);
void mem_budget_destroy(mem_budget_t *budget);
/* Connections for which a holder's part of the memory suffices. */
unsigned mem_budget_connections(
    const mem_budget_t *budget, mem_holder_t holder);

mem_share_t *mem_budget_share(mem_budget_t *budget, mem_holder_t holder);
/* Raises a share so that it holds the largest thing that it must. */
void mem_share_at_least(mem_share_t *share, size_t bytes);
bool mem_share_take(mem_share_t *share, size_t bytes);
void mem_share_give(mem_share_t *share, size_t bytes);
/* Whether so many bytes could be taken now. */
bool mem_share_has(const mem_share_t *share, size_t bytes);
size_t mem_share_held(const mem_share_t *share);

/*
 * Notes that so much memory was freed in small pieces.  Once it is a lot the
 * heap is handed back to the system; the allocator alone keeps what lies below
 * anything still in use.
 */
void mem_note_freed(size_t bytes);
/* Hands the heap back if mem_note_freed has counted enough. */
void mem_trim(void);
/* Bounds what the allocator keeps; to be called at the start of a process. */
void mem_trim_setup(void);
