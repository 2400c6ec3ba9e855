# Targets: all, check, check-packages, soak, soak-seeds, fleet, demo, bench, bench-policy, lint, format, deps, clean.
# SAN=address or SAN=thread builds everything with that sanitizer in its own folder.

SAN ?=
CC = gcc
BUILD = build$(if $(SAN),-$(SAN))
LIBS = ck libtirpc libmicrohttpd libcurl glib-2.0 jansson libxxhash libsodium
TESTLIBS = check
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wvla -Werror
SANFLAGS = $(if $(SAN),-fsanitize=$(SAN) $(if $(filter address,$(SAN)),-fsanitize=undefined -fno-sanitize-recover=undefined) -fno-omit-frame-pointer)

# Flags $(1) of the modules $(2) from pkg-config. Stops make if a module is missing, naming
# the list $(3) that its Debian package belongs in.
missing_modules = $(shell for m in $(1); do pkg-config --exists $$m || echo $$m; done)
module_flags = $(call require_modules,$(call missing_modules,$(2)),$(3))$(shell pkg-config $(1) $(2))$(call require_success,pkg-config $(1) $(2))
require_modules = $(if $(1),$(error pkg-config finds no $(1): install the Debian package, which $(2) has to list))
require_success = $(if $(filter-out 0,$(.SHELLSTATUS)),$(error $(1) failed))
BUILD_LIST = deploy/system.toml
TEST_LIST = packages.txt
# pkg-config is asked once, and only by targets that compile.
BUILD_CPPFLAGS = $(eval BUILD_CPPFLAGS := $$(call module_flags,--cflags,$(LIBS),$(BUILD_LIST)))$(BUILD_CPPFLAGS)
BUILD_LIBS = $(eval BUILD_LIBS := $$(call module_flags,--libs,$(LIBS),$(BUILD_LIST)))$(BUILD_LIBS)
TEST_CPPFLAGS = $(eval TEST_CPPFLAGS := $$(call module_flags,--cflags,$(TESTLIBS),$(TEST_LIST)))$(TEST_CPPFLAGS)
CHECKLIBS = $(eval CHECKLIBS := $$(call module_flags,--libs,$(TESTLIBS),$(TEST_LIST)))$(CHECKLIBS)

CPPFLAGS += -D_GNU_SOURCE -Isrc -I. $(BUILD_CPPFLAGS)
CFLAGS ?= -O2 -g
DEPFLAGS = -MMD -MP
CFLAGS += -std=c17 $(WARN) $(SANFLAGS) $(DEPFLAGS) -pthread
LDLIBS = $(BUILD_LIBS) -lm -pthread
LDFLAGS += $(SANFLAGS)

SRC = $(sort $(wildcard src/*/*.c src/*/gen/*.c platform/*.c))
LIBSRC = $(filter-out src/cmd/main.c,$(SRC))
STANDIN = $(sort $(wildcard standin/*.c))
HARNESS = $(sort $(wildcard tests/harness/*.c tests/history/*.c tests/fuzz/*.c))
UNIT = $(sort $(wildcard tests/unit/test_*.c))
PROCESS = $(sort $(wildcard tests/process/test_*.c))
PRELOAD = $(sort $(wildcard tests/preload/*.c))
BENCH = $(sort $(wildcard bench/*.c))
DEMO = $(sort $(wildcard demo/*.c))
SOAK = $(sort $(wildcard soak/*.c))
FAKE_PLATFORM = $(sort $(wildcard tests/harness/fake_*.c))
SOAK_SHARED = soak/vm.c
FLEET = $(sort $(wildcard soak/engine*.c soak/fleet*.c))
SOAK_SEED ?= $(shell date +%s)
SOAK_SECONDS ?= 60
OURS = $(filter-out src/peer/gen/%,$(SRC) $(STANDIN) $(HARNESS) $(UNIT) $(PROCESS) $(PRELOAD) $(BENCH) $(DEMO) $(SOAK))
HEADERS = $(wildcard src/*/*.h platform/*.h standin/*.h tests/*/*.h bench/*.h demo/*.h soak/*.h)

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
UNIT_BIN = $(patsubst tests/unit/%.c,$(BUILD)/unit/%,$(UNIT))
PROCESS_BIN = $(patsubst tests/process/%.c,$(BUILD)/process/%,$(PROCESS))
PRELOAD_LIB = $(patsubst %.c,$(BUILD)/%.so,$(PRELOAD))
BENCH_BIN = $(patsubst bench/bench_%.c,$(BUILD)/bench_%,$(filter bench/bench_%.c,$(BENCH)))
BENCH_LIB = $(filter-out bench/bench_%.c,$(BENCH))

.PHONY: all check check-packages soak soak-seeds fleet demo bench bench-policy lint format deps clean
.SECONDARY:
all: $(BUILD)/kingcuppoint $(BUILD)/kcp-standin

# The tests' library is used by the tests and by programs that link their harness, not by the build.
$(BUILD)/tests/%.o $(BUILD)/bench/%.o $(BUILD)/demo/%.o: CPPFLAGS += $(TEST_CPPFLAGS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo 'CC $@'
	@$(CC) $(CPPFLAGS) $(CFLAGS) $(if $(findstring /gen/,$<),-Wno-error -w) -c -o $@ $<

# Without a sanitizer: they are loaded before its runtime.
$(BUILD)/tests/preload/%.so: tests/preload/%.c
	@mkdir -p $(@D)
	@echo 'LD $@'
	@$(CC) $(CPPFLAGS) -O2 -g -std=c17 $(WARN) -fPIC -shared -o $@ $<

$(BUILD)/libkingcuppoint.a: $(call obj,$(LIBSRC))
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/kingcuppoint: $(call obj,src/cmd/main.c) $(BUILD)/libkingcuppoint.a
	@echo 'LD $@'
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/kcp-standin: $(call obj,$(STANDIN)) $(BUILD)/libkingcuppoint.a
	@echo 'LD $@'
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/kcp-demo: $(call obj,$(DEMO) $(HARNESS)) $(BUILD)/libkingcuppoint.a
	@echo 'LD $@'
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) $(CHECKLIBS)

$(BUILD)/kcp-soak: $(call obj,soak/soak.c soak/proxy.c $(SOAK_SHARED) $(FAKE_PLATFORM) tests/harness/free_port.c tests/harness/cut_file.c)
	@echo 'LD $@'
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/kcp-fleet: $(call obj,$(FLEET) soak/proxy.c $(SOAK_SHARED) $(FAKE_PLATFORM) tests/harness/free_port.c tests/harness/cut_file.c)
	@echo 'LD $@'
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(UNIT_BIN): $(BUILD)/unit/test_%: $(BUILD)/tests/unit/test_%.o $(call obj,$(HARNESS)) $(BUILD)/libkingcuppoint.a
	@mkdir -p $(@D)
	@echo 'LD $@'
	@$(CC) $(LDFLAGS) -o $@ $^ $(CHECKLIBS) $(LDLIBS)

$(PROCESS_BIN): $(BUILD)/process/test_%: $(BUILD)/tests/process/test_%.o $(call obj,$(HARNESS)) $(BUILD)/libkingcuppoint.a
	@mkdir -p $(@D)
	@echo 'LD $@'
	@$(CC) $(LDFLAGS) -o $@ $^ $(CHECKLIBS) $(LDLIBS)

$(BENCH_BIN): $(BUILD)/bench_%: $(BUILD)/bench/bench_%.o $(call obj,$(BENCH_LIB) $(HARNESS)) $(BUILD)/libkingcuppoint.a
	@mkdir -p $(@D)
	@echo 'LD $@'
	@$(CC) $(LDFLAGS) -o $@ $^ $(CHECKLIBS) $(LDLIBS)

check: all $(UNIT_BIN) $(PROCESS_BIN) $(PRELOAD_LIB)
	@BUILD=$(BUILD) $(if $(SAN),G_SLICE=always-malloc TSAN_OPTIONS=atexit_sleep_ms=0) tests/run $(UNIT_BIN) $(PROCESS_BIN)

# Checks that the packages used by the build are listed, and that this check can fail.
check-packages:
	@scripts/check_packages
	@BUILD=$(BUILD) tests/run tests/packages/test_check_packages

# Soak test of the real program with random faults; takes SEED=N MINUTES=M.
soak: all $(BUILD)/kcp-soak
	@BUILD=$(BUILD) $(BUILD)/kcp-soak $(or $(SEED),$(SOAK_SEED)) $(if $(MINUTES),$$(( $(MINUTES) * 60 )),$(SOAK_SECONDS)) $(VMS)

# Runs the seeds whose soak failed in the past.
soak-seeds: all $(BUILD)/kcp-soak
	@grep -v '^#' soak/seeds.txt | while read -r seed seconds vms cause; do \
	  BUILD=$(BUILD) $(BUILD)/kcp-soak $$seed $$seconds $$vms || exit 1; done

# Soak test of VMs and servers as processes, by default at the size of a small deployment;
# takes SEED=N SECONDS=N VMS=N SERVERS=N CALLERS=N LINKS=1 (proxies on the links),
# HTTP_1_0=N (percent of the attempts).
fleet: all $(BUILD)/kcp-fleet $(PRELOAD_LIB)
	@BUILD=$(BUILD) $(BUILD)/kcp-fleet $(or $(SEED),$(SOAK_SEED)) $(or $(SECONDS),$(SOAK_SECONDS)) \
	  $(or $(VMS),7) $(or $(SERVERS),13) $(or $(CALLERS),0) $(or $(LINKS),0) $(HTTP_1_0)

demo: deps
	@$(MAKE) --no-print-directory $(BUILD)/kingcuppoint $(BUILD)/kcp-standin $(BUILD)/kcp-demo
	@BUILD=$(BUILD) $(BUILD)/kcp-demo

bench: all $(BENCH_BIN)
	@for b in $(BENCH_BIN); do BUILD=$(BUILD) $$b || exit 1; done

bench-policy: $(BUILD)/bench_policy
	@$(BUILD)/bench_policy

lint:
	@clang-format --dry-run --Werror $(OURS) $(HEADERS)
	@printf '%s\n' $(OURS) | xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- $(CPPFLAGS) $(TEST_CPPFLAGS) -std=c17 2>/dev/null' tidy
	@cppcheck --quiet --std=c11 --enable=warning,performance,portability --inline-suppr \
	  --suppress=missingIncludeSystem --suppress=unknownMacro --suppress=varFuncNullUB --error-exitcode=1 -j 8 \
	  -Isrc -I. -D_GNU_SOURCE $(OURS)

format:
	@clang-format -i $(OURS) $(HEADERS)

deps:
	@scripts/deps

clean:
	rm -rf build build-address build-thread target

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
