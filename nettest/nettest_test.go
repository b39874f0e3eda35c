package nettest_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/nettest"
)

// listen returns a listener at an address of the network.
func listen(t *testing.T, network *nettest.Network, address netip.AddrPort) (listener net.Listener) {
	t.Helper()
	listener, err := network.Host(address.Addr().String()).Listen(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// Guards against a dialer that waits forever on a connection that was still in
// the accept queue of a listener when the listener was closed.
func TestClosedListenerResetsUnacceptedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:80")
		listener := listen(t, network, address)
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

// The connections of a host share the rate of its link.
func TestRateIsSharedByConnections(t *testing.T) {
	const (
		bytesEach = 100_000
		bits      = 8
		rate      = 1e6
	)
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		network.SetRate("10.0.0.2", rate)
		address := netip.MustParseAddrPort("10.0.0.2:80")
		listener := listen(t, network, address)
		var received sync.WaitGroup
		start := time.Now()
		for range 2 {
			conn, err := network.Host("10.0.0.1").Dial(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			received.Go(func() {
				if _, err := io.ReadFull(accepted, make([]byte, bytesEach)); err != nil {
					t.Error(err)
				}
			})
			if _, err := conn.Write(make([]byte, bytesEach)); err != nil {
				t.Fatal(err)
			}
		}
		received.Wait()
		if took, want := time.Since(start), time.Duration(2*bytesEach*bits/rate*float64(time.Second)); took != want {
			t.Errorf("both transfers took %s, want %s", took, want)
		}
	})
}

// Guards against a silent connection that shows its end or loses its own side, and
// against silence that reaches connections opened later.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:80")
		listener := listen(t, network, address)
		defer listener.Close()
		for _, silent := range []bool{true, false} {
			dialed, err := network.Host("10.0.0.1").Dial(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if silent {
				network.Silence("10.0.0.1", "10.0.0.2")
			}
			if _, err = accepted.Write([]byte("x")); err != nil {
				t.Errorf("silent %t: write: %v", silent, err)
			}
			accepted.Close()
			dialed.SetReadDeadline(time.Now().Add(time.Hour))
			n, err := dialed.Read(make([]byte, 1))
			if timedOut := errors.Is(err, os.ErrDeadlineExceeded); timedOut != silent || (n == 1) == silent {
				t.Errorf("silent %t: %d bytes read, error %v", silent, n, err)
			}
			dialed.SetReadDeadline(time.Time{})
			dialed.Close()
			if _, err = dialed.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
				t.Errorf("silent %t: read after the own end was closed: %v", silent, err)
			}
		}
	})
}
