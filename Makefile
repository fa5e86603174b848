# Build of chervilhold.  Every *.c of a subsystem folder goes into one static
# library; the programs link against it.

CC ?= gcc
BUILD ?= build
# V=1 shows the commands.
Q = $(if $(V),,@)
PKGS = libmicrohttpd libcurl glib-2.0 jansson libtirpc libxxhash
CFLAGS ?= -O2 -g
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-unused-parameter -Wvla
ALL_CFLAGS = -std=gnu11 $(CFLAGS) $(WARN) $(SAN) -iquote . \
	$(shell pkg-config --cflags $(PKGS))
LIBS = $(shell pkg-config --libs $(PKGS)) -lev -lm -lpthread

# Rebuilds objects of other sources, flags or machines, whatever their times.
BUILD_KEY := $(shell uname -m) $(shell $(CC) -dumpfullversion) $(CFLAGS) $(WARN) $(SAN)
STALE := $(shell sh deploy/find_stale_objects.sh $(BUILD) '$(BUILD_KEY)')

LIB_DIRS = common rpc state policy entry sched platform
LIB_SRC = $(foreach d,$(LIB_DIRS),$(sort $(wildcard $(d)/*.c)))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libchervilhold.a

PROGRAMS = $(BUILD)/chervilholdd $(BUILD)/chervilhold
STANDIN_SRC = $(sort $(wildcard tests/standin/*_main.c))
STANDINS = $(STANDIN_SRC:tests/standin/%_main.c=$(BUILD)/standin-%)
STANDIN_LIB_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(sort $(filter-out \
	$(STANDIN_SRC),$(wildcard tests/standin/*.c))))
UNIT_SRC = $(sort $(wildcard tests/unit/test_*.c))
UNITS = $(UNIT_SRC:tests/unit/%.c=$(BUILD)/unit/%)
# Code shared by unit tests; not a test program itself.
UNIT_LIB_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(sort $(filter-out \
	$(UNIT_SRC),$(wildcard tests/unit/*.c))))
# The simulation of test_once* replaces the clocks, the timers and the replica, so
# that it is linked into these programs only.
ONCE_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard tests/unit/once/*.c)))
BENCH_SRC = $(sort $(wildcard bench/bench_*.c))
BENCHES = $(BENCH_SRC:bench/%.c=$(BUILD)/bench/%)
# Baselines that the benchmarks compare with.
BENCH_LIB_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(sort $(filter-out \
	$(BENCH_SRC),$(wildcard bench/*.c))))
FUZZ_SRC = $(sort $(wildcard tests/fuzz/fuzz_*.c))
FUZZERS = $(FUZZ_SRC:tests/fuzz/%.c=$(BUILD)/fuzz/%)

GENERATED = rpc/protocol.h rpc/protocol_xdr.c
FORMATTED = $(filter-out $(GENERATED),$(sort $(wildcard $(addsuffix /*.[ch], \
	$(LIB_DIRS) daemon cli tests/unit \
	tests/unit/once tests/standin tests/fuzz bench))))

all: $(PROGRAMS) $(STANDINS)

programs: $(PROGRAMS)

$(LIB): $(LIB_OBJ)
	@rm -f $@
	$(Q)$(AR) rcs $@ $^

# rpcgen's output declares loop variables that it does not always use.
$(BUILD)/rpc/protocol_xdr.o: rpc/protocol_xdr.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(ALL_CFLAGS) -Wno-unused-variable -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(ALL_CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/chervilholdd: $(patsubst %.c,$(BUILD)/%.o,$(wildcard daemon/*.c)) $(LIB)
	$(Q)$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/chervilhold: $(patsubst %.c,$(BUILD)/%.o,$(wildcard cli/*.c)) $(LIB)
	$(Q)$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-%: $(BUILD)/tests/standin/%_main.o $(STANDIN_LIB_OBJ) $(LIB)
	$(Q)$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

# An archive, as some tests replace what others of its parts need.
$(BUILD)/libunit.a: $(UNIT_LIB_OBJ)
	@rm -f $@
	$(Q)$(AR) rcs $@ $^

$(BUILD)/unit/%: $(BUILD)/tests/unit/%.o $(BUILD)/libunit.a $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(ALL_CFLAGS) -o $@ $^ $(shell pkg-config --libs check) $(LIBS)

$(BUILD)/unit/test_once $(BUILD)/unit/test_once_restarts: \
    $(BUILD)/unit/%: $(BUILD)/tests/unit/%.o $(ONCE_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(ALL_CFLAGS) -o $@ $^ $(shell pkg-config --libs check) $(LIBS)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BENCH_LIB_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/fuzz/%: $(BUILD)/tests/fuzz/%.o $(BUILD)/tests/fuzz/driver.o $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

# Regenerates the committed XDR code; needs rpcsvc-proto.
generate:
	rm -f $(GENERATED)
	cd rpc && rpcgen -C -h -o protocol.h protocol.x
	cd rpc && rpcgen -C -c -o protocol_xdr.c protocol.x

deps:
	sh tests/install_deps.sh

check: deps
	$(MAKE) all units
	sh tests/run.sh $(BUILD)

units: $(UNITS) $(FUZZERS)

bench: all $(BENCHES)
	sh bench/run.sh $(BUILD)

check-mutants: all units
	sh tests/mutants/run.sh

quickstart: deps
	$(MAKE) all
	sh tests/quickstart.sh $(BUILD)

format:
	clang-format -i $(FORMATTED)

lint:
	clang-format --dry-run --Werror $(FORMATTED)
	sh tests/lint.sh $(filter %.c,$(FORMATTED))

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all programs generate deps check units bench check-mutants quickstart format \
	lint clean
.SECONDARY:
