# Build, test, lint, demo, benchmarks and run; README.md says more.
BUILD ?= build
SOURCES = $(shell git ls-files '*.cpp' '*.h' ':!journal')

.PHONY: packages build test lint demo bench run clean

# What is missing of the Debian packages that the others need.
packages:
	@.ci/packages

build: packages
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j$$(nproc)

# Debug, with the address and undefined-behaviour sanitizers; warnings are errors. Tests in KNOWN-RED.txt are run, and
# passed over if they fail. The tests that measure memory run the Release program.
test: packages
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j$$(nproc) --target silverrail
	cmake --preset test -DSILVERRAIL_RELEASE_PROGRAM=$(abspath $(BUILD))/silverrail
	cmake --build --preset test -j$$(nproc)
	.ci/test

# The format of all files, and clang-tidy on the whole program; tests are formatted only.
LINT_BUILD ?= build-lint
LINTED = (src|adapter)/
lint: packages
	@clang-format-19 --dry-run --Werror $(SOURCES)
	cmake -S . -B $(LINT_BUILD) -DCMAKE_BUILD_TYPE=Debug >/dev/null
	run-clang-tidy-19 -p $(LINT_BUILD) -quiet '$(CURDIR)/$(LINTED).*' >$(LINT_BUILD)/lint.log 2>&1 \
	    || { grep -E 'error:' -A 3 $(LINT_BUILD)/lint.log; exit 1; }

# The real program before stand-in servers, for some seconds.
demo: build
	cmake --build $(BUILD) -j$$(nproc) --target silverrail_demo
	$(BUILD)/silverrail_demo $(BUILD)/silverrail

bench:
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=Release -DSILVERRAIL_BENCH=ON
	cmake --build $(BUILD) -j$$(nproc) --target silverrail_trace_bench
	$(BUILD)/silverrail_trace_bench

# Needs EDGE_CONFIG, and EDGE_LISTEN to listen elsewhere than it says.
run: build
	exec $(BUILD)/silverrail

clean:
	rm -rf $(BUILD) build-test
