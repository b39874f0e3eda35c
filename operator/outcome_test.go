package operator_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/operator"
	"github.com/guavagauge/guavagauge/storetest"
)

// Guards against a call that hangs for as long as the store's answers stay
// away, and against a reply that denies a change that took effect.
func TestUnknownOutcome(t *testing.T) {
	inFixture(t, func(f *fixture) {
		ctx, cancel := context.WithTimeout(f.ctx, 10*time.Minute)
		defer cancel()
		f.store.SetDelay(time.Second)
		done := make(chan error)
		go func() {
			_, err := f.clients[0].Label(ctx, operator.LabelRequest{Kind: "workspace", Owner: "o", Name: "beta", Key: "k", Value: "v"})
			done <- err
		}()
		before := f.store.Revision()
		for f.store.Revision() < before+3 { // the chunk, the record and the head
			time.Sleep(100 * time.Millisecond)
		}
		f.store.Partition(storeClient, storetest.Responses)
		reply := refusal(t, <-done, http.StatusGatewayTimeout)
		if !strings.Contains(reply.Error, "may be in force") {
			t.Errorf("reply %q doesn't say that the change may be in force", reply.Error)
		}
		f.store.Heal(storeClient)
		f.store.SetDelay(0)
		if revision, config := f.config(); revision != 2 || config.Workspaces[1].Labels["k"] != "v" {
			t.Errorf("revision %d: the change didn't take effect, so that the test shows nothing", revision)
		}
	})
}
