package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/guavagauge/guavagauge/enginetest"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	// LoadPerNode is the number of requests per second and node of the target in
	// docs/design.md, which has 390 nodes.
	LoadPerNode = 3600.0 / 390

	engineSlots = 64
)

// ServeEngines starts a stand-in for each upstream of the configuration.
func (f *Cluster) ServeEngines() (err error) {
	for _, u := range f.options.Config.Upstreams {
		e := enginetest.New(f.ctx, enginetest.Options{Fencing: u.Fencing, Slots: engineSlots, Queue: engineSlots, Pieces: u.Pieces})
		if err = e.Serve(f.ctx, f.simulatedNetwork.Host(u.Address.Addr().String()), u.Address); err != nil {
			return err
		}
	}
	return nil
}

// Load sends model requests to each node at a rate per second, over all
// workspaces, until ctx ends. Each request generates the given number of tokens.
// Load returns at once; the counters it returns are those of requests with a
// complete answer and of the others.
func (f *Cluster) Load(ctx context.Context, perSecond float64, tokens int) (answered, failed *atomic.Int64) {
	answered, failed = new(atomic.Int64), new(atomic.Int64)
	client := transport.HTTPClient(f.simulatedNetwork.Host("10.9.0.1"))
	context.AfterFunc(f.ctx, client.CloseIdleConnections)
	for i := range f.nodes {
		go func() {
			period := time.Duration(float64(time.Second) / perSecond)
			ticker := time.NewTicker(period)
			defer ticker.Stop()
			for n := i; ; n += len(f.nodes) {
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
				go func() {
					if f.sendRequest(ctx, client, nodeAddress(i, callerPort), n%len(f.options.Config.Workspaces), tokens) {
						answered.Add(1)
					} else if ctx.Err() == nil {
						failed.Add(1)
					}
				}()
			}
		}()
	}
	return answered, failed
}

// sendRequest sends a request to a node and reports whether the answer was
// complete.
func (f *Cluster) sendRequest(ctx context.Context, client *http.Client, node netip.AddrPort, workspace, tokens int) (ok bool) {
	body := fmt.Sprintf(`{"model":"model-%d","prompt":"request of workspace %d","max_tokens":%d}`, workspace%2, workspace, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.String()+"/v1/completions", bytes.NewBufferString(body))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", fmt.Sprint("Bearer secret-", workspace))
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
