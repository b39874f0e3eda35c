package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

// A request crashes every upstream that runs it, and is repeated at all nodes.
// After the third crash no upstream gets it, and other requests are still served.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startNode("n2", n2)
		f.startNode("n3", n3)
		f.configure(1, key)
		for id, address := range map[string]string{"d1": "10.2.0.1:80", "d2": "10.2.0.2:80", "d3": "10.2.0.3:80", "d4": "10.2.0.4:80"} {
			f.startUpstream(id, "desk", "", address, &platformtest.Upstream{Poison: "poison"})
		}
		f.startNodeAndWait("n1", n1)
		for i := range 12 {
			f.request(f.nodeAddresses()[i%3]+":80", http.MethodPost, "/entries/1", "poison", nil)
			f.advance(2 * time.Second)
		}
		poisoned := 0
		for id := range f.upstreams {
			for _, run := range f.runs(id) {
				if run.Body == "poison" {
					poisoned++
				}
			}
		}
		if poisoned > 3 {
			t.Errorf("the request ran %d times, want at most 3", poisoned)
		}
		for _, address := range f.nodeAddresses() {
			f.expect(f.request(address+":80", http.MethodPost, "/entries/1", "sound", nil), http.StatusOK, "answer")
			f.expect(f.request(address+":80", http.MethodPost, "/entries/1", "poison", nil), http.StatusServiceUnavailable, "HeldOut")
		}
	})
}

// Broken responses of an upstream that hasn't crashed don't quarantine a request.
func TestBrokenResponsesQuarantineNothing(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startFleet()
		for range 6 {
			f.script.Add(platformtest.Reset)
			f.expect(f.request(n1+":80", http.MethodPost, "/entries/1", "same", nil), http.StatusBadGateway, "Broken")
			f.advance(5 * time.Second)
		}
		f.expect(f.request(n1+":80", http.MethodPost, "/entries/1", "same", nil), http.StatusOK, "answer")
	})
}
