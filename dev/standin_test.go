package dev_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/guavagauge/guavagauge/dev"
)

// Guards against clients that use up the descriptors of the stand-ins by connections
// without a request, or keep others out.
func TestConnectionsOfStandins(t *testing.T) {
	const crowd = 1200
	var listeners []net.Listener
	var addresses []netip.AddrPort
	for range 6 { // four upstreams, store and platform
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	for _, listener := range listeners { // all ports differ now
		listener.Close()
	}
	config := dev.BuiltinConfig()
	for i := range 4 {
		config = bytes.ReplaceAll(config, fmt.Appendf(nil, "127.0.0.1:910%d", i+1), []byte(addresses[i].String()))
	}
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	stopped := make(chan error, 1)
	go func() {
		err := dev.RunStandin(ctx, dev.StandinOptions{Store: addresses[4], Platform: addresses[5], Config: config, Stdout: writer})
		writer.CloseWithError(err)
		stopped <- err
	}()
	if output := bufio.NewScanner(reader); !output.Scan() {
		t.Fatalf("not ready: %v", output.Err())
	}
	closed := make(chan struct{}, crowd)
	for range crowd {
		conn, err := net.Dial("tcp", addresses[4].String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() {
			io.Copy(io.Discard, conn) // until either side closes the connection
			closed <- struct{}{}
		}()
	}
	response, err := http.Get("http://" + addresses[4].String())
	if err != nil {
		t.Fatalf("request beside the crowd: %v", err)
	}
	response.Body.Close()
	for range crowd - 1023 { // the request has a connection too
		<-closed
	}
	cancel()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
