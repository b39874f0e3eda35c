package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// What a proxy does with bytes.
const (
	pass    mode = iota
	slow         // delays each piece
	silent       // holds all bytes back, without a reset
	deaf         // holds back the bytes to the client only
	refuse       // resets new connections
	slowing = 150 * time.Millisecond
)

type (
	mode int32

	// proxy relays TCP connections to a target and harms them.
	proxy struct {
		listener net.Listener
		target   string
		mode     atomic.Int32

		mu    sync.Mutex
		conns map[net.Conn]bool
	}
)

func newProxy(target string) (p *proxy, err error) {
	p = &proxy{target: target, conns: map[net.Conn]bool{}}
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() {
		for {
			client, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	if mode(p.mode.Load()) == refuse {
		client.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer server.Close()
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, false); done <- struct{}{} }()
	go func() { p.copy(client, server, true); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, toClient bool) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		for held := true; held; {
			switch mode(p.mode.Load()) {
			case slow:
				time.Sleep(slowing)
				held = false
			case silent:
				time.Sleep(slowing)
			case deaf:
				if held = toClient; held {
					time.Sleep(slowing)
				}
			default:
				held = false
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if tcp, ok := to.(*net.TCPConn); ok {
					tcp.CloseWrite()
				}
			}
			return
		}
	}
}
