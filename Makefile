GO ?= go
export PATH := $(shell $(GO) env GOPATH)/bin:$(PATH)
export CGO_ENABLED := 1

.PHONY: build demo test soak fuzz latency bench bench-quick generate

# Builds all commands, linked to libc.
build:
	mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

# Starts a fleet on loopback and runs agent programs through it.
demo:
	scripts/demo.sh

# Runs every check with fixed seeds.
test:
	scripts/test.sh

# Runs the property tests for longer, with fresh seeds.
soak:
	scripts/soak.sh

# Compares the policy with simple load balancers; fails if a target is missed.
bench: build
	bin/bench --plots plots

# Runs the comparison of bench with fewer cases.
bench-quick: build
	bin/bench --quick --plots plots

# Generates the wire types from the schema; needs buf and protoc-gen-go.
generate:
	cd api && buf lint && buf generate

# Fuzzes each decoder of external input, for FUZZ_TIME each.
fuzz:
	scripts/fuzz.sh

# Measures the latency and CPU that a VM adds to a call.
latency:
	$(GO) test -run '^$$' -bench AddedLatency -benchtime 2000x ./internal/operator/serve
