package platformtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

type (
	// Cloud is a stand-in for the platform's calls that report usage and order
	// capacity. It answers a call with status 409 if its fencing token is lower than
	// an earlier one for the same subject, or if its body can't be decoded, and with
	// 400 if it lacks the token or the holder. All usage reports are one subject;
	// orders have one per service and zone. It is safe for concurrent use.
	Cloud struct {
		mu            sync.Mutex
		highestTokens map[string]uint64
		usage         map[int64]map[string]int64
		violations    []string
		orders        []Order
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
	return &Cloud{highestTokens: map[string]uint64{}, usage: map[int64]map[string]int64{}}
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
// same usage window with different counts.
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
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/usage":
		var report struct {
			Window int64            `json:"window"`
			Counts map[string]int64 `json:"counts"`
		}
		if json.NewDecoder(r.Body).Decode(&report) != nil || !c.acceptToken("usage", token) {
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
		if json.NewDecoder(r.Body).Decode(&order) != nil || !c.acceptToken(order.Service+"/"+order.Zone, token) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		c.orders = append(c.orders, order)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// acceptToken reports whether the fencing token is at least as high as all
// earlier ones for the subject, and records it if so. The caller holds mu.
func (c *Cloud) acceptToken(subject string, token uint64) (ok bool) {
	if token < c.highestTokens[subject] {
		return false
	}
	c.highestTokens[subject] = token
	return true
}

func equalCounts(a, b map[string]int64) (same bool) {
	for key, n := range a {
		if b[key] != n {
			return false
		}
	}
	return len(a) == len(b)
}
