#pragma once

#include <netinet/in.h>
#include <stdbool.h>

/* Blocking helpers shared by the stand-in balancer and relay. */
bool pump_parse_address(const char *text, struct sockaddr_in *address);
int pump_listen(const struct sockaddr_in *address);
int pump_connect(const struct sockaddr_in *target);
/*
 * Copies bytes both ways between two sockets until one side ends, then closes
 * both.  While held(ctx, forward) is true nothing is read in that direction, so
 * that TCP keeps the bytes as it does across a cut.
 */
void pump_run(
    int client, int server, bool (*held)(void *ctx, bool forward), void *ctx);
