PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
SEEDS ?= 200
FIRST_SEED ?= 1
export PYTHONHASHSEED := 0

.PHONY: help install demo test format lint types generate reference check-generated check-model bench bench-control chaos soak odd processes clean

help:
	@echo "make demo            run stand-ins and two VMs on loopback, end to end"
	@echo "make test            run everything that CI runs"
	@echo "make format          format the code"
	@echo "make lint types      linter and type check"
	@echo "make generate        write briarvale/_generated anew from the schema"
	@echo "make reference       write docs/operators/reference.md anew"
	@echo "make check-model     check the specifications with spin"
	@echo "make bench           online and batch policy benchmarks, with bounds"
	@echo "make bench-control   control cost by node count, with bounds"
	@echo "make chaos SEEDS=200 FIRST_SEED=1   seeded failure schedules"
	@echo "make soak SEEDS=50 FIRST_SEED=1     real processes under random faults"
	@echo "make odd SEEDS=50 FIRST_SEED=1      real processes whose neighbours say odd things"
	@echo "make processes       kill, freeze and stop real processes"

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps -e .
	touch $(STAMP)

demo: install
	$(BIN)/python -m tools.demo

test: install
	$(BIN)/python tools/check.py

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/black .

lint: install
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

types: install
	$(BIN)/mypy

generate: install
	$(BIN)/python tools/generate.py

reference: install
	$(BIN)/python -m tools.reference

check-generated: install
	$(BIN)/python tools/generate.py --check

check-model: install
	$(BIN)/python tools/check_model.py

bench: install
	$(BIN)/python -m benchmarks

bench-control: install
	$(BIN)/python -m benchmarks.control

chaos: install
	$(BIN)/python -m benchmarks.chaos --seeds $(SEEDS) --first-seed $(FIRST_SEED)

soak: install
	$(BIN)/python -m soak --seeds $(SEEDS) --first-seed $(FIRST_SEED)

odd: install
	$(BIN)/python -m soak.odd --seeds $(SEEDS) --first-seed $(FIRST_SEED)

processes: install
	$(BIN)/behave features/processes

clean:
	rm -rf .demo .mypy_cache .ruff_cache
