package platformtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

type (
	// Cloud is a stand-in for the platform's calls that report usage and order
	// capacity. It answers a call with status 409 if its fencing token is lower than
	// an earlier one for the same subject, or if its body can't be decoded, and with
	// 400 if it lacks the token or the holder. All usage reports are one subject;
	// orders have one per service and zone. It is safe for concurrent use.
	Cloud struct {
		// Unfenced makes it accept calls with lower tokens, and report them as
		// violations, as well as holders that take turns within Lease. It must not
		// change while calls are served.
		Unfenced bool
		Lease    time.Duration
		// OnCall, if set, is called before a call takes effect.
		OnCall func(holder, path string)

		mu            sync.Mutex
		highestTokens map[string]uint64
		usage         map[int64]map[string]int64
		violations    []string
		orders        []Order
		lastCalls     map[string][]holderCall // by subject, the last call of each holder, newest last
	}

	holderCall struct {
		holder string
		token  uint64
		at     time.Time
	}

	// Order is an accepted order for capacity.
	Order struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Count   int    `json:"desired_count"`
		Spot    bool   `json:"spot"`
	}
)

// NewCloud returns a Cloud without reports or orders.
func NewCloud() *Cloud {
	return &Cloud{highestTokens: map[string]uint64{}, usage: map[int64]map[string]int64{}, lastCalls: map[string][]holderCall{}}
}

// Usage returns the reported counts of a usage window.
func (c *Cloud) Usage(window int64) (counts map[string]int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, ok = c.usage[window]
	return counts, ok
}

// Windows returns the number of reported usage windows and the sum of their
// counts.
func (c *Cloud) Windows() (windows int, requests int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, counts := range c.usage {
		for _, n := range counts {
			requests += n
		}
	}
	return len(c.usage), requests
}

// Orders returns the accepted orders.
func (c *Cloud) Orders() (orders []Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(orders, c.orders...)
}

// Violations describes the calls that break the platform's rules: reports of the
// same usage window with different counts and, if Unfenced, lower tokens, two
// holders with one token, and holders that take turns.
func (c *Cloud) Violations() (violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(violations, c.violations...)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || r.Header.Get("Duty-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Duty-Holder")
	if c.OnCall != nil {
		c.OnCall(holder, r.URL.Path)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/usage":
		var report struct {
			Window int64            `json:"window"`
			Counts map[string]int64 `json:"counts"`
		}
		if json.NewDecoder(r.Body).Decode(&report) != nil || !c.acceptToken("usage", holder, token) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		previous, reported := c.usage[report.Window]
		if reported && !equalCounts(previous, report.Counts) {
			c.violations = append(c.violations, "reports with different counts for window "+strconv.FormatInt(report.Window, 10))
		}
		c.usage[report.Window] = report.Counts
	case "/scale":
		var order Order
		if json.NewDecoder(r.Body).Decode(&order) != nil || !c.acceptToken(order.Service+"/"+order.Zone, holder, token) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		c.orders = append(c.orders, order)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// acceptToken reports whether the fencing token is at least as high as all
// earlier ones for the subject, or tokens aren't checked, and records it if so.
// The caller holds mu.
func (c *Cloud) acceptToken(subject, holder string, token uint64) (ok bool) {
	if token < c.highestTokens[subject] {
		if !c.Unfenced {
			return false
		}
		c.violations = append(c.violations, fmt.Sprintf("%s: token %d of %s after %d", subject, token, holder, c.highestTokens[subject]))
	}
	c.highestTokens[subject] = max(c.highestTokens[subject], token)
	if c.Unfenced {
		c.recordTurn(subject, holder, token)
	}
	return true
}

// recordTurn records a call, and a violation if another holder has called since
// the holder's last call, and that was within Lease. The caller holds mu.
func (c *Cloud) recordTurn(subject, holder string, token uint64) {
	now, calls := time.Now(), c.lastCalls[subject]
	index := slices.IndexFunc(calls, func(call holderCall) bool { return call.holder == holder })
	if index >= 0 {
		if ago := now.Sub(calls[index].at); index < len(calls)-1 && ago < c.Lease {
			c.violations = append(c.violations, fmt.Sprintf("%s: %s called %s ago, and %s since", subject, holder, ago, calls[len(calls)-1].holder))
		}
		calls = slices.Delete(calls, index, index+1)
	}
	if n := len(calls); n > 0 && calls[n-1].token == token {
		c.violations = append(c.violations, fmt.Sprintf("%s: %s and %s with token %d", subject, calls[n-1].holder, holder, token))
	}
	c.lastCalls[subject] = append(calls, holderCall{holder, token, now})
}

func equalCounts(a, b map[string]int64) (same bool) {
	for key, n := range a {
		if b[key] != n {
			return false
		}
	}
	return len(a) == len(b)
}
