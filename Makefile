# Build, test, lint and run; README.md says more.
BUILD ?= build
SOURCES = $(shell git ls-files '*.cpp' '*.h' ':!journal')

.PHONY: build test lint run clean

build:
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

# Debug, with the address and undefined-behaviour sanitizers; warnings are errors.
test:
	cmake --workflow --preset test

lint:
	clang-format --dry-run --Werror $(SOURCES)

# Needs EDGE_CONFIG, and EDGE_LISTEN to listen elsewhere than it says.
run: build
	exec $(BUILD)/silverrail

clean:
	rm -rf $(BUILD) build-test
