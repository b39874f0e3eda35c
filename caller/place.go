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
	loadLifetime    = 5 * time.Second  // an older report is ignored: only the work recently sent from here counts
	suspectLifetime = 10 * time.Second // how long an upstream is avoided after a failure
	// crossDomainCost and crossRegionCost are the network costs of an upstream
	// in another failure domain or region, in units of load per slot, where 1 is
	// the work of prefilling one token. Among upstreams with the same
	// policy.Reason, which are ordered by load unless the prefix decides, a closer
	// one is preferred up to that difference in load.
	crossDomainCost = 64
	crossRegionCost = 4096
)

// knownLoad is an upstream's load as far as this node knows: the load that its
// scheduler last reported, and the cost of the work sent there since.
type knownLoad struct {
	mu        sync.Mutex
	load      scheduler.Load
	updated   time.Time // when load and suspected were last set
	suspected bool      // load is empty then
	sent      policy.SentCost
}

// matchRule sets the placement: the first rule that matches the work, with the
// upstreams that the rule selects.
func (s *Server) matchRule(ex *exchange) (refused *Refusal) {
	if ex.claim != nil && ex.claim.stored != nil {
		return nil // the stored response is replayed
	}
	defer func() {
		if refused != nil {
			s.withdrawClaim(ex)
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

// place returns up to policy.MaxChoices upstreams, best first, without those in
// tried. runAttempts uses the first and places the work anew for each attempt.
func (s *Server) place(ex *exchange, prefix []uint64, tried map[string]bool) (specs []*fleet.Upstream) {
	now := time.Now()
	untried := make([]*fleet.Upstream, 0, len(ex.placement.Upstreams))
	candidates := make([]policy.Candidate, 0, len(ex.placement.Upstreams))
	for _, spec := range ex.placement.Upstreams {
		if !tried[spec.QualifiedName()] {
			untried = append(untried, spec)
			candidates = append(candidates, s.candidate(spec, now))
		}
	}
	var choices [policy.MaxChoices]policy.Choice
	chosen := policy.Place(choices[:0], policy.PlaceRequest{
		Prefix: prefix, HashKey: rendezvous.Hash(ex.id), Domain: s.options.FailureDomain, Region: s.options.Region,
		Cost: ex.cost(),
	}, candidates, s.options.Preferences)
	for _, choice := range chosen {
		specs = append(specs, untried[choice.Index])
	}
	return specs
}

// candidate describes an upstream, with its known load, for policy.Place.
func (s *Server) candidate(spec *fleet.Upstream, now time.Time) (c policy.Candidate) {
	c = policy.Candidate{
		Hash: rendezvous.Hash(spec.QualifiedName()), Slots: spec.Slots, Domain: spec.FailureDomain, Region: spec.Region,
	}
	switch {
	case spec.Region != s.options.Region:
		c.NetworkCost = crossRegionCost
	case spec.FailureDomain != s.options.FailureDomain:
		c.NetworkCost = crossDomainCost
	}
	known := s.loadOf(spec)
	known.mu.Lock()
	defer known.mu.Unlock()
	if age := now.Sub(known.updated); age < loadLifetime {
		c.Queued, c.Running, c.Draining = known.load.WaitingCost, known.load.RunningCost, known.load.Draining
	}
	c.Queued += known.sent.Since(known.updated, now)
	c.Suspected = known.suspected && now.Sub(known.updated) < suspectLifetime
	return c
}

// loadOf returns the record of an upstream's load and adds it if there is none.
func (s *Server) loadOf(spec *fleet.Upstream) *knownLoad {
	if value, ok := s.loads.Load(spec.QualifiedName()); ok {
		return value.(*knownLoad)
	}
	value, _ := s.loads.LoadOrStore(spec.QualifiedName(), &knownLoad{})
	return value.(*knownLoad)
}

// updateLoad records the load reported in a scheduler's reply and clears the
// upstream's suspected mark.
func (s *Server) updateLoad(spec *fleet.Upstream, load scheduler.Load) {
	known := s.loadOf(spec)
	known.mu.Lock()
	defer known.mu.Unlock()
	known.load, known.updated, known.suspected = load, time.Now(), false
}

// markSuspected records that an upstream failed, so that other requests avoid
// it until its scheduler replies again or suspectLifetime has passed.
func (s *Server) markSuspected(spec *fleet.Upstream) {
	known := s.loadOf(spec)
	known.mu.Lock()
	defer known.mu.Unlock()
	known.load, known.updated, known.suspected = scheduler.Load{}, time.Now(), true
}

// countSent adds the cost of work that is about to be sent to an upstream.
// Without it, all requests between two load reports would go to the same
// upstream.
func (s *Server) countSent(spec *fleet.Upstream, cost int64) {
	known := s.loadOf(spec)
	known.mu.Lock()
	defer known.mu.Unlock()
	known.sent.Add(time.Now(), cost)
}

// cost returns the cost of the remaining work as the scheduler's fair queue
// counts it.
func (ex *exchange) cost() (cost int64) {
	g, ok := ex.work.(*generation)
	if !ok {
		return scheduler.CallCost
	}
	return policy.DefaultTokenCosts.Cost(policy.Tokens(g.outgoing.Prompt), 0, g.outgoing.MaxTokens-len(g.tokens))
}

// schedulers returns the nodes to send an upstream's work to, in the order in
// which to try them.
func (s *Server) schedulers(spec *fleet.Upstream) (addresses []netip.AddrPort) {
	return s.options.Directory.Schedulers(spec)
}
