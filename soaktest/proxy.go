package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Values of relayMode: what a proxy does with the bytes that it receives.
const (
	forward        relayMode                = iota
	delay                                   // delays each chunk
	stall                                   // holds back all bytes; connections stay open
	stallResponses                          // holds back the bytes to the client only
	reject                                  // resets new connections
	relayDelay     = 150 * time.Millisecond // delay of each chunk, and interval at which a stalled chunk checks the mode
)

type (
	relayMode int32

	// proxy relays TCP connections to a target and injects faults into them.
	proxy struct {
		listener net.Listener
		target   string
		mode     atomic.Int32
		// silences counts the calls of silence. A connection is silent once it is higher
		// than it was when the connection was opened.
		silences atomic.Int64

		mu    sync.Mutex
		conns map[net.Conn]bool
	}
)

// newProxy starts a proxy on a free port.
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

func (p *proxy) setMode(m relayMode) { p.mode.Store(int32(m)) }

// silence makes all open connections lose all bytes from now on. They stay open, and
// new connections work.
func (p *proxy) silence() { p.silences.Add(1) }

// resetConns resets all open connections.
func (p *proxy) resetConns() {
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
	p.resetConns()
}

// serve relays a connection until one side closes it.
func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	if relayMode(p.mode.Load()) == reject {
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
	silences := p.silences.Load()
	go func() { p.copy(server, client, false, silences); done <- struct{}{} }()
	go func() { p.copy(client, server, true, silences); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy relays the bytes of one direction as the mode says, until the connection,
// opened when there were so many silences, has gone silent.
func (p *proxy) copy(to, from net.Conn, toClient bool, silences int64) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		for blocked := true; blocked; {
			switch relayMode(p.mode.Load()) {
			case delay:
				time.Sleep(relayDelay)
				blocked = false
			case stall:
				time.Sleep(relayDelay)
			case stallResponses:
				if blocked = toClient; blocked {
					time.Sleep(relayDelay)
				}
			default:
				blocked = false
			}
		}
		if p.silences.Load() > silences {
			if err != nil {
				return
			}
			continue
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
