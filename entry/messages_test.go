package entry

import (
	"testing"

	"github.com/guavagauge/guavagauge/nettest"
)

// Guards against RPC messages that lose fields, or whose fields are encoded by name.
func TestRPCMessages(t *testing.T) { nettest.CheckRPCMessages(t, &rpcHandler{}) }
