package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

// A node that has just started must know which prompt parts engines have cached.
// Otherwise it sends a prompt to another engine, which reads the parts again.
func TestCacheBootstrap(t *testing.T) {
	for name, stopAll := range map[string]bool{"from another node": false, "from the engines": true} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				f.startUpstream("g1", "models", "decode", "10.2.0.1:80", &platformtest.Upstream{Events: 2})
				f.startUpstream("g2", "models", "decode", "10.2.0.2:80", &platformtest.Upstream{Events: 2})
				f.registerUpstream("g1", "models", "decode", "10.2.0.1:80", "draining") // so that g2 gets the first prompt
				f.startNodeAndWait("n1", n1)
				f.startNodeAndWait("n2", n2)
				f.advance(10 * time.Second)
				if r := f.request(n2, "POST", "/models/1", "prompt", promptHeaders(13_000)); r.status != 200 {
					t.Fatal(r)
				}
				f.registerUpstream("g1", "models", "decode", "10.2.0.1:80", "ready")
				f.advance(time.Second)
				f.nodes["n1"].Stop(context.Background())
				if stopAll {
					f.nodes["n2"].Stop(context.Background())
				}
				f.startNodeAndWait("n3", n3)
				f.advance(5 * time.Second)
				if r := f.request(n3, "POST", "/models/2", "prompt", promptHeaders(13_000)); r.status != 200 {
					t.Fatal(r)
				}
				if ran := len(f.runs("g2")); ran != 2 {
					t.Errorf("%d runs at the engine that has the prompt cached, want 2", ran)
				}
			})
		})
	}
}
