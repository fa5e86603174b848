#include "common/json_place.h"

#include <glib.h>
#include <string.h>

/* Deeper texts are not parsed by jansson either. */
#define MAX_DEPTH 2048

typedef struct {
	str_t text;
	size_t at;
} scanner_t;

static char
peek(const scanner_t *scanner)
{
	return scanner->at < scanner->text.len ? scanner->text.data[scanner->at]
					       : '\0';
}

/* Returns the next character that is neither blank, comma nor colon. */
static char
next_token(scanner_t *scanner)
{
	while (
	    peek(scanner) != '\0' && strchr(" \t\r\n,:", peek(scanner)) != NULL)
		scanner->at++;
	return peek(scanner);
}

/* Skips a string and returns what stands between its quotes. */
static str_t
skip_string(scanner_t *scanner)
{
	size_t start = ++scanner->at;
	str_t inside;

	while (peek(scanner) != '\0' && peek(scanner) != '"')
		scanner->at += peek(scanner) == '\\' ? 2 : 1;
	scanner->at = MIN(scanner->at, scanner->text.len);
	inside = (str_t){scanner->text.data + start, scanner->at - start};
	scanner->at = MIN(scanner->at + 1, scanner->text.len);
	return inside;
}

static void
skip_value(scanner_t *scanner)
{
	int depth = 0;

	do {
		switch (next_token(scanner)) {
		case '\0':
			return;
		case '"':
			skip_string(scanner);
			continue;
		case '{':
		case '[':
			depth++;
			break;
		case '}':
		case ']':
			depth--;
			break;
		default:
			while (peek(scanner) != '\0' &&
			       strchr(" \t\r\n,:]}", peek(scanner)) == NULL)
				scanner->at++;
			continue;
		}
		scanner->at++;
	} while (depth > 0 && depth < MAX_DEPTH);
}

/* Moves to the member of an object or the element of an array. */
static bool
enter(scanner_t *scanner, str_t token)
{
	char open = next_token(scanner);
	long long index = -1;
	long long wanted = -1;

	if (open != '{' && open != '[')
		return false;
	if (open == '[' && str_to_int64(token, &wanted) != 0)
		return false;
	scanner->at++;
	while (next_token(scanner) != '\0' && peek(scanner) != '}' &&
	       peek(scanner) != ']') {
		bool found;

		if (open == '{')
			found = str_equal(skip_string(scanner), token);
		else
			found = ++index == wanted;
		next_token(scanner);
		if (found)
			return true;
		skip_value(scanner);
	}
	return false;
}

static int
line_at(const scanner_t *scanner)
{
	int line = 1;

	for (size_t i = 0; i < scanner->at; i++)
		line += scanner->text.data[i] == '\n';
	return line;
}

/* Keys with escapes in the pointer or in the text are not found. */
int
json_place_line(str_t text, const char *pointer)
{
	scanner_t scanner = {text, 0};
	str_t rest = str_from(pointer[0] == '/' ? pointer + 1 : "");
	int line = 0;

	while (pointer[0] == '/') {
		str_t token = rest;
		str_t tail = {"", 0};
		bool more = str_cut(rest, '/', &token, &tail);

		if (!enter(&scanner, token))
			break;
		line = line_at(&scanner);
		if (!more)
			break;
		rest = tail;
	}
	return line;
}
