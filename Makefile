PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = base core router logservice peers targets clients operators node ctl standins

.PHONY: install demo demo-sections soak soak-planned memory example proof bench bench-quick test lint check format

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

demo: install
	$(BIN)/python -m jujuberudder_emulator.demo

# Runs the demo on the earlier log service, with sections.
demo-sections: install
	$(BIN)/python -m jujuberudder_standins.demo

SOAK ?= --seed 1 --runs 1 --seconds 30

# Injects random faults into real nodes, e.g. `make soak SOAK="--seed 100 --runs 50"`.
soak: install
	$(BIN)/python -m jujuberudder_emulator.soak $(SOAK)

SOAK_PLANNED ?= --seed 1 --runs 1

# Stops, reloads and reconfigures real nodes under load and counts the requests lost,
# e.g. `make soak-planned SOAK_PLANNED="--runs 10 --sources ../other-checkout"`.
soak-planned: install
	$(BIN)/python -m jujuberudder_emulator.soak_planned $(SOAK_PLANNED)

# Sends many or long bodies to real nodes, e.g. `make memory MEMORY="--case answers"`.
memory: install
	$(BIN)/python -m jujuberudder_emulator.memory $(MEMORY)

EXAMPLE ?= lango

example: install
	examples/run.sh $(EXAMPLE)

# Runs the long matrix of fault scenarios, which `make test` excludes.
proof: install
	$(BIN)/python -m behave --tags=@long --format progress

bench: install
	$(BIN)/python bench/run.py

bench-quick: install
	$(BIN)/python bench/run.py --quick

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
