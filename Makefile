PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := fuchsiafork standins measurements tests
SEED ?= 1

.PHONY: demo test check format fleet docs clean

$(STAMP): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements.lock
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m measurements demo --seed $(SEED)

test: $(STAMP)
	$(BIN)/python -m tests

check: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

fleet: $(STAMP)
	$(BIN)/python -m standins.run_fleet

docs: $(STAMP)
	$(BIN)/python -m fuchsiafork.settings.reference

clean:
	rm -rf $(VENV)
