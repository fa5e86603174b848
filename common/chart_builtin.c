#include "common/chart.h"

/*
 * The chart files are placed into the program by the assembler, so that the
 * daemon needs no file beside it at run time.
 */
#define EMBED(name)                                    \
	__asm__(".section .rodata\n"                   \
		".global chart_text_" #name "\n"       \
		"chart_text_" #name ":\n"              \
		".incbin \"charts/" #name ".chart\"\n" \
		".global chart_end_" #name "\n"        \
		"chart_end_" #name ":\n"               \
		".byte 0\n"                            \
		".previous\n");                        \
	extern const char chart_text_##name[];         \
	extern const char chart_end_##name[];

EMBED(job)
EMBED(task)
EMBED(worker)
EMBED(instance)
EMBED(patch)

#define ENTRY(name)                                              \
	{                                                        \
#name, chart_text_##name, chart_end_##name, NULL \
	}

static struct {
	const char *name;
	const char *text;
	const char *end;
	chart_t *chart;
} builtins[] = {
    ENTRY(job),
    ENTRY(task),
    ENTRY(worker),
    ENTRY(instance),
    ENTRY(patch),
};

/*
 * Parses every built-in chart once.  Returns a negative errno value and fills
 * err when one of them is not well formed.  Call it before any thread starts.
 */
int
chart_check_builtin(err_t *err)
{
	for (size_t i = 0; i < G_N_ELEMENTS(builtins); i++) {
		str_t text = {builtins[i].text,
		    (size_t)(builtins[i].end - builtins[i].text)};

		if (builtins[i].chart == NULL)
			builtins[i].chart =
			    chart_parse(builtins[i].name, text, err);
		if (builtins[i].chart == NULL)
			return err != NULL ? err->code : -1;
	}
	return 0;
}

/* Returns the built-in chart of that name, NULL when there is none. */
const chart_t *
chart_builtin(const char *name)
{
	if (chart_check_builtin(NULL) != 0)
		return NULL;
	for (size_t i = 0; i < G_N_ELEMENTS(builtins); i++) {
		if (g_strcmp0(builtins[i].name, name) == 0)
			return builtins[i].chart;
	}
	return NULL;
}

/* Returns the name of the built-in chart at index, NULL past the last one. */
const char *
chart_builtin_name(size_t index)
{
	return index < G_N_ELEMENTS(builtins) ? builtins[index].name : NULL;
}
