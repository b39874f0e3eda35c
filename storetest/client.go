package storetest

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

type (
	// Client is a store.Client of a Server under the name that faults and
	// counters refer to.
	Client struct {
		server *Server
		name   string
	}
)

var _ store.Client = (*Client)(nil)

// Client returns the service as seen by a client of that name.
func (s *Server) Client(name string) *Client {
	return &Client{server: s, name: name}
}

// Get implements store.Client.
func (c *Client) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	return call(ctx, c, Get, func() (store.Entry, error) { return c.server.get(key) })
}

// List implements store.Client.
func (c *Client) List(ctx context.Context, prefix string) (entries []store.Entry, err error) {
	return call(ctx, c, List, func() ([]store.Entry, error) { return c.server.list(prefix), nil })
}

// Put implements store.Client.
func (c *Client) Put(ctx context.Context, request store.PutRequest) (version uint64, err error) {
	return call(ctx, c, Put, func() (uint64, error) { return c.server.put(request) })
}

// Delete implements store.Client.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) (err error) {
	_, err = call(ctx, c, Delete, func() (struct{}, error) { return struct{}{}, c.server.delete(key, ifVersion) })
	return err
}

// Grant implements store.Client.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	return call(ctx, c, Grant, func() (store.LeaseID, error) { return c.server.grant(ttl), nil })
}

// KeepAlive implements store.Client.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (ttl time.Duration, err error) {
	return call(ctx, c, KeepAlive, func() (time.Duration, error) { return c.server.keepAlive(id) })
}

// Revoke implements store.Client.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) (err error) {
	_, err = call(ctx, c, Revoke, func() (struct{}, error) { return struct{}{}, c.server.revoke(id) })
	return err
}

// Watch implements store.Client.
func (c *Client) Watch(ctx context.Context, request store.WatchRequest) (events []store.Event, revision uint64, err error) {
	type answer struct {
		events   []store.Event
		revision uint64
	}
	deadline := time.Now().Add(c.server.options.WatchWait)
	var process uint64
	first := true
	for {
		var changed <-chan struct{}
		look := func() (a answer, err error) {
			if !first && process != c.server.faults.process {
				return a, store.ErrUnavailable
			}
			process, changed = c.server.faults.process, c.server.changed
			a.events, err = c.server.eventsAfter(request)
			a.revision = max(c.server.revision, request.After)
			return a, err
		}
		var a answer
		if first {
			a, err = call(ctx, c, Watch, look)
		} else {
			a, err = effect(c, Watch, false, look)
		}
		first = false
		if err != nil || len(a.events) > 0 || !time.Now().Before(deadline) {
			if pathErr := c.awaitPath(ctx, Responses); pathErr != nil {
				return nil, request.After, lost(Watch, pathErr)
			}
			return a.events, a.revision, err
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
			return nil, request.After, errors.WithType(ctx.Err(), store.ErrUnavailable)
		}
	}
}

// call carries one call through the faults: the request's way, its effect and
// the answer's way.
func call[T any](ctx context.Context, c *Client, kind Kind, apply func() (T, error)) (result T, err error) {
	var none T
	if ctx.Err() != nil {
		return none, errors.WithType(ctx.Err(), store.ErrUnavailable)
	}
	if err := c.awaitPath(ctx, Requests); err != nil {
		return none, lost(kind, err)
	}
	c.server.mu.Lock()
	delay := c.server.faults.delay
	c.server.mu.Unlock()
	if delay > 0 {
		if result, err = slowly(ctx, c, kind, delay, apply); err == errNoAnswer {
			return none, lost(kind, ctx.Err())
		}
	} else {
		result, err = effect(c, kind, true, apply)
	}
	if pathErr := c.awaitPath(ctx, Responses); pathErr != nil {
		return none, lost(kind, pathErr)
	}
	return result, err
}

const errNoAnswer = errors.ConstError("no answer in time")

// slowly lets the call take effect in its own goroutine, because a request that
// was sent takes effect even if the caller stops waiting.
func slowly[T any](ctx context.Context, c *Client, kind Kind, delay time.Duration, apply func() (T, error)) (result T, err error) {
	type answer struct {
		result T
		err    error
	}
	answered := make(chan answer, 1)
	go func() {
		time.Sleep(delay / 2)
		result, err := effect(c, kind, true, apply)
		time.Sleep(delay / 2)
		answered <- answer{result, err}
	}()
	select {
	case a := <-answered:
		return a.result, a.err
	case <-ctx.Done():
		return result, errNoAnswer
	}
}

// effect applies the call at the service, unless that is down.
func effect[T any](c *Client, kind Kind, counts bool, apply func() (T, error)) (result T, err error) {
	var none T
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		return none, store.ErrUnavailable
	}
	if counts {
		if s.calls[c.name] == nil {
			s.calls[c.name] = make(map[Kind]int)
		}
		s.calls[c.name][kind]++
	}
	s.expire()
	result, err = apply()
	if s.faults.lost[kind] > 0 {
		s.faults.lost[kind]--
		return none, lost(kind, errors.New("answer lost"))
	}
	return result, err
}

// awaitPath waits while the client is cut off in a direction.
func (c *Client) awaitPath(ctx context.Context, direction Direction) (err error) {
	for {
		c.server.mu.Lock()
		cut, changed := c.server.faults.cuts[c.name]&direction != 0, c.server.changed
		c.server.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lost is the error of a call whose answer the client didn't see.
func lost(kind Kind, cause error) (err error) {
	switch kind {
	case Get, List, Watch:
		return errors.WithType(cause, store.ErrUnavailable)
	default:
		return errors.WithType(cause, store.ErrUnknownOutcome)
	}
}
