VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: demo test check format install

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check setuptools wheel
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation -e .
	touch $@

format: install
	$(BIN)/ruff format .

check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: install check
	$(BIN)/python -m features.runner

demo: install
	$(BIN)/clementinewood demo
