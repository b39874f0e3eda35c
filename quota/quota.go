// Package quota enforces the quotas of workspaces over all nodes together. Every node
// has an account for each workspace with a quota, and deducts its own grants at once
// and those of the other nodes as their reports arrive. Package entry binds it to
// requests, to the configuration and to the datagrams between nodes. Package caller
// uses a single Account.
//
// Nothing here does I/O or reads a clock: time is an argument, a reading of a clock
// that never goes back and goes on while the machine is suspended. Accounts and Charge
// are safe for concurrent use, Account isn't.
//
// # Usage
//
//	accounts := quota.New(quota.Options{Node: name, Start: time.Now(), Window: 8 * time.Second, Overage: 0.1})
//	accounts.Configure(map[string]quota.Quota{"w": {Rate: 50, Burst: 100}}, clock()) // each new configuration
//	accounts.SetListed(84, clock())                                                  // each listing of the nodes
//
//	switch decision := accounts.Admit("w", quota.Usage{}, clock()).(type) {
//	case quota.Granted:
//		defer decision.Charge.Refund(clock()) // only if nothing may have run
//	case quota.Refused:
//		// status 429, Retry-After: decision.RetryAfter
//	case quota.Starting:
//		// status 503
//	}
//
//	send(accounts.Report(clock()))             // often, to the nodes of the domain
//	send(accounts.Aggregate(clock()))          // by one node, to the other domains
//	accounts.Apply(sender, reports, isLocal, clock()) // for all that is received or relayed
//
// # Reports
//
// A report has running totals, so lost, repeated and reordered ones lose nothing. It
// also shows that the node is reachable. A node that hasn't been heard from for
// reportTTL is forgotten. While it hears from a part of the fleet only, a node uses a
// part of each quota, see Accounts.share. What a node granted while it wasn't heard
// came out of its own part and isn't deducted elsewhere.
//
// # Failures
//
//   - A node dies with grants that it hasn't reported: these aren't deducted. It grants
//     nothing more.
//   - A node is cut off or paused: the others use the parts of those that they hear. A
//     pause longer than reportTTL makes the node itself forget all others, so it goes
//     on with its own part until it hears from them.
//   - All nodes restart: their accounts begin empty.
//   - A report with absurd figures is ignored where it is absurd. Whatever a report says,
//     a balance never falls below minus one window of the rate.
package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// maxCost bounds the cost of one request, so that a header with an absurd number
	// leaves totals below maxTotal for millions of such requests.
	maxCost = 1 << 32
	// creditNeeded is the balance with which a request is admitted: one unit, less what
	// rounding in balances up to 10^9 units adds up to.
	creditNeeded = 1 - 1e-6
	// maxRetryAfter bounds the time given to refused requests. Only a rate below one
	// unit an hour exceeds it.
	maxRetryAfter = time.Hour
	// reportDelay is the longest time that the report of a grant takes, if no node fails:
	// up to two intervals between datagrams in domains, one between aggregates, and the
	// latency between regions.
	reportDelay = 500 * time.Millisecond
	// historyLength is how far back an account is computed anew when nodes fall silent:
	// to the grants that the last report from them may not have had.
	historyLength = reportTTL + reportDelay
	// retryAfterStep is the precision of the Retry-After header, to which the time until
	// the account has credit is rounded up.
	retryAfterStep = time.Millisecond
)

type (
	// Quota bounds what all nodes together grant a workspace. Without a positive Rate
	// there is no limit.
	Quota struct {
		Rate  float64 // units per second
		Burst float64 // units; at least one unit is granted at a time
		Unit  Unit    // Requests by default
	}

	// Unit is what a quota counts: Requests or Tokens.
	Unit interface{ isUnit() }

	// Requests counts each request as one unit.
	Requests struct{}

	// Tokens counts the tokens that a request announces, or Plain if it announces none.
	Tokens struct{ Plain int64 }

	// Usage is what a request announces of its size.
	Usage struct {
		Known             bool
		Prompt, MaxOutput int // tokens
	}

	// Account is a token bucket that holds a share of a quota. Its balance may become
	// negative, since a request is admitted with one unit of credit whatever it costs.
	Account struct {
		quota     Quota
		share     float64       // of the quota, from 0 to 1
		window    time.Duration // of the quota's rate is the greatest debt
		balance   float64       // units
		updatedAt time.Duration // clock reading of balance
		// history has the periods since the latest mark that is older than historyLength. It is
		// empty if mark isn't called.
		history []period
	}

	// period is the time from a mark to the next.
	period struct {
		at       time.Duration // clock reading at the start
		balance  float64       // at the start
		deducted float64       // in the period
		unused   float64       // credit of the period that didn't fit into the account
	}
)

func (Requests) isUnit() {}
func (Tokens) isUnit()   {}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the cost of a request.
func (q Quota) Cost(usage Usage) (units int64) {
	switch unit := q.Unit.(type) {
	case Tokens:
		if !usage.Known {
			return min(max(unit.Plain, 0), maxCost)
		}
		return min(max(int64(usage.Prompt), 0), maxCost/2) + min(max(int64(usage.MaxOutput), 0), maxCost/2)
	default:
		return 1
	}
}

// NewAccount returns an account with the full burst of its share. Its debt never
// exceeds what the quota allows in window.
func NewAccount(quota Quota, share float64, window, now time.Duration) (a *Account) {
	a = &Account{quota: quota, share: share, window: window, updatedAt: now}
	a.balance = a.capacity()
	return a
}

// capacity returns the greatest balance. A share smaller than a unit still admits one
// request at a time.
func (a *Account) capacity() (units float64) { return max(1, a.quota.Burst*a.share) }

// add changes the balance within its bounds.
func (a *Account) add(units float64) {
	a.balance = min(max(a.balance+units, -a.quota.Rate*a.window.Seconds()), a.capacity())
}

// deduct changes the balance by units that were granted. Negative ones are given back.
func (a *Account) deduct(units float64, now time.Duration) {
	a.advance(now)
	a.add(-units)
	if len(a.history) > 0 {
		a.history[len(a.history)-1].deducted += units
	}
}

// mark begins a period of the history. Callers mark at regular times if they use
// SetShareSince.
func (a *Account) mark(now time.Duration) {
	a.advance(now)
	old := 0
	for old+1 < len(a.history) && a.history[old+1].at <= now-historyLength {
		old++
	}
	a.history = append(slices.Delete(a.history, 0, old), period{at: now, balance: a.balance})
}

// setShareSince lowers the share as if it had been lower since the clock reading from:
// the account had less credit then and got less since, and what was granted is deducted
// from that. Nodes that haven't been heard from since may have used the rest.
func (a *Account) setShareSince(share float64, from, now time.Duration) {
	a.advance(now)
	first := 0
	for first+1 < len(a.history) && a.history[first+1].at <= from {
		first++
	}
	before := a.share
	a.share = share
	for i, p := range a.history[first:] {
		if i == 0 {
			a.balance = min(p.balance, p.balance*share/before) // a debt stays
		}
		a.history[first+i].balance, a.history[first+i].unused = a.balance, 0
		end := now
		if first+i+1 < len(a.history) {
			end = a.history[first+i+1].at
		}
		a.add(a.quota.Rate * share * (end - p.at).Seconds())
		a.add(-p.deducted)
	}
	a.add(0)
}

// advance adds the credit since the last call.
func (a *Account) advance(now time.Duration) {
	elapsed := now - a.updatedAt
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	credit := a.quota.Rate * a.share * elapsed.Seconds()
	fitting := min(credit, max(a.capacity()-a.balance, 0))
	a.add(fitting)
	if len(a.history) > 0 {
		a.history[len(a.history)-1].unused += credit - fitting
	}
}

// Set changes the quota and the share. A higher burst adds the difference at once, a
// lower one cuts the balance. A higher share adds nothing, since a share that goes up
// and down would create credit.
func (a *Account) Set(quota Quota, share float64, now time.Duration) {
	a.advance(now)
	more := max(quota.Burst-a.quota.Burst, 0)
	a.quota, a.share = quota, share
	a.add(more * share)
}

// Take deducts the cost of a request if the account has a unit of credit. Otherwise it
// returns the time until it has.
func (a *Account) Take(cost int64, now time.Duration) (retryAfter time.Duration, ok bool) {
	if !a.quota.Limited() {
		return 0, true
	}
	a.advance(now)
	if a.balance >= creditNeeded {
		a.deduct(float64(cost), now)
		return 0, true
	}
	wait := (1 - a.balance) / (a.quota.Rate * a.share) // seconds; infinite without a share
	if wait >= maxRetryAfter.Seconds() {
		return maxRetryAfter, false
	}
	return time.Duration(math.Ceil(wait*float64(time.Second/retryAfterStep))) * retryAfterStep, false
}

// deductLate deducts units that were granted elsewhere up to reportDelay ago. If the
// account was full meanwhile, credit that didn't fit pays for them first, as it would
// have if they had been known at once. Otherwise requests within the quota would be
// refused.
func (a *Account) deductLate(units float64, now time.Duration) {
	a.advance(now)
	for i, p := range a.history {
		if i+1 == len(a.history) || a.history[i+1].at > now-reportDelay {
			paid := min(max(units, 0), p.unused)
			a.history[i].unused -= paid
			units -= paid
		}
	}
	a.deduct(units, now)
}
