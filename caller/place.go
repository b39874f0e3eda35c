package caller

import (
	"net/netip"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/rendezvous"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	loadLifetime    = 5 * time.Second  // an older digest says nothing about the load
	suspectLifetime = 10 * time.Second // how long an upstream that failed is avoided
	// crossingDomain and crossingRegion price a hop in cost per slot, so that a
	// near upstream is preferred up to that difference in load.
	crossingDomain = 64
	crossingRegion = 4096
)

// knownLoad is what this node knows of an upstream's load: what its scheduler
// last said, and what was sent there since.
type knownLoad struct {
	mu        sync.Mutex
	load      scheduler.Load
	at        time.Time
	suspected bool
	sent      policy.SentCost
}

// decide finds the rule for the work and the upstreams that it allows.
func (s *Server) decide(ex *exchange) (refused *Refusal) {
	if ex.claim != nil && ex.claim.record != nil {
		return nil // nothing runs
	}
	defer func() {
		if refused != nil {
			s.abandon(ex)
		}
	}()
	query := fleet.Query{Workspace: ex.workspace, Route: ex.route}
	switch w := ex.work.(type) {
	case *listing:
		return nil
	case *generation:
		query.Target = w.model
	case *call:
		query.Target = w.service
	}
	placement, ok := ex.snapshot.Decide(query)
	if !ok {
		return notRun(upstream.ReasonNoUpstream, "no rule matches this work")
	}
	if len(placement.Upstreams) == 0 {
		return notRun(upstream.ReasonNoUpstream, "no upstream serves this work at the moment")
	}
	ex.placement = placement
	return nil
}

// place returns the upstreams to try next, without those in tried.
func (s *Server) place(ex *exchange, prefix []uint64, tried map[string]bool) (specs []*fleet.Upstream) {
	now := time.Now()
	left := make([]*fleet.Upstream, 0, len(ex.placement.Upstreams))
	candidates := make([]policy.Candidate, 0, len(ex.placement.Upstreams))
	for _, spec := range ex.placement.Upstreams {
		if !tried[spec.QualifiedName()] {
			left = append(left, spec)
			candidates = append(candidates, s.candidate(spec, now))
		}
	}
	var choices [policy.MaxChoices]policy.Choice
	chosen := policy.Place(choices[:0], policy.PlaceRequest{
		Prefix: prefix, HashKey: rendezvous.Hash(ex.id), Domain: s.options.FailureDomain, Region: s.options.Region,
		Cost: ex.cost(),
	}, candidates, s.options.Preferences)
	for _, choice := range chosen {
		specs = append(specs, left[choice.Index])
	}
	return specs
}

func (s *Server) candidate(spec *fleet.Upstream, now time.Time) (c policy.Candidate) {
	c = policy.Candidate{
		Hash: rendezvous.Hash(spec.QualifiedName()), Slots: spec.Slots, Domain: spec.FailureDomain, Region: spec.Region,
	}
	switch {
	case spec.Region != s.options.Region:
		c.NetworkCost = crossingRegion
	case spec.FailureDomain != s.options.FailureDomain:
		c.NetworkCost = crossingDomain
	}
	known := s.known(spec)
	known.mu.Lock()
	defer known.mu.Unlock()
	if age := now.Sub(known.at); age < loadLifetime {
		c.Queued, c.Running, c.Draining = known.load.WaitingCost, known.load.RunningCost, known.load.Draining
	}
	c.Queued += known.sent.Since(known.at, now)
	c.Suspected = known.suspected && now.Sub(known.at) < suspectLifetime
	return c
}

func (s *Server) known(spec *fleet.Upstream) *knownLoad {
	if value, ok := s.loads.Load(spec.QualifiedName()); ok {
		return value.(*knownLoad)
	}
	value, _ := s.loads.LoadOrStore(spec.QualifiedName(), &knownLoad{})
	return value.(*knownLoad)
}

// learn keeps the load that came with a scheduler's answer.
func (s *Server) learn(spec *fleet.Upstream, load scheduler.Load) {
	known := s.known(spec)
	known.mu.Lock()
	defer known.mu.Unlock()
	known.load, known.at, known.suspected = load, time.Now(), false
}

// suspect remembers that an upstream failed, so that other work avoids it until
// it answers again.
func (s *Server) suspect(spec *fleet.Upstream) {
	known := s.known(spec)
	known.mu.Lock()
	defer known.mu.Unlock()
	known.load, known.at, known.suspected = scheduler.Load{}, time.Now(), true
}

// sending counts work that is about to be sent. Until its scheduler reports the
// load again, all requests would otherwise go to the same upstream.
func (s *Server) sending(spec *fleet.Upstream, cost int64) {
	known := s.known(spec)
	known.mu.Lock()
	defer known.mu.Unlock()
	known.sent.Add(time.Now(), cost)
}

// cost is that of the work in the fair queues, as its scheduler counts it.
func (ex *exchange) cost() (cost int64) {
	g, ok := ex.work.(*generation)
	if !ok {
		return scheduler.CallCost
	}
	return policy.DefaultTokenCosts.Cost(policy.Tokens(g.spec.Prompt), 0, g.spec.MaxTokens-len(g.tokens))
}

// schedulers returns the nodes to ask for an upstream, in order.
func (s *Server) stewards(spec *fleet.Upstream) (addresses []netip.AddrPort) {
	return s.options.Directory.Schedulers(spec)
}
