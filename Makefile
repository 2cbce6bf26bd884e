LIBS := model config platform cluster policy jobs operators host cli standins bench cell
VENV := .venv
PY := $(VENV)/bin/python
EDITABLE := $(foreach lib,$(LIBS),-e libs/$(lib)) -e platform

.PHONY: setup demo test bench format

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt $(foreach lib,$(LIBS),libs/$(lib)/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

test: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	PYTHONPATH=tools $(PY) -m pytest -p known_red

demo: setup
	$(PY) -m dragonflybank.bench.demo

bench: setup
	$(PY) -m dragonflybank.bench

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
