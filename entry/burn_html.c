#include <math.h>

#include "entry/burn_private.h"

#define PLOT_WIDTH 720
#define PLOT_HEIGHT 120
#define PLOT_POINTS 72 /* hours of 3 days */
#define MIN_PLOT_RATE 2.0

static const char page_head[] =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Error budgets</title><style>"
    "body{font:14px sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}td,th{padding:.2em 1em;text-align:right;"
    "border-bottom:1px solid #ccc}th:first-child,td:first-child{text-align:"
    "left}svg{background:#f6f6f6}</style></head><body>"
    "<h1>Error budgets</h1>";

/* Appends the burn rate of each hour of the last 3 days as a line plot. */
static void
append_plot(const series_t *series, int64_t minute, double target, GString *out)
{
	double rates[PLOT_POINTS];
	double top = MIN_PLOT_RATE;
	double limit;

	for (int i = 0; i < PLOT_POINTS; i++) {
		int64_t last = minute - (int64_t)(PLOT_POINTS - 1 - i) * 60;
		sum_t sum = {0};

		if (series != NULL)
			burn_sum(series, last, 60, &sum);
		rates[i] = burn_rate(&sum, target);
		top = fmax(top, rates[i]);
	}
	limit = PLOT_HEIGHT * (1 - 1 / top);
	g_string_append_printf(out,
	    "<svg width=\"%d\" height=\"%d\" role=\"img\">"
	    "<title>burn rate of each hour, 3 days</title>"
	    "<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#c60\" "
	    "stroke-dasharray=\"4\"/><polyline fill=\"none\" stroke=\"#06c\" "
	    "points=\"",
	    PLOT_WIDTH, PLOT_HEIGHT, PLOT_WIDTH, limit, limit);
	for (int i = 0; i < PLOT_POINTS; i++)
		g_string_append_printf(out, "%.1f,%.1f ",
		    (double)i * PLOT_WIDTH / (PLOT_POINTS - 1),
		    PLOT_HEIGHT * (1 - rates[i] / top));
	g_string_append_printf(out,
	    "\"/><text x=\"4\" y=\"14\">%.1f</text></svg>"
	    "<p>dashed: burn rate 1, which uses the budget exactly</p>",
	    top);
}

/* Appends the windows of one objective as a table. */
static void
append_windows(const json_t *windows, GString *out)
{
	const char *name;
	json_t *window;

	g_string_append(out,
	    "<table><tr><th>window</th><th>good</th><th>bad</th>"
	    "<th>burn rate</th></tr>");
	json_object_foreach ((json_t *)windows, name, window) {
		g_string_append_printf(out,
		    "<tr><td>%s</td><td>%lld</td><td>%lld</td><td>%.2f</td>"
		    "</tr>",
		    name,
		    (long long)json_integer_value(
			json_object_get(window, "good")),
		    (long long)json_integer_value(
			json_object_get(window, "bad")),
		    json_number_value(json_object_get(window, "burn_rate")));
	}
	g_string_append(out, "</table>");
}

static void
append_text(GString *out, const char *format, const char *text)
{
	char *escaped = g_markup_printf_escaped(format, text);

	g_string_append(out, escaped);
	g_free(escaped);
}

/* Appends the report as one HTML page without any outside parts. */
void
burn_html(
    const burn_t *burn, const json_t *objectives, int64_t now_ms, GString *out)
{
	json_t *report = burn_report(burn, objectives, now_ms);
	json_t *entry;
	size_t index;

	g_string_append(out, page_head);
	json_array_foreach (
	    json_object_get(report, "objectives"), index, entry) {
		const char *name =
		    json_string_value(json_object_get(entry, "objective"));
		const char *cause =
		    json_string_value(json_object_get(entry, "worst_cause"));

		append_text(out, "<h2>%s</h2>", name);
		g_string_append_printf(out, "<p>target %.6g, alert: ",
		    json_number_value(json_object_get(entry, "target")));
		append_text(out, "%s",
		    json_string_value(json_object_get(entry, "alert")));
		append_text(out, "; most of the budget went to: %s</p>",
		    cause[0] != '\0' ? cause : "nothing");
		append_windows(json_object_get(entry, "windows"), out);
		append_plot(g_hash_table_lookup(burn->series, name),
		    burn->minute,
		    json_number_value(json_object_get(entry, "target")), out);
	}
	g_string_append(out, "</body></html>\n");
	json_decref(report);
}
