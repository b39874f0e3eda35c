package peer_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/connlimit"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/peer"
)

type echo struct{ calls atomic.Int64 }

func (e *echo) Say(text string, reply *string) error {
	e.calls.Add(1)
	*reply = text
	return nil
}

// Guards against calls that hang while the network is cut, and against a broken
// connection that stays in the pool and fails every later call.
func TestCallsDuringAndAfterFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		network := nettest.New()
		a, b := network.Host("10.0.0.1"), network.Host("10.0.0.2")
		address := netip.MustParseAddrPort("10.0.0.2:7000")
		receiver := &echo{}
		serve := func() {
			listener, err := b.Listen(ctx, address)
			if err != nil {
				t.Fatal(err)
			}
			if err := peer.NewServer(ctx, listener, peer.Options{}).Register("Echo", receiver); err != nil {
				t.Fatal(err)
			}
		}
		pool := peer.NewPool(ctx, a, peer.Control, peer.Options{})
		say := func() error {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			var reply string
			err := pool.Call(ctx, address, "Echo.Say", "hello", &reply)
			if err == nil && reply != "hello" {
				t.Errorf("reply %q", reply)
			}
			return err
		}

		if err := say(); !errors.Is(err, peer.ErrNotSent) {
			t.Errorf("call without a server: %v, want ErrNotSent", err)
		}
		serve()
		if err := say(); err != nil {
			t.Error(err)
		}
		network.Cut("10.0.0.2", "10.0.0.1")
		if err := say(); !errors.Is(err, context.DeadlineExceeded) || errors.Is(err, peer.ErrNotSent) {
			t.Errorf("call whose reply is cut off: %v, want a deadline error that isn't ErrNotSent", err)
		}
		if calls := receiver.calls.Load(); calls != 2 {
			t.Errorf("%d calls arrived, want 2: the cut is one-way", calls)
		}
		network.Heal("10.0.0.2", "10.0.0.1")
		network.Crash("10.0.0.2")
		serve()
		say() // may fail on the broken connection
		if err := say(); err != nil {
			t.Errorf("call after the peer restarted: %v", err)
		}
	})
}

// Guards against local calls that differ from remote ones: that don't return when
// their context ends, write the reply afterwards, or run although the context had
// ended before.
func TestLocalCallsBehaveLikeRemoteCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		host, address := nettest.New().Host("10.0.0.1"), netip.MustParseAddrPort("10.0.0.1:7000")
		listener, err := host.Listen(ctx, address)
		if err != nil {
			t.Fatal(err)
		}
		server, receiver := peer.NewServer(ctx, listener, peer.Options{}), &echo{}
		if err := server.Register("Echo", receiver); err != nil {
			t.Fatal(err)
		}
		pool := peer.NewPool(ctx, host, peer.Data, peer.Options{Local: server, LocalAddress: address})
		for _, test := range []struct {
			method, reply string
			timeout       time.Duration
			want          func(err error) bool
		}{
			{"Echo.Say", "hello", time.Second, func(err error) bool { return err == nil }},
			{"Echo.None", "", time.Second, func(err error) bool { return err != nil && !errors.Is(err, peer.ErrNotSent) }},
			{"Echo.Late", "", time.Second, func(err error) bool {
				return errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, peer.ErrNotSent)
			}},
			{"Echo.Say", "", 0, func(err error) bool { return errors.Is(err, peer.ErrNotSent) }},
		} {
			var reply string
			ctx, end := context.WithTimeout(ctx, test.timeout)
			err := pool.Call(ctx, address, test.method, "hello", &reply)
			end()
			time.Sleep(3 * time.Second) // a late reply would be written by now
			if !test.want(err) || reply != test.reply {
				t.Errorf("%s: reply %q, error %v", test.method, reply, err)
			}
		}
		if calls := receiver.calls.Load(); calls != 2 {
			t.Errorf("%d calls ran, want 2", calls)
		}
	})
}

func (e *echo) Late(text string, reply *string) error {
	time.Sleep(2 * time.Second)
	return e.Say(text, reply)
}

// Guards against a peer that receives and answers all calls of a long network cut
// at once when it ends.
func TestCallsOfLongCutAreDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:7000")
		listener, err := network.Host("10.0.0.2").Listen(ctx, address)
		if err != nil {
			t.Fatal(err)
		}
		receiver := &echo{}
		if err := peer.NewServer(ctx, listener, peer.Options{}).Register("Echo", receiver); err != nil {
			t.Fatal(err)
		}
		pool := peer.NewPool(ctx, network.Host("10.0.0.1"), peer.Control, peer.Options{})
		say := func() error {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			var reply string
			return pool.Call(ctx, address, "Echo.Say", "hello", &reply)
		}
		if err := say(); err != nil {
			t.Fatal(err)
		}
		network.Cut("10.0.0.1", "10.0.0.2")
		network.Cut("10.0.0.2", "10.0.0.1")
		for range 60 {
			if err := say(); err == nil {
				t.Error("a call got through the cut")
			}
		}
		network.Heal("10.0.0.1", "10.0.0.2")
		network.Heal("10.0.0.2", "10.0.0.1")
		time.Sleep(5 * time.Second)
		if calls := receiver.calls.Load(); calls > 1 {
			t.Errorf("%d calls arrived after the cut, want none of those that timed out", calls-1)
		}
		if err := say(); err != nil {
			t.Errorf("call after the cut: %v", err)
		}
	})
}

// Guards against connections with a part of a message, or without one, that keep
// peers out or stay open, and against the end of a connection on which a call runs.
func TestLimitsOfServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		network, address := nettest.New(), netip.MustParseAddrPort("10.0.0.2:7000")
		listener, err := network.Host("10.0.0.2").Listen(ctx, address)
		if err != nil {
			t.Fatal(err)
		}
		closed := map[connlimit.Reason]int{}
		var mu sync.Mutex
		server := peer.NewServer(ctx, listener, peer.Options{Connections: 3, Closed: func(reason connlimit.Reason) {
			mu.Lock()
			defer mu.Unlock()
			closed[reason]++
		}})
		receiver := &waiting{release: make(chan struct{})}
		if err := server.Register("Waiting", receiver); err != nil {
			t.Fatal(err)
		}
		pool := peer.NewPool(ctx, network.Host("10.0.0.1"), peer.Control, peer.Options{})
		done := make(chan error)
		call := func(method string) {
			var reply string
			done <- pool.Call(ctx, address, method, "hello", &reply)
		}
		go call("Waiting.Wait")
		synctest.Wait()
		const crowd = 20
		var conns []net.Conn
		for range crowd {
			conn, err := network.Host("10.0.0.3").Dial(ctx, address)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write([]byte("C\x20")); err != nil { // the length of a message
				t.Fatal(err)
			}
			synctest.Wait()
			conns = append(conns, conn)
		}
		open := func() (n int) {
			for _, conn := range conns {
				conn.SetReadDeadline(time.Now().Add(time.Millisecond))
				if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
					n++
				}
			}
			return n
		}
		if n := open(); n != 2 {
			t.Errorf("%d connections beside the peer's are open, want 2", n)
		}
		go call("Waiting.Say")
		if err := <-done; err != nil {
			t.Errorf("call beside the crowd: %v", err)
		}
		time.Sleep(time.Hour) // longer than any limit of a connection without a call
		if n := open(); n != 0 {
			t.Errorf("%d connections with a part of a message are open, want 0", n)
		}
		close(receiver.release)
		if err := <-done; err != nil {
			t.Errorf("call that ran for an hour: %v", err)
		}
		mu.Lock()
		defer mu.Unlock()
		if closed[connlimit.Replaced] != crowd-2 || closed[connlimit.Timeout] != 2 {
			t.Errorf("counted %v, want %d replaced and 2 timeouts", closed, crowd-2)
		}
	})
}

// waiting has a method that returns when it is told to.
type waiting struct {
	echo
	release chan struct{}
}

func (w *waiting) Wait(_ string, _ *string) error {
	<-w.release
	return nil
}
