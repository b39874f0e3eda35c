package quota

import (
	"iter"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// refreshInterval is the time between two counts of the nodes heard from.
	refreshInterval = 100 * time.Millisecond
	// dropInterval is the time between two searches for totals to be dropped.
	dropInterval = time.Minute
	// rolloutPeriod is how long after the first quotas of a running fleet a node uses
	// the whole quotas, whatever it hears: nodes report only once they have a quota,
	// and a configuration takes up to three seconds to be in force on all of them.
	// For as long, a node reports after the last quota was removed.
	rolloutPeriod = 4 * time.Second
)

type (
	// Options configures Accounts. The quotas of all windows of length Window are kept
	// within 1 + Overage of themselves, plus Slack tokens.
	Options struct {
		Node    string
		Start   time.Time     // of the process
		Now     time.Duration // clock reading at the start of the process
		Window  time.Duration
		Overage float64
		Slack   float64 // tokens; not used for quotas in requests
	}

	// Accounts holds the accounts of the workspaces with a quota, and what is known of
	// the grants of all nodes.
	Accounts struct {
		options   Options
		startedAt time.Duration // clock reading

		mu            sync.Mutex
		configured    bool
		limited       map[string]*account // by workspace
		own           *nodeTotals
		nodes         map[string]*nodeTotals // the others that were heard from in the last reportTTL
		listed        int                    // nodes in the store, with this one; 0: unknown
		heard         Heard                  // when last counted
		refreshedAt   time.Duration          // clock reading
		droppedAt     time.Duration          // clock reading of the last search for old totals
		rolloutEnd    time.Duration          // clock reading
		reportsEnd    time.Duration          // clock reading; without quotas
		localReports  schedule
		remoteReports schedule
	}

	// account is the Account of a workspace with its counters.
	account struct {
		*Account
		key       Key
		createdAt time.Duration // clock reading
		stats     Stats
	}

	// schedule is when the parts of reports were last sent, as clock readings.
	schedule struct {
		begun                        bool
		sentAt, mentionedAt, allSent time.Duration
	}

	// Heard is the part of the fleet that a node has heard from.
	Heard struct {
		Nodes int           // with this one
		Of    int           // nodes listed or heard, whichever is more; 0: unknown
		Age   time.Duration // of the oldest last report of those heard
	}

	// Stats describes the account of a workspace on this node.
	Stats struct {
		Granted, Refused, Returned Count
		Balance                    float64 // units
	}

	// Count is a number of requests and their cost.
	Count struct{ Requests, Units int64 }

	// Decision is the result of Admit: Granted, Refused or Starting.
	Decision interface{ isDecision() }

	// Granted means that the request may run.
	Granted struct{ Charge *Charge }

	// Refused means that the request is over the quota.
	Refused struct{ RetryAfter time.Duration } // until the workspace has credit

	// Starting means that the node doesn't know yet which part of the quota it may use.
	Starting struct{}

	// Charge is what a request was charged. The methods of a nil Charge, that of a
	// workspace without a quota, do nothing.
	Charge struct {
		accounts *Accounts
		account  *account
		cost     int64
		final    bool // not to be given back
	}
)

func (Granted) isDecision()  {}
func (Refused) isDecision()  {}
func (Starting) isDecision() {}

// New returns accounts without any quota.
func New(options Options) (a *Accounts) {
	return &Accounts{
		options: options, startedAt: options.Now, limited: map[string]*account{}, nodes: map[string]*nodeTotals{},
		own:        &nodeTotals{start: options.Start.UnixMilli(), complete: true, totals: map[Key]*total{}},
		rolloutEnd: math.MinInt64, reportsEnd: math.MinInt64,
	}
}

// Configure puts the quotas of a configuration in force, by workspace. Those of the
// first configuration begin without credit, since the process before may have used it.
func (a *Accounts) Configure(quotas map[string]Quota, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !a.configured
	a.configured = true
	if !first && len(a.limited) == 0 {
		a.rolloutEnd = now + rolloutPeriod
	}
	if len(a.limited) > 0 {
		a.reportsEnd = now + rolloutPeriod
	}
	for workspace, before := range a.limited {
		if q := quotas[workspace]; !q.Limited() || keyOf(workspace, q) != before.key {
			delete(a.limited, workspace)
		}
	}
	for workspace, q := range quotas {
		if !q.Limited() {
			continue
		}
		share := a.share(q, now)
		if before := a.limited[workspace]; before != nil {
			before.Set(q, share, now)
			continue
		}
		created := &account{Account: NewAccount(q, share, a.options.Window, now), key: keyOf(workspace, q), createdAt: now}
		if first {
			created.balance = 0
		}
		a.limited[workspace] = created
	}
}

// SetListed sets the number of nodes in the store, including this one.
func (a *Accounts) SetListed(nodes int, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listed = nodes
	a.recount(now)
}

// refresh forgets nodes that are silent, and recounts the others. It drops totals that
// aren't needed any more.
func (a *Accounts) refresh(now time.Duration) {
	if now-a.refreshedAt < refreshInterval {
		return
	}
	for _, account := range a.limited {
		account.mark(now)
	}
	a.recount(now)
	a.refreshedAt = now
	if now-a.droppedAt < dropInterval {
		return
	}
	a.droppedAt = now
	inUse := func(key Key) bool {
		account := a.limited[key.Workspace]
		return account != nil && account.key == key
	}
	a.own.dropOld(inUse, now)
	for _, node := range a.nodes {
		node.dropOld(inUse, now)
	}
}

// recount counts the nodes heard from and sets the shares of all accounts.
func (a *Accounts) recount(now time.Duration) {
	lost := false
	a.heard = Heard{Nodes: 1}
	for name, node := range a.nodes {
		if now-node.heardAt > reportTTL {
			delete(a.nodes, name)
			lost = true
			continue
		}
		a.heard.Nodes++
		a.heard.Age = max(a.heard.Age, now-node.heardAt)
	}
	if a.listed > 0 {
		a.heard.Of = max(a.listed, a.heard.Nodes)
	}
	for _, account := range a.limited {
		share := a.share(account.quota, now)
		if lost && share < account.share {
			account.setShareSince(share, now-historyLength, now)
			continue
		}
		account.Set(account.quota, share, now)
	}
}

// share returns the part of a quota that this node and those that it hears from use. In
// a fleet that is split into parts, the shares of the parts add up to at most 1 plus
// half of the tolerance that the bound allows. The other half is for grants that are
// still to be reported.
func (a *Accounts) share(quota Quota, now time.Duration) (share float64) {
	switch {
	case a.heard.Of == 0:
		return 0
	case now < a.rolloutEnd:
		return 1
	}
	allowed := quota.Rate*a.options.Window.Seconds() + quota.Burst
	tolerance := allowed * a.options.Overage
	switch quota.Unit.(type) {
	case Tokens:
		tolerance += a.options.Slack
	default:
	}
	return min(1, float64(a.heard.Nodes)/float64(a.heard.Of)*(1+tolerance/2/allowed))
}

// Admit decides on a request of a workspace, and charges it if it is granted.
func (a *Accounts) Admit(workspace string, usage Usage, now time.Duration) (decision Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.limited[workspace]
	if account == nil {
		return Granted{}
	}
	a.refresh(now)
	if account.share == 0 {
		return Starting{}
	}
	cost := account.quota.Cost(usage)
	retryAfter, ok := account.Take(cost, now)
	if !ok {
		account.stats.Refused.add(cost)
		return Refused{RetryAfter: retryAfter}
	}
	account.stats.Granted.add(cost)
	a.own.add(account.key, cost, now)
	return Granted{Charge: &Charge{accounts: a, account: account, cost: cost}}
}

// Refund gives the charge back, once, unless Keep or ChargeAgain was called.
func (c *Charge) Refund(now time.Duration) {
	if c == nil {
		return
	}
	c.accounts.mu.Lock()
	defer c.accounts.mu.Unlock()
	if c.final {
		return
	}
	c.final = true
	c.account.deduct(-float64(c.cost), now)
	c.account.stats.Returned.add(c.cost)
	c.accounts.own.add(c.account.key, -c.cost, now)
}

// Keep makes the charge final, since the request may have run.
func (c *Charge) Keep() {
	if c == nil {
		return
	}
	c.accounts.mu.Lock()
	defer c.accounts.mu.Unlock()
	c.final = true
}

// ChargeAgain charges a further run of the request, whatever the balance.
func (c *Charge) ChargeAgain(now time.Duration) {
	if c == nil {
		return
	}
	c.accounts.mu.Lock()
	defer c.accounts.mu.Unlock()
	c.final = true
	c.account.deduct(float64(c.cost), now)
	c.account.stats.Granted.add(c.cost)
	c.accounts.own.add(c.account.key, c.cost, now)
}

// Heard returns the part of the fleet that this node had heard from when it last
// counted. It is zero if there is no quota.
func (a *Accounts) Heard() (heard Heard) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.limited) == 0 {
		return Heard{}
	}
	return a.heard
}

// All returns the workspaces with a quota, in order, with their figures at the last
// count of the nodes.
func (a *Accounts) All() iter.Seq2[string, Stats] {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := map[string]Stats{}
	for workspace, account := range a.limited {
		account.stats.Balance = account.balance
		all[workspace] = account.stats
	}
	return func(yield func(string, Stats) bool) {
		for _, workspace := range slices.Sorted(maps.Keys(all)) {
			if !yield(workspace, all[workspace]) {
				return
			}
		}
	}
}

func (c *Count) add(units int64) {
	c.Requests++
	c.Units += units
}

// next returns since when totals must have changed to be sent now, and whether all nodes
// are to be mentioned and all totals are to be sent.
func (s *schedule) next(now time.Duration) (since time.Duration, mention, all bool) {
	// A domain of 100 nodes sends every 600 ms. After reportTTL, the others set their base
	// anew.
	since = max(min(now-repeatPeriod, s.sentAt), now-reportTTL)
	all = !s.begun || now-s.allSent >= fullInterval
	mention = all || now-s.mentionedAt >= heartbeatInterval
	if all {
		s.allSent = now
	}
	if mention {
		s.mentionedAt = now
	}
	s.begun, s.sentAt = true, now
	return since, mention, all
}
