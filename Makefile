export GOFLAGS = -buildvcs=false

.PHONY: build test lint fuzz run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	bash .ci/run

lint:
	test -z "$$(gofmt -l .)"
	go vet ./... && go vet -tags debug ./...
	go run honnef.co/go/tools/cmd/staticcheck@v0.8.2 ./...

fuzz:
	go test -run '^$$' -fuzz '^FuzzParse$$' -fuzztime 20s ./internal/engine
	go test -run '^$$' -fuzz '^FuzzParseQuery$$' -fuzztime 20s ./internal/mysql
	go test -run '^$$' -fuzz '^FuzzParseLogin$$' -fuzztime 20s ./internal/mysql
	go test -run '^$$' -fuzz '^FuzzParse$$' -fuzztime 20s ./internal/figure
	go test -run '^$$' -fuzz '^FuzzRead$$' -fuzztime 20s ./internal/roster

# make run CONFIG=path/to/config.json
run: build
	PROXY_CONFIG=$(CONFIG) bin/beechcart
