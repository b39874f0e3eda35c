// Package enginetest is a stand-in for a model engine: it batches requests
// continuously at a modelled rate, keeps a prefix cache, obeys orders, and can
// crash, restart or pause.
//
// # Usage
//
//	e := enginetest.New(ctx, enginetest.Options{Models: []string{"dev-model"}})
//	err := e.Serve(ctx, network, address)
//	e.Crash()   // connections break, and new ones are refused
//	e.Restart() // same options, empty cache, next incarnation
//	e.Stats()   // what ran, and for whom
//
// Tokens are a function of model, prompt, seed and offset, so a test compares a
// resumed answer with Completion. The engine serves requests only while its
// context lives.
package enginetest

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/transport"
)

// PieceTokens is the unit of the KV cache.
const PieceTokens = 1024

// Defaults, about those of one accelerator with a mid-sized model.
const (
	defaultSlots           = 8
	defaultPieces          = 256
	defaultQueue           = 64
	defaultPrefillRate     = 8000 // tokens/s
	defaultDecodeStep      = 20 * time.Millisecond
	defaultDecodeSequence  = 500 * time.Microsecond
	defaultReportLag       = 500 * time.Millisecond
	defaultCacheEventDelay = time.Second
	defaultRoleChange      = 5 * time.Second
	defaultLoadTime        = 8 * time.Second
	defaultMaxTokens       = 16
)

type (
	// Options of an engine. Zero values mean defaults, negative durations none.
	Options struct {
		Models  []string // none: every model is served
		Role    engine.Role
		Fencing fleet.Fencing

		Slots  int // requests that run at the same time
		Queue  int // requests that wait for a slot
		Pieces int // KV cache in pieces of 1,024 tokens

		PrefillTokensPerSecond int
		DecodeStep             time.Duration // time of one token of each running request
		DecodeSequence         time.Duration // added to the step by each request in it

		ReportLag       time.Duration
		CacheEventDelay time.Duration
		CacheEventGap   int // every n-th event is lost; 0: none

		RoleChange time.Duration // out of service
		LoadTime   time.Duration
		// RestartAfter is the time after which a crashed engine restarts. 0: it
		// stays down until Restart.
		RestartAfter time.Duration
	}

	// Engine is the stand-in. It is safe for concurrent use.
	Engine struct {
		options Options
		ctx     context.Context
		work    chan struct{} // wakes the batching loop

		mu          sync.Mutex
		life        *life
		incarnation uint64
		running     []*run
		queue       []*run
		order       orderState
		cache       *cache
		events      eventLog
		reports     []timedReport
		poison      []string
		stats       Stats
		nextRun     uint64
	}

	// life is the time between two crashes.
	life struct {
		crashed   chan struct{}
		restarted chan struct{}
		down      bool
		paused    chan struct{} // nil, or closed when the pause ends
	}

	// Stats counts what an engine did over all incarnations.
	Stats struct {
		Started         int // requests that got a slot
		Completed       int
		Canceled        int // by their callers
		Broken          int // by a crash
		Aborted         int // by an order, while running
		Refused         int
		RefusedDraining int
		LeakedKeys      int // requests with a header for keys
		PrefillTokens   int
		CachedTokens    int
		DecodeTokens    int
		RoleChanges     int
		ByWorkspace     map[string]int // started requests by workspace header
	}
)

// New starts an engine that lives until ctx ends.
func New(ctx context.Context, options Options) *Engine {
	options.fill()
	e := &Engine{
		options: options, ctx: ctx, work: make(chan struct{}, 1),
		stats: Stats{ByWorkspace: make(map[string]int)},
	}
	e.boot()
	go func() {
		for {
			select {
			case <-e.work:
				for e.step() {
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return e
}

// Serve accepts requests at address while the engine is up, until ctx ends. It
// fails only if the first attempt to listen does.
func (e *Engine) Serve(ctx context.Context, network transport.Network, address netip.AddrPort) (err error) {
	listener, err := network.Listen(ctx, address)
	if err != nil {
		return err
	}
	address = transport.ListenAddress(listener)
	go func() {
		for {
			server := &http.Server{Handler: e}
			e.mu.Lock()
			life := e.life
			e.mu.Unlock()
			go server.Serve(listener)
			select {
			case <-life.crashed:
				server.Close()
			case <-ctx.Done():
				server.Close()
				return
			}
			select {
			case <-life.restarted:
			case <-ctx.Done():
				return
			}
			again, err := network.Listen(ctx, address)
			if err != nil {
				return
			}
			listener = again
		}
	}()
	return nil
}

// Crash breaks off all requests and refuses connections until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash ends the present life. The caller holds mu.
func (e *Engine) crash() {
	if e.life.down {
		return
	}
	e.life.down = true
	close(e.life.crashed)
	e.stats.Broken += len(e.running) + len(e.queue)
	e.running, e.queue = nil, nil
	e.order.stop()
	if after := e.options.RestartAfter; after > 0 {
		go func() {
			if sleep(e.ctx, after) {
				e.Restart()
			}
		}()
	}
}

// Restart starts a crashed engine as it was at first, with an empty cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.down {
		ended := e.life
		e.boot()
		close(ended.restarted)
	}
}

// Pause stops all work and answers until Continue, with connections open.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.paused == nil {
		e.life.paused = make(chan struct{})
	}
}

// Continue ends a Pause.
func (e *Engine) Continue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.paused != nil {
		close(e.life.paused)
		e.life.paused = nil
		e.wake()
	}
}

// CrashOn makes the engine crash when it runs a prompt that contains text.
func (e *Engine) CrashOn(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poison = append(e.poison, text)
}

// Stats returns the counters so far.
func (e *Engine) Stats() (stats Stats) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats = e.stats
	stats.ByWorkspace = maps.Clone(stats.ByWorkspace)
	return stats
}

// boot begins a life. The caller holds mu, or is New.
func (e *Engine) boot() {
	e.life = &life{crashed: make(chan struct{}), restarted: make(chan struct{})}
	e.incarnation++
	e.cache = newCache(e.options.Pieces)
	e.events = eventLog{}
	e.reports = nil
	models := make(map[string]bool, len(e.options.Models))
	for _, model := range e.options.Models {
		models[model] = true
	}
	e.order = orderState{role: e.options.Role, models: models, applied: e.order.applied}
	e.remember()
}

// up returns the present life, once the engine isn't paused, or nil when it is
// down or ctx ends.
func (e *Engine) up(ctx context.Context) (current *life) {
	for {
		e.mu.Lock()
		current, paused := e.life, e.life.paused
		down := current.down
		e.mu.Unlock()
		switch {
		case down:
			return nil
		case paused == nil:
			return current
		}
		select {
		case <-paused:
		case <-current.crashed:
		case <-ctx.Done():
			return nil
		}
	}
}

// wake lets the batching loop look for work. The caller may hold mu.
func (e *Engine) wake() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

func (o *Options) fill() {
	o.Models = slices.Clone(o.Models)
	if o.Role == "" {
		o.Role = engine.Mixed
	}
	if o.Fencing == "" {
		o.Fencing = fleet.FencingChecked
	}
	for value, fallback := range map[*int]int{
		&o.Slots: defaultSlots, &o.Queue: defaultQueue, &o.Pieces: defaultPieces,
		&o.PrefillTokensPerSecond: defaultPrefillRate,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	for value, fallback := range map[*time.Duration]time.Duration{
		&o.DecodeStep: defaultDecodeStep, &o.DecodeSequence: defaultDecodeSequence, &o.ReportLag: defaultReportLag,
		&o.CacheEventDelay: defaultCacheEventDelay, &o.RoleChange: defaultRoleChange, &o.LoadTime: defaultLoadTime,
	} {
		if *value == 0 {
			*value = fallback
		}
		*value = max(*value, 0)
	}
}

// sleep waits and reports whether it did so to the end.
func sleep(ctx context.Context, wait time.Duration) (completed bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
