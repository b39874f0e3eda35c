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

// Guards against a call that hangs for as long as the store's responses are
// lost, and against a reply that reports a change that took effect as failed.
func TestUnknownOutcomeIsReportedInTime(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithTimeout(f.ctx, 10*time.Minute)
		defer cancel()
		f.store.SetDelay(time.Second)
		done := make(chan error)
		go func() {
			_, err := f.clients[0].Label(ctx, operator.LabelRequest{Kind: "workspace", Owner: "o", Name: "beta", Key: "k", Value: "v"})
			done <- err
		}()
		before := f.store.Revision()
		for f.store.Revision() < before+3 { // the writes of the chunk, the record and the head
			time.Sleep(100 * time.Millisecond)
		}
		f.store.Partition(storeClient, storetest.Responses)
		reply := refusalReply(t, <-done, http.StatusGatewayTimeout)
		if !strings.Contains(reply.Error, "may be in force") {
			t.Errorf("reply %q doesn't say that the change may be in force", reply.Error)
		}
		f.store.Heal(storeClient)
		f.store.SetDelay(0)
		if revision, config := f.config(); revision != 2 || config.Workspaces[1].Labels["k"] != "v" {
			t.Errorf("revision %d: the change didn't take effect, so the reply was not tested", revision)
		}
	})
}
