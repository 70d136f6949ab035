PYTHON ?= python3
VENV := .venv
SEED ?= 0
ITEMS ?= 100000
SEEDS ?= 10
SECONDS ?= 60
BIN := $(VENV)/bin
INSTALLED := $(VENV)/.installed

.PHONY: test soak soak-processes fuzz bench capacity entry-cost report demo lint format

test: lint
	$(BIN)/python -m pytest -q

lint: $(INSTALLED)
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: $(INSTALLED)
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix --quiet .

demo: $(INSTALLED)
	$(BIN)/python tools/demo.py

soak: $(INSTALLED)
	$(BIN)/python -m tools.soak --seed $(SEED) --items $(ITEMS)

soak-processes: $(INSTALLED)
	$(BIN)/python -m ebonyshore_soak --first $(SEED) --seeds $(SEEDS)

fuzz: $(INSTALLED)
	$(BIN)/python -m tools.fuzz --seed $(SEED) --seconds $(SECONDS)

bench: $(INSTALLED)
	$(BIN)/python -m ebonyshore_bench

capacity: $(INSTALLED)
	$(BIN)/python -m ebonyshore_bench.capacity

entry-cost: $(INSTALLED)
	$(BIN)/python -m ebonyshore_bench.entry_cost

report: $(INSTALLED)
	$(BIN)/python -m ebonyshore_report $(DAYS)

$(INSTALLED): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(INSTALLED)
