GO ?= go
ARGS ?=

.PHONY: demo test lint build capacity

demo:
	$(GO) run ./cmd/kingcupreel-demo $(ARGS)

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -json -count=1 ./... | $(GO) run ./internal/tools/testrun

lint:
	@out=$$($(GO) tool gofumpt -l cmd internal test platform); if [ -n "$$out" ]; then echo "run: go tool gofumpt -w cmd internal test platform"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

capacity: build
	scripts/capacity.sh bin > docs/capacity-slopes.jsonl
	bin/kingcupreel-bench capacity --slopes docs/capacity-slopes.jsonl --page docs/CAPACITY.md
