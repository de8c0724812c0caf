package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"
)

// oddEntries are directory entries of another writer. None names a worker to use,
// and none may end an instance or keep it from using the others.
var oddEntries = []string{
	`"junk"`, `[]`, `{}`, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	`{"service":7,"address":"127.0.0.1:9","state":"ready","capacity":{"cpu":1}}`,
	`{"service":"svc","address":"127.0.0.1:99999","state":"ready","capacity":{"cpu":16000,"memMb":64000},"labels":["a","r1"],"born":5}`,
	`{"service":"svc","address":"127.0.0.1","state":"ready","capacity":{"cpu":16000,"memMb":64000},"born":5}`,
	`{"service":"svc","address":"127.0.0.1:9","state":"odd","capacity":{"cpu":16000,"memMb":64000},"born":5}`,
	`{"service":"svc","address":"127.0.0.1:9","state":"ready","capacity":{"cpu":9223372036854775807,"memMb":9223372036854775807},"born":5}`,
	`{"service":"svc","address":"127.0.0.1:9","state":"ready","capacity":{"cpu":-5,"memMb":1e999},"born":5}`,
	`{"service":"svc","address":"127.0.0.1:9","state":"draining","remainingMs":1e308,"capacity":{"cpu":16000,"memMb":64000},"born":9223372036854775807}`,
	`{"service":"other","address":"127.0.0.1:9","state":"ready","capacity":{"cpu":16000,"memMb":64000},"born":5}`,
}

// oddKeys are keys under which nothing but another writer's entry can stand.
var oddKeys = []string{"odd-1", "odd 2", "odd\n3", "odd/4", "öd-5"}

// writeOddEntries writes odd entries until ctx ends, some of them over that of a
// worker, and deletes those under keys of their own again.
func (r *run) writeOddEntries(ctx context.Context, rng *rand.Rand) {
	const workerTopic = "keyed.servers"
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
		entry := json.RawMessage(oddEntries[rng.IntN(len(oddEntries))])
		if rng.IntN(4) == 0 {
			r.workers[rng.IntN(len(r.workers))].OverwriteEntry(entry)
			continue
		}
		r.store.Put(workerTopic, oddKeys[rng.IntN(len(oddKeys))], entry)
	}
	for _, key := range oddKeys {
		r.store.Put(workerTopic, key, nil)
	}
}
