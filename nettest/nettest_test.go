package nettest_test

import (
	"io"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/guavagauge/guavagauge/nettest"
)

// Guards against a dialer that waits forever on a connection that was still in
// the accept queue of a listener when the listener was closed.
func TestClosedListenerResetsUnacceptedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:80")
		listener, err := network.Host("10.0.0.2").Listen(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := network.Host("10.0.0.1").Dial(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
		if _, err := conn.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Errorf("read on a connection that was never accepted: %v, want a reset", err)
		}
	})
}
