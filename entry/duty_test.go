package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Each window is reported once with the requests that ran, also when its holder
// is turned away by the store or a node dies after it has served.
func TestUsage(t *testing.T) {
	for name, trouble := range map[string]func(w *world){
		"calm":                 func(*world) {},
		"store refuses holder": func(w *world) { w.store.Refuse(n1, true) },
		"answers lost":         func(w *world) { w.store.DropResponses(5) },
		"node stops":           func(w *world) { go w.nodes["n2"].Stop(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.three()
				w.pass(10 * time.Second)
				windows, before := w.cloud.Windows()
				const rounds = 20
				for i := range rounds {
					for _, address := range w.addresses() {
						w.want(w.ask(address+":80", http.MethodPost, "/entries/1", "", nil), http.StatusOK, "")
					}
					if i == rounds-1 {
						trouble(w)
					}
				}
				w.pass(20 * time.Second)
				after, requests := w.cloud.Windows()
				if got := requests - before; got != rounds*3 {
					t.Errorf("%d requests reported, want %d", got, rounds*3)
				}
				if after <= windows {
					t.Errorf("%d windows reported, as many as before", after)
				}
				for _, fault := range w.cloud.Violations() {
					t.Error(fault)
				}
			})
		})
	}
}

// A stopping node says that it isn't ready and serves on until the balancer has
// noticed.
func TestStop(t *testing.T) {
	inWorld(t, func(w *world) {
		w.ready()
		go w.nodes["n1"].Stop(context.Background())
		w.pass(time.Second)
		w.want(w.ask(n1+":81", http.MethodGet, "/v1/readiness", "", nil), http.StatusServiceUnavailable, "")
		w.want(w.ask(n1+":80", http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer")
		w.pass(5 * time.Second)
		if r := w.ask(n1+":80", http.MethodGet, "/draws/1", "", nil); r.err == nil {
			t.Errorf("after the stop: %v, want no connection", r)
		}
	})
}
