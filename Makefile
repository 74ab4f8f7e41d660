VENV ?= .venv-dev

.PHONY: test demo emulate
test: $(VENV)/made
	$(VENV)/bin/ruff check --no-cache honeywood tests benchmarks
	$(VENV)/bin/ruff format --no-cache --check honeywood tests benchmarks
	$(VENV)/bin/mypy --no-incremental --cache-dir=/dev/null
	PYTHONDONTWRITEBYTECODE=1 $(VENV)/bin/python tests/ci/run_tests.py

demo: $(VENV)/made
	$(VENV)/bin/python -m honeywood lab demo

emulate: $(VENV)/made
	$(VENV)/bin/python -m honeywood.lab.emulator.loopback

$(VENV)/made: pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -e '.[dev]'
	touch $@
