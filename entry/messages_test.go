package entry

import (
	"testing"

	"github.com/guavagauge/guavagauge/nettest"
)

func TestRPCMessages(t *testing.T) { nettest.CheckRPCMessages(t, &receiver{}) }
