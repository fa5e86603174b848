#include <stdio.h>

int
main(void)
{
	puts("chervilhold");
	return 0;
}
