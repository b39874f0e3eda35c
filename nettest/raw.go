package nettest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// ServeRaw starts a server that answers the first request on each connection with the
// bytes that answer returns, and then closes or resets the connection. stop closes the
// listener and waits until the connections have ended.
func (n *Network) ServeRaw(address netip.AddrPort, reset bool, answer func(r *http.Request) (text string)) (stop func(), err error) {
	listener, err := (&Host{network: n, address: address.Addr()}).Listen(context.Background(), address)
	if err != nil {
		return nil, err
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { answerRaw(conn, reset, answer) })
		}
	})
	return func() {
		listener.Close()
		serving.Wait()
	}, nil
}

func answerRaw(conn net.Conn, reset bool, answer func(r *http.Request) (text string)) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err = io.WriteString(conn, answer(request)); err != nil {
		return
	}
	<-time.After(time.Millisecond) // a reset discards what hasn't been read
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok && reset {
		_ = c.SetLinger(0) // the connections of this package always accept it
	}
}
