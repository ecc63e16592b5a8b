# The tasks of this repository; README.md lists their requirements.
.PHONY: build test lint format run toy submit lab demo

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j4

test:
	bash scripts/needs
	bash scripts/test

# Runs all linters, with warnings as errors; `scripts/lint STEP` runs one of them.
lint:
	bash scripts/lint

# Formats the C++ and Python files in place.
format:
	bash scripts/lint format

# Runs a dispatcher with the example configuration; `make toy` in another terminal starts the discovery, the platform
# and the two endpoints that it talks to.
run: build
	mkdir -p example/state
	build/stonewing serve --config example/config.json

toy:
	python3 example/toy.py serve

submit:
	python3 example/toy.py submit

# Builds the testbed (docs/lab.md).
lab:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DSTONEWING_LAB=ON && cmake --build build -j4

# Installs the needed packages, builds the testbed, runs a short experiment and prints where its report is.
demo:
	bash scripts/needs
	$(MAKE) --no-print-directory lab
	build/stonewing_lab run experiments/demo.toml --baselines --out build/demo
