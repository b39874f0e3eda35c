package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

// A request that crashes each upstream that runs it comes again and again, at any
// node. After the third crash it reaches none, and others are served on.
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

// Broken answers of upstreams that live on hold nothing out.
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
