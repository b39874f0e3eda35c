package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

// configureQuota writes a configuration with a quota of the workspace.
func (f *testFleet) configureQuota(version int, quota string) {
	base := fmt.Sprintf(configText, version, `"`+key+`"`)
	f.store.Set(platform.ConfigKey, []byte(strings.Replace(base, `"tenants":[{`, `"tenants":[{`+quota+`,`, 1)))
}

// expectQuota checks that requests are granted n times, and then refused with the time
// after which one is granted again.
func (f *testFleet) expectQuota(address string, n int, header http.Header) {
	f.t.Helper()
	for range n {
		f.expect(f.request(address, http.MethodGet, "/draws/1", "", header), http.StatusOK, "answer")
	}
	r := f.request(address, http.MethodGet, "/draws/1", "", header)
	f.expect(r, http.StatusTooManyRequests, "Quota")
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		f.t.Fatal(err)
	}
	const early = 3 * time.Millisecond
	f.advance(time.Duration(seconds*float64(time.Second)) - early)
	f.expect(f.request(address, http.MethodGet, "/draws/1", "", header), http.StatusTooManyRequests, "Quota")
	f.advance(early)
	f.expect(f.request(address, http.MethodGet, "/draws/1", "", header), http.StatusOK, "answer")
}

// Guards against a quota that each node grants as a whole, also across failure domains,
// against a wrong Retry-After, and against requests that reach an upstream, or whose
// body is awaited, though they are refused.
func TestQuotaOfAllNodes(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.configureQuota(1, `"rate_per_s":0.2,"burst":4`)
		f.startDesk("d1", "10.2.0.1:80")
		f.domains = map[string]string{"n3": "b"}
		for name, address := range map[string]string{"n1": n1, "n2": n2, "n3": n3} {
			f.startNode(name, address)
		}
		f.advance(25 * time.Second)
		for _, node := range []string{n1, n2, n3} {
			f.expect(f.request(node, http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
			f.advance(600 * time.Millisecond)
		}
		f.expectQuota(n2, 1, nil)
		f.advance(600 * time.Millisecond)
		body, end := io.Pipe()
		defer end.Close()
		f.expect(f.send(context.Background(), n3, http.MethodPost, "/entries/1", body, nil), http.StatusTooManyRequests, "Quota")
		if runs := len(f.runs("d1")); runs != 5 {
			t.Errorf("%d runs, want those of the 5 granted requests", runs)
		}
		var text strings.Builder
		f.nodes["n3"].Metrics.WritePrometheus(&text)
		for _, want := range []string{`quota_requests_total{workspace="alpha",outcome="refused"} 1`, "quota_nodes_heard 3"} {
			if !strings.Contains(text.String(), "guavagauge_entry_"+want+"\n") {
				t.Errorf("metrics have no %s", want)
			}
		}
	})
}

// Guards against a quota in tokens that doesn't count those that requests announce.
func TestQuotaInTokens(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startFleet()
		f.advance(2 * time.Second)
		f.configureQuota(2, `"unit":"generate","plain_tokens":30,"rate_per_s":10,"burst":300`)
		f.advance(3 * time.Second)
		f.expect(f.request(n1, http.MethodPost, "/models/1", "", promptHeaders(230)), http.StatusOK, "") // and 10 of output
		f.expectQuota(n1, 2, nil)
		f.configureQuota(3, `"rate_per_s":0`)
		f.advance(3 * time.Second)
		for range 20 {
			f.expect(f.request(n1, http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
		}
	})
}

// Guards against charges that aren't given back for requests that didn't run, and
// against runs that aren't charged: answers with an error, retries, unknown outcomes.
func TestQuotaChargesRuns(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		faults []platformtest.Fault
		status int
		cost   int
	}{
		"rejected by all":    {"/draws/1", []platformtest.Fault{platformtest.Reject, platformtest.Reject}, http.StatusServiceUnavailable, 0},
		"rejected by one":    {"/draws/1", []platformtest.Fault{platformtest.Reject}, http.StatusOK, 1},
		"server error":       {"/entries/1", []platformtest.Fault{platformtest.Fail}, http.StatusInternalServerError, 1},
		"unknown outcome":    {"/entries/1", []platformtest.Fault{platformtest.Reset}, http.StatusBadGateway, 1},
		"retry after a run":  {"/draws/1", []platformtest.Fault{platformtest.Fail}, http.StatusOK, 2},
		"both may have run":  {"/draws/1", []platformtest.Fault{platformtest.Reset, platformtest.Reset}, http.StatusBadGateway, 2},
		"body is too large":  {"/entries/large", nil, http.StatusRequestEntityTooLarge, 0},
		"no upstream at all": {"/models/none", []platformtest.Fault{platformtest.Reject, platformtest.Reject}, http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startFleet()
				f.advance(2 * time.Second)
				f.configureQuota(2, `"rate_per_s":0.001,"burst":4`)
				f.advance(3 * time.Second)
				f.script.Add(c.faults...)
				body := ""
				if strings.HasSuffix(c.path, "large") {
					body = strings.Repeat("x", 1001)
				}
				f.expect(f.request(n1, http.MethodPost, c.path, body, nil), c.status, "")
				for range 4 - c.cost {
					f.expect(f.request(n1, http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
				}
				f.expect(f.request(n1, http.MethodGet, "/draws/1", "", nil), http.StatusTooManyRequests, "Quota")
			})
		})
	}
}
