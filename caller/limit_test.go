package caller

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/upstream"
)

// Guards against limits that admit more requests than the node's share, that
// still count a request after its end, or that charge a refused request to the
// rate limit.
func TestWorkspaceLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := 1
		l := newLimits(func() int { return nodes })
		w := &fleet.Workspace{Meta: fleet.Meta{Owner: "o", Name: "w"}, RequestsPerSecond: 10, Burst: 4, Concurrent: 6}
		acquire := func(n int, reasons map[upstream.Reason]int) {
			t.Helper()
			got := make(map[upstream.Reason]int)
			for range n {
				reason, wait := l.acquire(w, time.Now())
				got[reason]++
				if reason == upstream.ReasonRate && (wait <= 0 || wait > time.Second) {
					t.Errorf("wait of %v for the rate limit", wait)
				}
			}
			if !maps.Equal(got, reasons) {
				t.Errorf("got %v, want %v", got, reasons)
			}
		}
		release := func(n int) {
			for range n {
				l.release(w)
			}
		}
		acquire(20, map[upstream.Reason]int{"": 4, upstream.ReasonRate: 16})
		time.Sleep(time.Second)
		acquire(20, map[upstream.Reason]int{"": 2, upstream.ReasonConcurrency: 18})
		release(6)
		acquire(3, map[upstream.Reason]int{"": 2, upstream.ReasonRate: 1}) // two tokens of the burst are left
		release(2)
		nodes = 2
		time.Sleep(10 * time.Second)
		acquire(20, map[upstream.Reason]int{"": 2, upstream.ReasonRate: 18})
		time.Sleep(400 * time.Millisecond) // at 5 requests per second
		acquire(20, map[upstream.Reason]int{"": 1, upstream.ReasonConcurrency: 19})
		release(3)
		nodes = 100 // a node's share is at least one request
		time.Sleep(10 * time.Second)
		acquire(20, map[upstream.Reason]int{"": 1, upstream.ReasonConcurrency: 19})
		release(1)
		w = &fleet.Workspace{Meta: fleet.Meta{Owner: "o", Name: "free"}}
		acquire(50, map[upstream.Reason]int{"": 50})
	})
}

// Guards against forwarding an API key to an upstream, in any header, and
// against forwarding hop-by-hop headers.
func TestEndToEndHeader(t *testing.T) {
	cases := []struct{ name, header, kept string }{
		{"bearer", "Authorization: Bearer the-key|Accept: a", "Accept"},
		{"scheme in lower case", "Authorization: bearer the-key|X-Copy: the-key|Accept: a", "Accept"},
		{"x-api-key", "X-Api-Key: the-key|X-Copy: see the-key!|Accept: a", "Accept"},
		{"api-key", "Api-Key: the-key|Accept: a|Accept: b the-key", ""},
		{"second key", "Authorization: Bearer the-key|X-Api-Key: other-key|X-Copy: other-key|Api-Key: third|Accept: a", "Accept"},
		{"basic", "Authorization: Basic dTpw|X-Api-Key: the-key|X-Copy: the-key|Cookie: c", "Cookie"},
		{"no key", "Accept: a|Cookie: c", "Accept Cookie"},
		{"hop by hop", "Connection: close, x-hop|X-Hop: 1|Keep-Alive: 5|Te: trailers|Trailer: A|Transfer-Encoding: chunked|" +
			"Upgrade: h2c|Proxy-Authorization: p|Proxy-Connection: close|Accept: a", "Accept"},
	}
	for _, test := range cases {
		header := make(http.Header)
		for line := range strings.SplitSeq(test.header, "|") {
			name, value, _ := strings.Cut(line, ": ")
			header.Add(name, value)
		}
		kept := slices.Sorted(maps.Keys(endToEndHeader(header)))
		if got := strings.Join(kept, " "); got != test.kept {
			t.Errorf("%s: kept %q, want %q", test.name, got, test.kept)
		}
	}
}
