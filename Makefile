# Shortcuts for CMake and the scripts in tools; README.md describes each target.
BUILD := build
PRESET := release
SOURCES = $(shell git ls-files --cached --others --exclude-standard 'packages/*.h' 'packages/*.cc' 'platform/*.h' 'platform/*.cc' 'examples/*.cc')

.PHONY: demo check bench build setup format format-check lint asan tsan

setup:
	@tools/setup

build: setup
	@tools/build $(PRESET)

check: build
	cd $(BUILD) && ctest --output-on-failure -j 4

demo: build
	tools/demo

bench: build
	tools/bench $(ONLY)

format: setup
	@clang-format -i $(SOURCES)

format-check: setup
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	tools/lint

asan tsan: setup
	@tools/build $@
	cd build-$@ && ctest --output-on-failure -j 4
