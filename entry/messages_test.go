package entry

import (
	"testing"

	"github.com/guavagauge/guavagauge/nettest"
)

func TestReceiverMessages(t *testing.T) { nettest.CheckRPCMessages(t, &receiver{}) }
