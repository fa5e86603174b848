#include "common/str.h"

#include <errno.h>
#include <string.h>

/* Wraps a NUL-terminated string; NULL gives the empty string. */
str_t
str_from(const char *text)
{
	return (str_t){text, text != NULL ? strlen(text) : 0};
}

/* Compares two strings byte by byte. */
bool
str_equal(str_t a, str_t b)
{
	return a.len == b.len &&
	       (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

/* Tells whether s begins with prefix. */
bool
str_starts(str_t s, str_t prefix)
{
	if (s.len < prefix.len)
		return false;
	return prefix.len == 0 || memcmp(s.data, prefix.data, prefix.len) == 0;
}

/*
 * Splits s at the first separator into head and tail.  Without a separator
 * head is all of s, tail is empty and the result is false.
 */
bool
str_cut(str_t s, char separator, str_t *head, str_t *tail)
{
	const char *at;

	at = s.len > 0 ? memchr(s.data, separator, s.len) : NULL;
	if (at == NULL) {
		*head = s;
		*tail = (str_t){NULL, 0};
		return false;
	}
	*head = (str_t){s.data, (size_t)(at - s.data)};
	*tail = (str_t){at + 1, s.len - head->len - 1};
	return true;
}

/*
 * Copies s into buffer with a closing NUL.  Returns -ENAMETOOLONG when it does
 * not fit, -EINVAL when s holds a NUL; the buffer is then empty.
 */
int
str_copy(str_t s, char *buffer, size_t size)
{
	buffer[0] = '\0';
	if (s.len >= size)
		return -ENAMETOOLONG;
	if (s.len == 0)
		return 0;
	if (memchr(s.data, '\0', s.len) != NULL)
		return -EINVAL;
	memcpy(buffer, s.data, s.len);
	buffer[s.len] = '\0';
	return 0;
}

/*
 * Reads a decimal integer that fills all of s.  Returns -EINVAL for anything
 * else and -ERANGE when it exceeds 18 digits.
 */
int
str_to_int64(str_t s, long long *value)
{
	const size_t max_digits = 18; /* below the range of long long */
	long long sum = 0;
	size_t i = 0;
	bool negative = false;

	if (s.len > 0 && s.data[0] == '-') {
		negative = true;
		i = 1;
	}
	if (i == s.len)
		return -EINVAL;
	if (s.len - i > max_digits)
		return -ERANGE;
	for (; i < s.len; i++) {
		if (s.data[i] < '0' || s.data[i] > '9')
			return -EINVAL;
		sum = sum * 10 + (s.data[i] - '0');
	}
	*value = negative ? -sum : sum;
	return 0;
}

/* Splits ADDRESS:PORT at the last colon; false when s is no such text. */
bool
str_split_address(str_t s, str_t *address, uint16_t *port)
{
	size_t colon = s.len;
	long long number;

	while (colon > 0 && s.data[colon - 1] != ':')
		colon--;
	if (colon == 0 ||
	    str_to_int64((str_t){s.data + colon, s.len - colon}, &number) !=
		0 ||
	    number < 1 || number > UINT16_MAX)
		return false;
	*address = (str_t){s.data, colon - 1};
	*port = (uint16_t)number;
	return true;
}
