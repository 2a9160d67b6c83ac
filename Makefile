# SPDX-License-Identifier: BSD-3-Clause
# Every target sets up what it needs in .venv, pinned by constraints.txt.

PYTHON ?= python3
CFG ?= examples/kijani.jsonc
BIN := .venv/bin
READY := .venv/.ready

.PHONY: demo test lint format model model-mutants bench-overload bench-rollout bench-path clean

$(READY): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	@echo "setting up .venv: half a minute, once"
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet -c constraints.txt -r requirements-dev.txt
	touch $(READY)

demo: $(READY)
	$(BIN)/python tools/demo.py $(CFG)

test: $(READY)
	$(BIN)/python -m pytest

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

model:
	$(PYTHON) tools/model.py

model-mutants:
	$(PYTHON) tools/model.py --mutants

bench-rollout: $(READY)
	$(BIN)/python tools/bench_rollout.py --out docs/measurements/rollout.json
	$(BIN)/python tools/bench_rollout.py --press 500 --out docs/measurements/press.json
	$(BIN)/python tools/bench_memory.py --out docs/measurements/memory.json

# The decisions on overload in virtual time, and each of them off at a time.
bench-overload: $(READY)
	$(BIN)/python tools/bench_overload.py
	$(BIN)/python tools/ablation.py

bench-path: $(READY)
	$(BIN)/python tools/bench_path.py --out docs/measurements/path.json

clean:
	rm -rf .venv
