# Targets for developers. The linters are pinned in tools/go.mod.
DEPLOYMENT = association
KEEP =
TOOL = go tool -modfile=tools/go.mod

.PHONY: demo test lint generate bench

demo: ## Run the demo deployment; DEPLOYMENT=registry runs the other one, KEEP=keep keeps it running.
	demo/run.sh $(DEPLOYMENT) $(KEEP)

# The tests of overload bound the memory and the descriptors of processes, and run apart from other load.
test: ## Run all tests with fixed seeds.
	@status=0; \
	go test -count=1 $$(go list ./... | grep -v '/overload$$') || status=1; \
	go test -count=1 ./overload || status=1; \
	exit $$status

lint: ## Check format and lint rules.
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	$(TOOL) revive -config revive.toml -formatter friendly ./...
	$(TOOL) staticcheck ./...

generate: ## Regenerate the codec of the wire types.
	cd vmwire && for f in schema load upstreams versions; do go tool -modfile=../tools/go.mod msgp -file $$f.go -o $${f}_gen.go -tests=false || exit 1; done

bench: ## Run the benchmarks.
	go test -run '^$$' -bench . -benchmem ./...
