package node_test

import (
	"testing"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/membership"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/usage"
)

func TestRPCMessageFields(t *testing.T) {
	for _, receiver := range []any{
		&membership.Receiver{}, &distribution.Receiver{}, &usage.Receiver{}, &scheduler.Receiver{},
	} {
		nettest.CheckRPCMessages(t, receiver)
	}
}
