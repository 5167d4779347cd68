# The two commands of the README are `make demo` and `make test`; both install what is missing.
BUILD ?= build
PACKAGES := $(shell cat packages.txt)
JOBS ?= $(shell nproc)

.PHONY: packages build demo test lint format bench bench-decisions capacity recovery soak fault-soak model regression

packages:
	@missing=""; for package in $(PACKAGES); do dpkg -s $$package >/dev/null 2>&1 || missing="$$missing $$package"; done; \
	if [ -n "$$missing" ]; then apt-get update -q && DEBIAN_FRONTEND=noninteractive apt-get install -y -q $$missing; fi

$(BUILD)/build.ninja: | packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: $(BUILD)/build.ninja
	ninja -C $(BUILD) -j $(JOBS)

demo: build
	bash samples/demo/run.sh $(BUILD)
	$(BUILD)/platform/test_site "[demo]"

test: build
	bash tests/run.sh $(BUILD)

model: packages
	bash model/check.sh

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

lint: build
	bash tools/lint.sh $(BUILD)

# Entry beside a bare relay, and the cost of one decision.
bench: build
	bash bench/entry/run.sh $(BUILD)
	$(BUILD)/bench/capacity/decision_cost

SEEDS ?= 10
ROLLOUTS ?= 200
bench-decisions: build
	$(BUILD)/bench/decisions/decision_report $(SEEDS) $(ROLLOUTS)

capacity: build
	$(BUILD)/bench/capacity/capacity docs

# The recovery table, from the failure tests.
recovery: build
	bash tests/recovery.sh $(BUILD)

# Property tests with another seed and more cases.
soak: build
	RC_PARAMS="seed=$$(date +%s) max_success=5000" $(BUILD)/libs/claims/test_claims
	RC_PARAMS="seed=$$(date +%s) max_success=5000" $(BUILD)/libs/receipts/test_receipts
	RC_PARAMS="seed=$$(date +%s) max_success=5000" $(BUILD)/libs/membership/test_membership
	RC_PARAMS="seed=$$(date +%s) max_success=2000" $(BUILD)/libs/decision/test_decision
	RC_PARAMS="seed=$$(date +%s) max_success=2000" $(BUILD)/kernel/test_kernel

# Faults from seeds against real processes: docs/SOAK.md.
SEED ?= 1000
RUNS ?= 10
fault-soak: build
	bash tools/soak.sh $(BUILD) $(SEED) $(RUNS)

# The standard days of one site on the users' bench, beside the committed figures:
#   make regression BENCH=PROGRAM SITE=FILE
regression:
	bash tools/regression.sh $(BENCH) $(SITE)
