PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: env demo test bench soak format capacity

env: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	touch $@

demo: env
	$(BIN)/python demo/demo.py
	$(BIN)/python demo/hosted.py

test: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports
	$(BIN)/python tests/lib/run_tests.py

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: env
	$(BIN)/python -m bench
	$(BIN)/python -m bench.propagation

capacity: env
	$(BIN)/python -m capacity --json-file capacity/measured.json
	$(BIN)/python -m capacity.page

soak: env
	FESCUESHUNT_SOAK=200 $(BIN)/python -m pytest -s tests/functional/test_request_model.py
	SOAK_RUNS=200 $(BIN)/python -m pytest -s tests/unit/test_failover_histories.py
	SOAK_RUNS=1000 $(BIN)/python -m pytest -s tests/unit/test_connection_histories.py
	QUOTA_RUNS=1000 $(BIN)/python -m pytest -s tests/unit/test_quota_bound.py
	STOP_SOAK_RUNS=50 $(BIN)/python -m pytest -s tests/functional/test_stop_soak.py
	WHOLE_WAY_EXAMPLES=3000 $(BIN)/python -m pytest -s tests/unit/test_whole_way_fuzz.py
