PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/logservice packages/daemon packages/cli platform fakes
DEPLOYMENT ?= zwojex
SEED ?= 1
MINUTES ?= 1
PYTEST_ARGS ?= -n 4
CASES ?= 10000

.PHONY: install lint format test ci demo measure experiment soak stops moves limits crashes partitions fuzz docs clean

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix --editable ,$(PACKAGES))
	touch $@

format: install
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/ruff format --quiet .

lint: install
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/flake8

test: install
	$(BIN)/pytest $(PYTEST_ARGS) -m "not serial"
	$(BIN)/pytest -m serial

ci: lint test

demo: install
	$(BIN)/python -m dotterelweir_fakes demo --deployment $(DEPLOYMENT) --seed $(SEED)

measure: install
	$(BIN)/python -m dotterelweir_fakes measure $(if $(SEEDS),--seeds "$(SEEDS)") $(if $(SCENARIO),--scenario $(SCENARIO))

experiment: install
	$(BIN)/python -m dotterelweir_fakes experiment $(if $(FILE),$(FILE),docs/experiments/crest.json5)

fuzz: install
	FUZZ_CASES=$(CASES) $(BIN)/pytest $(PYTEST_ARGS) --hypothesis-seed=$(SEED) tests/adapter/test_foreign_bytes.py

soak: install
	$(BIN)/python -m dotterelweir_fakes soak --seed $(SEED) --minutes $(MINUTES)

stops: install
	$(BIN)/python -m dotterelweir_fakes stops --seed $(SEED)

moves: install
	$(BIN)/python -m dotterelweir_fakes moves --seed $(SEED)

limits: install
	$(BIN)/python -m dotterelweir_fakes limits --seed $(SEED)

crashes: install
	$(BIN)/python -m dotterelweir_fakes crashes --seed $(SEED)

partitions: install
	$(BIN)/python -m dotterelweir_fakes partitions --seed $(SEED)

docs: install
	$(BIN)/python -m dotterelweir_fakes docs

clean:
	rm -rf $(VENV)
