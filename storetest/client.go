package storetest

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

type (
	// Client is a store.Client of a Server. Faults and call counters refer to it by
	// its name.
	Client struct {
		server *Server
		name   string
		eras   store.Eras
	}
)

// answers are the errors with which the service answers a call.
var answers = []error{store.ErrNotFound, store.ErrConflict, store.ErrLeaseExpired, store.ErrCompacted, store.ErrTooLarge}

var _ store.EraClient = (*Client)(nil)

// Client returns a client with the given name. Clients that share a name share
// its faults and counters.
func (s *Server) Client(name string) *Client {
	return &Client{server: s, name: name}
}

// Era implements store.EraClient.
func (c *Client) Era() (view store.EraView) { return c.eras.Era() }

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

// Watch implements store.Client. It polls the service at once and after each change.
// Only the first poll counts as a call and has the delay of SetDelay.
func (c *Client) Watch(ctx context.Context, request store.WatchRequest) (events []store.Event, revision uint64, err error) {
	type response struct {
		events   []store.Event
		revision uint64
	}
	deadline := time.Now().Add(c.server.options.WatchWait)
	var restarts uint64
	// A delayed first poll runs on after Watch has returned, so each iteration has
	// its own first.
	for first := true; ; first = false {
		var changed <-chan struct{}
		poll := func() (r response, err error) {
			if !first && restarts != c.server.faults.restarts {
				return r, store.ErrUnavailable
			}
			restarts, changed = c.server.faults.restarts, c.server.changed
			r.events, err = c.server.eventsAfter(request)
			r.revision = max(c.server.revision, request.After)
			return r, err
		}
		var r response
		if first {
			r, err = call(ctx, c, Watch, poll)
		} else {
			r, err = applyCall(c, Watch, false, poll)
		}
		if err != nil || len(r.events) > 0 || !time.Now().Before(deadline) {
			if partitionErr := c.awaitConnection(ctx, Responses); partitionErr != nil {
				return nil, request.After, lostResponseError(Watch, partitionErr)
			}
			return r.events, r.revision, err
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
			return nil, request.After, errors.WithType(ctx.Err(), store.ErrUnavailable)
		}
	}
}

// call runs one call with the injected faults: it sends the request, applies it
// and returns the response.
func call[T any](ctx context.Context, c *Client, kind Kind, apply func() (T, error)) (result T, err error) {
	var none T
	if ctx.Err() != nil {
		return none, errors.WithType(ctx.Err(), store.ErrUnavailable)
	}
	if err := c.awaitConnection(ctx, Requests); err != nil {
		return none, lostResponseError(kind, err)
	}
	begun, era := c.eras.Era(), ""
	applyInEra := func() (T, error) {
		era = strconv.FormatUint(c.server.era, 10)
		return apply()
	}
	c.server.mu.Lock()
	delay := c.server.faults.delay
	c.server.mu.Unlock()
	if delay > 0 {
		if result, err = callDelayed(ctx, c, kind, delay, applyInEra); err == errNoResponse {
			return none, lostResponseError(kind, ctx.Err())
		}
	} else {
		result, err = applyCall(c, kind, true, applyInEra)
	}
	if partitionErr := c.awaitConnection(ctx, Responses); partitionErr != nil {
		return none, lostResponseError(kind, partitionErr)
	}
	if err == nil || slices.ContainsFunc(answers, func(answer error) bool { return errors.Is(err, answer) }) {
		if _, eraErr := c.eras.Observe(begun, era, !slices.Contains([]Kind{Get, List, Watch}, kind)); eraErr != nil {
			return none, eraErr
		}
	}
	return result, err
}

// errNoResponse means that the caller's context ended before the delayed response.
const errNoResponse = errors.ConstError("no response in time")

// callDelayed applies the call in its own goroutine, because a request that was
// sent takes effect even if the caller stops waiting.
func callDelayed[T any](ctx context.Context, c *Client, kind Kind, delay time.Duration, apply func() (T, error)) (result T, err error) {
	type response struct {
		result T
		err    error
	}
	responses := make(chan response, 1)
	go func() {
		time.Sleep(delay / 2)
		result, err := applyCall(c, kind, true, apply)
		time.Sleep(delay / 2)
		responses <- response{result, err}
	}()
	select {
	case r := <-responses:
		return r.result, r.err
	case <-ctx.Done():
		return result, errNoResponse
	}
}

// applyCall applies the call at the service, unless the service is down, and
// drops its response if a fault says so.
func applyCall[T any](c *Client, kind Kind, counted bool, apply func() (T, error)) (result T, err error) {
	var none T
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		return none, store.ErrUnavailable
	}
	if counted {
		if s.calls[c.name] == nil {
			s.calls[c.name] = make(map[Kind]int)
		}
		s.calls[c.name][kind]++
	}
	s.expire()
	result, err = apply()
	if s.faults.responsesToDrop[kind] > 0 {
		s.faults.responsesToDrop[kind]--
		return none, lostResponseError(kind, errors.New("response lost"))
	}
	return result, err
}

// awaitConnection waits while a partition blocks the client in a direction.
func (c *Client) awaitConnection(ctx context.Context, direction Direction) (err error) {
	for {
		c.server.mu.Lock()
		partitioned, changed := c.server.faults.partitions[c.name]&direction != 0, c.server.changed
		c.server.mu.Unlock()
		if !partitioned {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lostResponseError returns the error of a call whose response did not reach the
// client. A client can't tell whether the request did, so a write that a partition
// blocked has an unknown outcome too.
func lostResponseError(kind Kind, cause error) (err error) {
	switch kind {
	case Get, List, Watch:
		return errors.WithType(cause, store.ErrUnavailable)
	default:
		return errors.WithType(cause, store.ErrUnknownOutcome)
	}
}
