package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

// A request that crashes each upstream that runs it comes again and again, at any
// node. After the third crash it reaches none, and others are served on.
func TestPoisonIsHeldOut(t *testing.T) {
	inWorld(t, func(w *world) {
		w.startNode("n2", n2)
		w.startNode("n3", n3)
		w.configure(1, key)
		for id, address := range map[string]string{"d1": "10.2.0.1:80", "d2": "10.2.0.2:80", "d3": "10.2.0.3:80", "d4": "10.2.0.4:80"} {
			w.serve(id, "desk", "", address, &platformtest.Upstream{Poison: "poison"})
		}
		w.node("n1", n1)
		for i := range 12 {
			w.ask(w.addresses()[i%3]+":80", http.MethodPost, "/entries/1", "poison", nil)
			w.pass(2 * time.Second)
		}
		poisoned := 0
		for id := range w.upstreams {
			for _, run := range w.runs(id) {
				if run.Body == "poison" {
					poisoned++
				}
			}
		}
		if poisoned > 3 {
			t.Errorf("the request ran %d times, want at most 3", poisoned)
		}
		for _, address := range w.addresses() {
			w.want(w.ask(address+":80", http.MethodPost, "/entries/1", "sound", nil), http.StatusOK, "answer")
			w.want(w.ask(address+":80", http.MethodPost, "/entries/1", "poison", nil), http.StatusServiceUnavailable, "HeldOut")
		}
	})
}

// Broken answers of upstreams that live on hold nothing out.
func TestBrokenAnswersHoldNothingOut(t *testing.T) {
	inWorld(t, func(w *world) {
		w.ready()
		for range 6 {
			w.script.Add(platformtest.Reset)
			w.want(w.ask(n1+":80", http.MethodPost, "/entries/1", "same", nil), http.StatusBadGateway, "Broken")
			w.pass(5 * time.Second)
		}
		w.want(w.ask(n1+":80", http.MethodPost, "/entries/1", "same", nil), http.StatusOK, "answer")
	})
}
