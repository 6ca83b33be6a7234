PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core node cli bench
DEPLOYMENT ?= certitermica

.PHONY: setup check test demo emulate fuzz soak capacity measure

$(VENV)/.ready: requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check setuptools wheel
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt \
		$(foreach p,$(PACKAGES),-e packages/bendwind-$(p)) -e platform
	touch $@

setup: $(VENV)/.ready

check: setup
	$(BIN)/black --quiet --check packages platform tools
	$(BIN)/ruff check --quiet packages platform tools

test: check
	$(BIN)/python tools/run_tests.py

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python tools/run_tests.py fuzz

demo: setup
	$(BIN)/python -m bendwind_bench demo --deployment=$(DEPLOYMENT)

# Real processes under random faults; SEEDS="1..50" MINUTES=1 PROCESSES=40.
soak: SEEDS ?= 1..3
soak: MINUTES ?= 0.5
soak: PROCESSES ?= 12
soak: setup
	$(BIN)/python -m bendwind_bench soak --seeds=$(SEEDS) --minutes=$(MINUTES) --processes=$(PROCESSES)

# All shipped scenarios in virtual time; ARGS="power-loss --against=policy.spares_cold=false".
emulate: setup
	$(BIN)/python -m bendwind_bench emulate $(ARGS)

# Takes up to five minutes; NOTE says on the page what else ran on the machine.
capacity: NOTE ?= Nothing else ran on the machine.
capacity: setup
	$(BIN)/python -m bendwind_bench capacity --note="$(NOTE)"

# Takes long, and needs a machine that does nothing else.
measure: setup
	$(BIN)/python -m bendwind_bench experiment all --runs 5
