package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

const (
	// Bounds of the random times of a restore of the store: the age of the copy, how long
	// the store is away, until the operator and the upstreams write again, and until the
	// next restore begins.
	maxCopyAge       = 10 * time.Second
	maxAway          = 5 * time.Second
	maxRewriteDelay  = 2 * time.Second
	maxRestoreGap    = 6 * time.Second
	restoreRandomKey = 1000 // beside those of the callers
)

// restoreStore makes the store come back from an older copy again and again, until ctx
// ends. What the operator and the upstreams wrote is written again soon after.
func (r *soakRun) restoreStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.seed, restoreRandomKey))
	below := func(limit time.Duration) (ok bool) {
		select {
		case <-time.After(limit/20 + time.Duration(random.Int64N(int64(limit)))):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for below(maxRestoreGap) {
		old := r.store.Copy()
		if !below(maxCopyAge) {
			return
		}
		r.setStoreAway(reject)
		below(maxAway)
		r.store.Restore(old)
		r.setStoreAway(forward)
		below(maxRewriteDelay)
		r.mu.Lock()
		r.store.Set(platform.ConfigKey, r.configText)
		r.mu.Unlock()
		r.restores.Add(1)
		for id := range r.upstreams {
			r.register(id, "ready")
		}
	}
}

func (r *soakRun) setStoreAway(mode relayMode) {
	for _, p := range r.nodes {
		p.storeProxy.setMode(mode)
	}
}
