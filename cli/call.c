#include <curl/curl.h>
#include <string.h>

#include "cli/cli.h"

#define ROUNDS 3 /* over all URLs; a new leader is there within 2 s */
#define ROUND_PAUSE_US 1000000
#define CONNECT_TIMEOUT_MS 2000L
#define CALL_TIMEOUT_MS 10000L /* above the 5 s that a proposal may take */
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

static size_t
receive(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static struct curl_slist *
make_headers(const options_t *options)
{
	struct curl_slist *headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	char *line;

	if (options->key == NULL)
		return headers;
	line = g_strdup_printf("Authorization: Bearer %s", options->key);
	headers = curl_slist_append(headers, line);
	g_free(line);
	return headers;
}

/* Makes one call at one URL; returns the HTTP status, 0 without an answer. */
static long
call_once(const options_t *options, const char *base, const char *method,
    const char *path, const char *request, GString *body)
{
	struct curl_slist *headers = make_headers(options);
	CURL *curl = curl_easy_init();
	char *url = g_strconcat(base, path, NULL);
	long status = 0;

	g_string_truncate(body, 0);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (request != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(url);
	return status;
}

/* See cli.h. */
void
call_server(const options_t *options, const char *method, const char *path,
    const char *request, long *status, char **body)
{
	GString *answer = g_string_new("");
	GString *best = g_string_new("");
	long best_status = 0;

	for (int round = 0; round < ROUNDS; round++) {
		if (round > 0)
			g_usleep(ROUND_PAUSE_US);
		for (char **url = options->urls; *url != NULL; url++) {
			long now = call_once(
			    options, *url, method, path, request, answer);

			if (now == 0)
				continue;
			best_status = now;
			g_string_assign(best, answer->str);
			if (now != STATUS_UNAVAILABLE && now != STATUS_TIMEOUT)
				goto done;
		}
	}
done:
	g_string_free(answer, TRUE);
	*status = best_status;
	*body = g_string_free(best, FALSE);
}
