package main

import (
	"net"
	"sync"
)

// proxy forwards connections to an address. While it is cut, it drops what comes, on
// open connections and on new ones, without a reset, as a partition does.
type proxy struct {
	to string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newProxy(to string) (p *proxy, address string) {
	p = &proxy{to: to}
	l := listen("127.0.0.1")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, l.Addr().String()
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// setCut begins or ends the partition. At its end, the connections from before and from
// within it are reset.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		for _, c := range p.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		p.conns = nil
	}
}

func (p *proxy) forward(c net.Conn) {
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	to, err := net.Dial("tcp4", p.to)
	if err != nil {
		c.Close()
		return
	}
	go p.copy(to, c)
	p.copy(c, to)
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.isCut() {
			if n > 0 {
				_, writeErr := to.Write(buffer[:n])
				if err == nil {
					err = writeErr
				}
			}
			if err != nil {
				to.Close()
			}
		}
		if err != nil {
			return
		}
	}
}
