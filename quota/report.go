package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// reportTTL is how long after its last report a node counts as heard from. Until
	// then, each part of a fleet that has just been split uses whole quotas: with 2 s and
	// three parts, a workspace at 7.5 times its usual load got 1.15 times the bound, with
	// 1.5 s 1.06 times.
	// Nodes are heard from within 0.5 s if no datagram is lost, and within 1.42 s if 2 in
	// 100 are. A new store reader may need 1.6 s for its first aggregate.
	reportTTL = 1500 * time.Millisecond
	// heartbeatInterval is the longest time between two reports of a node to its domain,
	// and between two mentions of each node in the aggregates of a domain, which are sent
	// as often.
	heartbeatInterval = 250 * time.Millisecond
	// fullInterval is the time between two reports with all totals.
	fullInterval = time.Second
	// repeatPeriod is how long a total is reported after it has changed, and a silent node
	// to other domains: in two or three aggregates, which may be lost. It is below
	// reportTTL, or a node that has just been forgotten would count as heard from again.
	repeatPeriod = 600 * time.Millisecond
	// totalRetention is how long a total is kept after its last change if its workspace
	// has no quota any more. The quota may come back, on some nodes before others.
	totalRetention = 10 * time.Minute
	// maxReportedTotals bounds the totals of a message to about 5 KB. A node relays those
	// of up to five other domains in a datagram of 60 KB, beside loads and cache inserts.
	maxReportedTotals = 600
	// maxTotal is the largest total that is believed. Larger integers aren't exact as
	// floating point numbers.
	maxTotal = 1 << 53
)

type (
	// Reports is what a node tells others, of itself or of all nodes of its domain. The
	// zero value says nothing.
	Reports struct {
		Accounts []Key    `cbor:"1,keyasint,omitzero"` // those that Nodes refer to by index
		Nodes    []Report `cbor:"2,keyasint,omitzero"`
	}

	// Key identifies an account. Units of different kinds are never added up.
	Key struct {
		Workspace string `cbor:"1,keyasint,omitzero"`
		Tokens    bool   `cbor:"2,keyasint,omitzero"` // the unit
	}

	// Report has running totals of one incarnation of a node: what it granted since its
	// start, less what was given back.
	Report struct {
		Node     string        `cbor:"1,keyasint,omitzero"` // empty: the sender
		Start    int64         `cbor:"2,keyasint,omitzero"` // Unix time in milliseconds; tells incarnations apart
		UptimeMs int64         `cbor:"3,keyasint,omitzero"` // orders the reports of an incarnation
		Totals   map[int]int64 `cbor:"4,keyasint,omitzero"` // units, by index in Reports.Accounts
		Full     bool          `cbor:"5,keyasint,omitzero"` // all totals that aren't 0 are in Totals
	}

	// nodeTotals is what is known of one incarnation of a node.
	nodeTotals struct {
		start    int64         // as in Report
		uptimeMs int64         // of the last report
		local    bool          // in the failure domain of this node
		heardAt  time.Duration // clock reading
		began    time.Duration // clock reading; the past if the incarnation was long running when it was first heard
		// complete is set once a full report has arrived, so that totals that aren't
		// known were 0.
		complete bool
		totals   map[Key]*total
	}

	// total is a running total.
	total struct {
		units     int64
		changedAt time.Duration // clock reading
	}

	// reportWriter collects the totals for a message.
	reportWriter struct {
		reports Reports
		indexes map[Key]int
		count   int
	}
)

// keyOf returns the key of a workspace's account with a quota.
func keyOf(workspace string, quota Quota) (key Key) {
	_, tokens := quota.Unit.(Tokens)
	return Key{Workspace: workspace, Tokens: tokens}
}

// add adds units to the total of an account.
func (n *nodeTotals) add(key Key, units int64, now time.Duration) {
	if n.totals[key] == nil {
		n.totals[key] = &total{}
	}
	n.totals[key].units += units
	n.totals[key].changedAt = now
}

// dropOld drops totals of accounts that aren't in use.
func (n *nodeTotals) dropOld(inUse func(key Key) bool, now time.Duration) {
	maps.DeleteFunc(n.totals, func(key Key, t *total) bool { return now-t.changedAt > totalRetention && !inUse(key) })
}

// changed returns the number of totals that have changed since a time.
func (n *nodeTotals) changed(since time.Duration) (count int) {
	for _, t := range n.totals {
		if t.changedAt >= since {
			count++
		}
	}
	return count
}

// write adds the report of a node with the totals that have changed since a time, or
// with all of them. A node without such totals is left out unless mention is set.
func (w *reportWriter) write(name string, node *nodeTotals, since time.Duration, mention, all bool) {
	r := Report{Node: name, Start: node.start, UptimeMs: node.uptimeMs, Full: all && node.complete}
	for key, t := range node.totals {
		if !all && t.changedAt < since {
			continue
		}
		if w.count >= maxReportedTotals { // the order of the map differs from message to message
			r.Full = false
			break
		}
		index, ok := w.indexes[key]
		if !ok {
			index = len(w.reports.Accounts)
			w.indexes[key] = index
			w.reports.Accounts = append(w.reports.Accounts, key)
		}
		if r.Totals == nil {
			r.Totals = map[int]int64{}
		}
		r.Totals[index] = t.units
		w.count++
	}
	if mention || len(r.Totals) > 0 {
		w.reports.Nodes = append(w.reports.Nodes, r)
	}
}

// Report returns this node's report to the nodes of its failure domain. It says nothing
// if there is nothing new, or no workspace has a quota.
func (a *Accounts) Report(now time.Duration) (reports Reports) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	return a.write(&a.localReports, false, now)
}

// Aggregate returns the reports of all nodes of this failure domain to other domains.
func (a *Accounts) Aggregate(now time.Duration) (reports Reports) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	return a.write(&a.remoteReports, true, now)
}

// write returns the reports that are due.
func (a *Accounts) write(due *schedule, domain bool, now time.Duration) (reports Reports) {
	if len(a.limited) == 0 && now >= a.reportsEnd {
		return Reports{}
	}
	since, mention, all := due.next(now)
	a.own.uptimeMs = (now - a.startedAt).Milliseconds()
	nodes := map[string]*nodeTotals{"": a.own}
	if domain {
		for name, node := range a.nodes {
			if node.local && now-node.heardAt <= repeatPeriod {
				nodes[name] = node
			}
		}
	}
	room := maxReportedTotals // for totals that haven't changed
	for _, node := range nodes {
		room -= node.changed(since)
	}
	w := reportWriter{indexes: map[Key]int{}}
	for name, node := range nodes { // those with full reports differ from message to message
		unchanged := len(node.totals) - node.changed(since)
		full := all && unchanged <= room
		if full {
			room -= unchanged
		}
		w.write(name, node, since, mention, full)
	}
	return w.reports
}

// Apply applies the reports that a node sent, directly or relayed. local means that the
// sender is in the failure domain of this node. It returns the number of figures that
// were ignored as absurd.
func (a *Accounts) Apply(sender string, reports Reports, local bool, now time.Duration) (absurd int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	for _, r := range reports.Nodes {
		if r.Node == "" {
			r.Node = sender
		}
		switch {
		case r.Node == a.options.Node:
		case r.UptimeMs < 0 || r.UptimeMs > maxTotal || r.Start < 0:
			absurd++
		default:
			absurd += a.applyReport(r, reports.Accounts, local, now)
		}
	}
	return absurd
}

// applyReport deducts what a node has granted since its last report.
func (a *Accounts) applyReport(r Report, accounts []Key, local bool, now time.Duration) (absurd int) {
	node := a.nodes[r.Node]
	if node != nil && r.Start < node.start && now-node.heardAt >= reportDelay {
		node = nil // has restarted, and its wall clock went back
	}
	if node != nil && (r.Start < node.start || r.Start == node.start && r.UptimeMs <= node.uptimeMs) {
		return 0 // not newer
	}
	// A gap in the uptimes is silence, too: after a pause, this node first reads datagrams
	// that arrived when it began.
	if node == nil || r.Start > node.start || r.UptimeMs-node.uptimeMs > reportTTL.Milliseconds() {
		node = &nodeTotals{start: r.Start, totals: map[Key]*total{}, heardAt: now, began: math.MinInt64}
		if uptime := time.Duration(r.UptimeMs) * time.Millisecond; r.UptimeMs <= reportTTL.Milliseconds() {
			node.began = now - uptime
		}
		a.nodes[r.Node] = node
		a.recount(now)
	}
	node.uptimeMs, node.local, node.heardAt = r.UptimeMs, local, now
	for index, units := range r.Totals {
		if index < 0 || index >= len(accounts) || units < 0 || units > maxTotal {
			absurd++
			continue
		}
		key := accounts[index]
		account := a.limited[key.Workspace]
		if account != nil && account.key != key {
			account = nil // of another unit, which this node has had or will have
		}
		known := node.totals[key]
		if known != nil && units < known.units && now-known.changedAt > totalRetention {
			known = nil // was dropped there, and begins anew
		}
		deducted := units
		switch {
		case known != nil:
			deducted -= known.units
		case !node.complete && (account == nil || node.began < account.createdAt):
			deducted = 0 // sets the base
		}
		if known == nil {
			known = &total{}
			node.totals[key] = known
		}
		if known.units != units {
			known.units, known.changedAt = units, now
		}
		if account != nil && deducted != 0 {
			account.deductLate(float64(deducted), now)
		}
	}
	node.complete = node.complete || r.Full
	return absurd
}
