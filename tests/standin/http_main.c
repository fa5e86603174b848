/* standin-http METHOD URL BODY [HEADER...]: one HTTP call for scripts. */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#define TIMEOUT_MS 15000

int
main(int argc, char **argv)
{
	struct curl_slist *headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	long status = 0;
	CURL *curl;
	CURLcode code;

	if (argc < 4) {
		fprintf(
		    stderr, "usage: standin-http METHOD URL BODY [HEADER]\n");
		return EXIT_FAILURE;
	}
	for (int i = 4; i < argc; i++)
		headers = curl_slist_append(headers, argv[i]);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	curl = curl_easy_init();
	curl_easy_setopt(curl, CURLOPT_URL, argv[2]);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, argv[1]);
	if (argv[3][0] != '\0')
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, argv[3]);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	fprintf(stderr, "%ld", code == CURLE_OK ? status : 0L);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return code == CURLE_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
