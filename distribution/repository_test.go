package distribution_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/rapidtest"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Defaults{"rapid.seed": "1", "rapid.checks": "5"})
}

func repository(t interface{ Fatal(...any) }, client store.Client, keep int) *distribution.Repository {
	r, err := distribution.NewRepository(distribution.RepositoryOptions{
		Client: client, Prefix: "config/", Chunks: 4, KeepRevisions: keep, KeepRecords: 2 * keep,
		WritesPerSecond: 1e6, // some tests run in real time
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against revisions that read back with other entries than were written,
// against history that is deleted too early or never, and against changes that
// write chunks without changed entries.
func TestRevisionsReadBackUntilDeleted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 40
		server := storetest.New(storetest.Options{})
		ctx := context.Background()
		entriesByRevision := []map[string][]byte{{}}
		for len(entriesByRevision) < 400 {
			r := repository(t, server.Client("operator"), keep)
			base := uint64(len(entriesByRevision) - 1)
			entries := maps.Clone(entriesByRevision[base])
			name := fmt.Sprint("entry-", rapid.IntRange(0, 30).Draw(t, "name"))
			if _, ok := entries[name]; ok && rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				delete(entries, name)
			} else {
				entries[name] = fmt.Append(nil, "value ", base)
			}
			if len(entriesByRevision) > 8 { // until then, chunks are created
				server.ResetCalls()
			}
			revision, err := r.Apply(ctx, base, entries, distribution.ChangeInfo{Author: "amani", Comment: name})
			if err != nil || revision != base+1 {
				t.Fatalf("revision %d after %d: %v", revision, base, err)
			}
			if puts := server.Calls(storetest.Put); len(entriesByRevision) > 8 && puts > 3 {
				t.Fatalf("%d writes for one changed entry, want chunk, record and head", puts)
			}
			entriesByRevision = append(entriesByRevision, entries)
		}
		r := repository(t, server.Client("operator"), keep)
		newest := uint64(len(entriesByRevision) - 1)
		for revision := newest; revision > newest-keep; revision -= 7 {
			document, err := r.Read(ctx, revision)
			if err != nil || !maps.EqualFunc(document.Entries, entriesByRevision[revision], func(a, b []byte) bool { return string(a) == string(b) }) {
				t.Fatalf("revision %d: %v, %v, want %s", revision, document, err, entriesByRevision[revision])
			}
		}
		if _, err := r.Read(ctx, 3); !errors.Is(err, distribution.ErrNoRevision) {
			t.Fatalf("read of a deleted revision: %v", err)
		}
		records, err := r.History(ctx, 0, 1000)
		if err != nil || len(records) < 2*keep || len(records) > 2*keep+128 || records[0].Revision != newest {
			t.Fatalf("%d records: %v", len(records), err)
		}
		// 4 current chunks, one replaced chunk per retained revision, the records and
		// the head.
		if entries, _ := server.Client("operator").List(ctx, "config/"); len(entries) > 4+keep+130+len(records)+1 {
			t.Fatalf("garbage collection left %d keys", len(entries))
		}
		if revision, err := r.Rollback(ctx, newest, newest-5, "amani"); err != nil || revision != newest+1 {
			t.Fatalf("rollback: revision %d, %v", revision, err)
		}
	})
}

// Guards against concurrent changes that are both reported as applied with the
// same revision, and against changes that are reported as failed but applied, or
// applied twice, when the store's replies are lost or delayed.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	type input struct {
		apply bool
		base  uint64
	}
	type output struct {
		revision          uint64
		unknown, conflict bool
	}
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			current, i, o := state.(uint64), in.(input), out.(output)
			switch {
			case !i.apply:
				return o.revision == current, current
			case o.unknown:
				return true, current
			case o.conflict:
				return o.revision == current && current != i.base, current
			default:
				return current == i.base && o.revision == i.base+1, o.revision
			}
		},
	}
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			server := storetest.New(storetest.Options{})
			var (
				mu         sync.Mutex
				operations []porcupine.Operation
				wait       sync.WaitGroup
			)
			start := time.Now()
			for id := range 4 {
				random := rand.New(rand.NewPCG(seed, uint64(id)))
				r := repository(t, server.Client(fmt.Sprint(id)), 1000)
				wait.Go(func() {
					for n := range 12 {
						time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
						server.SetDelay(time.Duration(random.IntN(4)) * 20 * time.Millisecond)
						if random.IntN(3) == 0 {
							server.DropResponses(storetest.Put, 1+random.IntN(3))
						}
						var in input
						var out output
						called := time.Since(start)
						document, err := r.Latest(t.Context())
						if err == nil {
							out.revision = document.Revision
							mu.Lock()
							operations = append(operations, porcupine.Operation{
								ClientId: id, Input: in, Call: int64(called), Output: out, Return: int64(time.Since(start)),
							})
							mu.Unlock()
							in = input{apply: true, base: document.Revision}
							entries := maps.Clone(document.Entries)
							entries[fmt.Sprint("entry-", id)] = fmt.Append(nil, n)
							called = time.Since(start)
							out.revision, err = r.Apply(t.Context(), in.base, entries, distribution.ChangeInfo{Author: fmt.Sprint(id)})
							var conflict *distribution.ConflictError
							if errors.As(err, &conflict) {
								out.revision, out.conflict, err = conflict.Current, true, nil
							}
							if out.unknown = errors.Is(err, store.ErrUnknownOutcome); out.unknown {
								t.Errorf("outcome unknown although the store is available: %v", err)
							}
						}
						if err != nil {
							t.Errorf("operator %d: %v", id, err)
							continue
						}
						mu.Lock()
						operations = append(operations, porcupine.Operation{
							ClientId: id, Input: in, Call: int64(called), Output: out, Return: int64(time.Since(start)),
						})
						mu.Unlock()
					}
				})
			}
			wait.Wait()
			if !porcupine.CheckOperations(model, operations) {
				t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(operations))
			}
			r := repository(t, server.Client("reader"), 1000)
			document, err := r.Latest(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if records, err := r.History(t.Context(), 0, 1000); err != nil || uint64(len(records)) != document.Revision {
				t.Errorf("%d records of %d revisions: %v", len(records), document.Revision, err)
			}
			keys, _ := server.Client("reader").List(t.Context(), "config/")
			if limit := 1 + 2*int(document.Revision); len(keys) > limit {
				t.Errorf("%d keys for %d revisions: changes with a conflict left keys behind", len(keys), document.Revision)
			}
		})
	}
}

// Guards against a change that replaces a newer revision or leaves keys behind,
// because the store returned an old revision of the head.
func TestApplyWithStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := storetest.New(storetest.Options{})
		r := repository(t, server.Client("operator"), 100)
		apply := func(base uint64) (revision uint64, err error) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return r.Apply(ctx, base, map[string][]byte{"base": fmt.Append(nil, base, time.Now())}, distribution.ChangeInfo{})
		}
		if _, err := apply(0); err != nil {
			t.Fatal(err)
		}
		old := server.Revision()
		if _, err := apply(1); err != nil {
			t.Fatal(err)
		}
		keys := func() int { entries, _ := server.Client("test").List(t.Context(), ""); return len(entries) }
		before := keys()
		server.SetReadRevision(old)
		if revision, err := apply(1); store.Classify(err) != store.Conflict {
			t.Errorf("change based on an old revision: %d, %v, want a conflict", revision, err)
		}
		if revision, err := apply(2); store.Classify(err) != store.NotApplied {
			t.Errorf("change while the store returns an old revision: %d, %v, want not applied", revision, err)
		}
		server.SetReadRevision(0)
		if after := keys(); after != before {
			t.Errorf("%d keys, want %d as before the failed changes", after, before)
		}
		if revision, err := apply(2); err != nil || revision != 3 {
			t.Errorf("revision %d, %v", revision, err)
		}
	})
}
