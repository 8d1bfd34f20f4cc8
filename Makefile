PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = core logservice peers targets clients operators node ctl standins

.PHONY: install demo example test lint check format

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

demo: install
	$(BIN)/python -m jujuberudder_standins.demo

EXAMPLE ?= lango

example: install
	examples/run.sh $(EXAMPLE)

test: install
	$(BIN)/python -m pytest
	$(BIN)/python -m behave

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: lint test
