# The commands that README.md names. CMake builds everything under build/.
BUILD ?= build
JOBS ?= $(shell nproc)
export RC_PARAMS ?= seed=20261204

PACKAGES = g++ cmake make pkg-config clang-format clang-tidy libboost1.81-dev libboost-json1.81-dev libzmq3-dev \
  cppzmq-dev libprotobuf-dev protobuf-compiler prometheus-cpp-dev libtomlplusplus-dev libpopt-dev libfmt-dev \
  libexpected-dev liburcu-dev libpq-dev libssl-dev libxxhash-dev librapidcheck-dev libgtest-dev
SOURCES = $(shell git ls-files 'src/*.h' 'src/*.cpp' 'testsuite/*.h' 'testsuite/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v generated)

.PHONY: packages build demo test bench capacity matrix format check-format lint sanitize proto

packages:
	@command -v apt-get >/dev/null && (apt-get update -q >/dev/null; \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y -q $(PACKAGES) >/dev/null) || true

build:
	cmake -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

# Starts a small fleet, writes and reads back through different instances, kills a primary, and prints what happened.
demo: packages build
	$(BUILD)/bin/demo

test: packages build
	BUILD=$(BUILD) src/cmake/run_tests.sh

matrix: build
	$(BUILD)/bin/matrix 20

bench: build
	$(BUILD)/bin/bench

# Measures the costs by number of instances and of databases that docs/CAPACITY.md extrapolates from.
capacity: build
	$(BUILD)/bin/bench capacity

format:
	clang-format -i $(SOURCES)

check-format:
	clang-format --dry-run --Werror $(SOURCES)

# clang-tidy can't read the headers that GCC has precompiled, so it gets a configuration without them.
lint:
	cmake -S . -B build-lint -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
	printf '%s\n' $(filter %.cpp,$(SOURCES)) | xargs -P $(JOBS) -n 2 clang-tidy -quiet -p build-lint \
	  --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-error

# Runs the unit tests of failover, rates, outcomes, tables and membership, first with the address and undefined
# behaviour sanitizers, then with the thread sanitizer.
sanitize:
	for kind in address,undefined thread; do \
	  cmake -S . -B build-san -DCMAKE_BUILD_TYPE=Debug -DSANITIZE=$$kind >/dev/null && \
	  cmake --build build-san -j $(JOBS) --target failover_test share_bucket_test outcome_test tables_test fleet_test && \
	  for unit in failover share_bucket outcome tables fleet; do build-san/bin/$${unit}_test || exit 1; done || exit 1; \
	  rm -rf build-san; \
	done

proto:
	protoc -I src/proto --cpp_out=src/proto/generated src/proto/peer.proto
