package platformtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

type (
	// Cloud stands in for the calls that report usage and order capacity.
	Cloud struct {
		mu     sync.Mutex
		fences map[string]uint64
		usage  map[int64]map[string]int64
		faults []string
		orders []Order
	}

	// Order is an order of capacity that was accepted.
	Order struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Count   int    `json:"desired_count"`
		Spot    bool   `json:"spot"`
	}
)

// NewCloud returns a stand-in that has seen no call.
func NewCloud() *Cloud {
	return &Cloud{fences: map[string]uint64{}, usage: map[int64]map[string]int64{}}
}

// Usage returns the counts that were reported for a window.
func (c *Cloud) Usage(window int64) (counts map[string]int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, ok = c.usage[window]
	return counts, ok
}

// Windows returns the number of windows that were reported, and the sum of their
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

// Violations returns what no caller may do and one did.
func (c *Cloud) Violations() (faults []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(faults, c.faults...)
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
		if json.NewDecoder(r.Body).Decode(&report) != nil || !c.fence("usage", token) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		before, known := c.usage[report.Window]
		if known && !equal(before, report.Counts) {
			c.faults = append(c.faults, "two reports of window "+strconv.FormatInt(report.Window, 10))
		}
		c.usage[report.Window] = report.Counts
	case "/scale":
		var order Order
		if json.NewDecoder(r.Body).Decode(&order) != nil || !c.fence(order.Service+"/"+order.Zone, token) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		c.orders = append(c.orders, order)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// fence is called with mu held.
func (c *Cloud) fence(subject string, token uint64) (ok bool) {
	if token < c.fences[subject] {
		return false
	}
	c.fences[subject] = token
	return true
}

func equal(a, b map[string]int64) (same bool) {
	for key, n := range a {
		if b[key] != n {
			return false
		}
	}
	return len(a) == len(b)
}
