package nettest

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
)

// Crowd holds connections of clients that never end their requests.
type Crowd []net.Conn

// DialCrowd opens connections to an address and sends the same text on each of them, which
// may fail if the other side has closed it.
func (h *Host) DialCrowd(ctx context.Context, address netip.AddrPort, size int, sent string) (crowd Crowd, err error) {
	defer errors.DeferredAnnotatef(&err, "open %d connections", size)
	for range size {
		conn, err := h.Dial(ctx, address)
		if err != nil {
			crowd.Close()
			return nil, err
		}
		_, _ = io.WriteString(conn, sent)
		crowd = append(crowd, conn)
	}
	return crowd, nil
}

// Open returns the number of connections that the other side hasn't closed. It drops what
// was received on them.
func (c Crowd) Open() (n int) {
	for _, conn := range c {
		_ = conn.SetReadDeadline(time.Now().Add(time.Microsecond))
		if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
			n++
		}
	}
	return n
}

// Close closes all connections.
func (c Crowd) Close() {
	for _, conn := range c {
		conn.Close()
	}
}
