// Package enginetest is a stand-in for a model engine. It simulates continuous
// batching and a prefix cache, executes orders, and can crash, restart or pause.
// Package dev runs it as well as tests.
//
// # Usage
//
//	e := enginetest.New(ctx, enginetest.Options{Models: []string{"dev-model"}})
//	err := e.Serve(ctx, network, address)
//	e.Crash()   // closes connections and refuses new ones
//	e.Restart() // same options, empty cache, next incarnation number
//	e.Stats()   // counts of requests and tokens
//
// Each token is a function of model, prompt, seed and offset, so a test can compare
// a resumed answer with Completion. The engine stops when its context ends.
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

// PieceTokens is the number of tokens in a piece, the unit of the KV cache.
const PieceTokens = 1024

// Defaults that approximate one accelerator with a mid-sized model.
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
		Models  []string // loaded at the start; empty: any model is served while no model is loaded by an order
		Role    engine.Role
		Fencing fleet.Fencing

		Slots  int // maximum number of running requests
		Queue  int // maximum number of requests that wait for a slot
		Pieces int // size of the KV cache, in pieces of PieceTokens

		PrefillTokensPerSecond int
		DecodeStep             time.Duration // base duration of a step that decodes
		DecodeSequence         time.Duration // added by each request that decodes in the step

		ReportLag       time.Duration // minimum age of the state in a report
		CacheEventDelay time.Duration // until readers see a cache event
		CacheEventGap   int           // every n-th cache event is lost; 0: none

		RoleChange time.Duration // time out of service for a change of role
		LoadTime   time.Duration // time to load a model
		// RestartAfter is the time after which a crashed engine restarts. If it is
		// 0, the engine stays down until Restart.
		RestartAfter time.Duration
	}

	// Engine is a simulated engine. It is safe for concurrent use.
	Engine struct {
		options Options
		ctx     context.Context
		work    chan struct{} // wakes the batching loop

		mu          sync.Mutex
		process     *process
		incarnation uint64
		running     []*activeRequest
		queue       []*activeRequest
		order       orderState
		cache       *cache
		events      eventLog
		reports     []timedReport
		poison      []string
		stats       Stats
		lastArrival uint64
	}

	// process is one run of the engine, from its start to its crash.
	process struct {
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
		Broken          int // by a crash, running or queued
		Aborted         int // by an order, while running
		Refused         int // before they started
		RefusedDraining int
		LeakedKeys      int // requests with a header for API keys, which no engine may receive
		PrefillTokens   int
		CachedTokens    int
		DecodeTokens    int
		RoleChanges     int
		ByWorkspace     map[string]int // started requests by workspace header
	}
)

// New starts an engine that runs until ctx ends.
func New(ctx context.Context, options Options) *Engine {
	options.setDefaults()
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
// returns an error only if it can't listen at first. If it can't listen again
// after a restart, the engine stays unreachable.
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
			proc := e.process
			e.mu.Unlock()
			go server.Serve(listener)
			select {
			case <-proc.crashed:
				server.Close()
			case <-ctx.Done():
				server.Close()
				return
			}
			select {
			case <-proc.restarted:
			case <-ctx.Done():
				return
			}
			reopened, err := network.Listen(ctx, address)
			if err != nil {
				return
			}
			listener = reopened
		}
	}()
	return nil
}

// Crash closes all connections and refuses new ones until Restart or the end of
// Options.RestartAfter. It ends a Pause and cancels a change of role or a load.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash ends the current process. The caller holds mu.
func (e *Engine) crash() {
	if e.process.down {
		return
	}
	e.process.down = true
	close(e.process.crashed)
	e.stats.Broken += len(e.running) + len(e.queue)
	e.running, e.queue = nil, nil
	e.order.cancelChange()
	if after := e.options.RestartAfter; after > 0 {
		go func() {
			if sleep(e.ctx, after) {
				e.Restart()
			}
		}()
	}
}

// Restart starts a crashed engine again, in its initial state and with the next
// incarnation number.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process.down {
		crashed := e.process
		e.boot()
		close(crashed.restarted)
	}
}

// Pause stops all work and responses until Continue. Connections stay open.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process.paused == nil {
		e.process.paused = make(chan struct{})
	}
}

// Continue ends a Pause.
func (e *Engine) Continue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process.paused != nil {
		close(e.process.paused)
		e.process.paused = nil
		e.wake()
	}
}

// CrashOn makes the engine crash when it has prefilled a prompt that contains
// text.
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

// boot starts a new process. The caller holds mu, except in New.
func (e *Engine) boot() {
	e.process = &process{crashed: make(chan struct{}), restarted: make(chan struct{})}
	e.incarnation++
	e.cache = newCache(e.options.Pieces)
	e.events = eventLog{}
	e.reports = nil
	models := make(map[string]bool, len(e.options.Models))
	for _, model := range e.options.Models {
		models[model] = true
	}
	e.order = orderState{role: e.options.Role, models: models, accepted: e.order.accepted}
	e.recordReport()
}

// awaitRunning waits until the engine isn't paused and returns the current
// process, or nil if the engine is down or ctx ends.
func (e *Engine) awaitRunning(ctx context.Context) (current *process) {
	for {
		e.mu.Lock()
		current, paused := e.process, e.process.paused
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

// wake makes the batching loop look for work. The caller may hold mu.
func (e *Engine) wake() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

func (o *Options) setDefaults() {
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

// sleep waits and reports whether the time passed before ctx ended.
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
