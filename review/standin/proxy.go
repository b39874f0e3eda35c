package standin

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to an address. It can make the open ones go silent for
// good, while new ones work.
type Proxy struct {
	Address string
	target  string

	mu    sync.Mutex
	epoch int
}

// NewProxy starts a proxy on a loopback address and a free port.
func NewProxy(ip, target string) (p *Proxy, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p = &Proxy{Address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// Silence makes all open connections silent: they stay open, and nothing that is
// sent on them from now on arrives.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
}

// silent reports whether a connection of an epoch has gone silent.
func (p *Proxy) silent(epoch int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch != epoch
}

func (p *Proxy) forward(conn net.Conn) {
	defer conn.Close()
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer other.Close()
	var wait sync.WaitGroup
	copyBytes := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 && !p.silent(epoch) {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		if !p.silent(epoch) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		}
	}
	wait.Go(func() { copyBytes(other, conn) })
	wait.Go(func() { copyBytes(conn, other) })
	wait.Wait()
	_, _ = io.Copy(io.Discard, conn)
}
