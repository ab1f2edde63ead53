# The two commands of the README are `make demo` and `make check`.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: packages build check demo bench format

packages:
	@tools/install_packages.sh

build: packages
	@mkdir -p $(BUILD)
	@cmake -S . -B $(BUILD) -G Ninja >$(BUILD)/configure.log 2>&1 || { cat $(BUILD)/configure.log; exit 1; }
	@cmake --build $(BUILD) -j $(JOBS)

check: build
	@tools/check_format.sh
	@tools/check_lint.sh $(BUILD)
	@tools/check_threads.sh $(BUILD)
	@tools/run_tests.sh $(BUILD)

demo: build
	@$(BUILD)/demo/primroseweir-demo

bench: build
	@bench/run.sh $(BUILD)

format:
	@git ls-files '*.h' '*.cc' | xargs clang-format-14 -i
