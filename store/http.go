package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/transport"
)

// maxReplyBytes limits the size of a response. The largest one expected is the
// list of all claim shards.
const maxReplyBytes = 1 << 30

type (
	// HTTP is a Client that calls the service over HTTP.
	HTTP struct {
		client  *http.Client
		address netip.AddrPort
		name    string
	}
)

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client of the service at address. name identifies the client
// in the service's logs and metrics.
func NewHTTP(network transport.Network, address netip.AddrPort, name string) *HTTP {
	return &HTTP{client: transport.HTTPClient(network), address: address, name: name}
}

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, key string) (entry Entry, err error) {
	defer errors.DeferredAnnotatef(&err, "get %q", key)
	reply, err := h.read(ctx, "Get", WireRequest{Key: key})
	if err == nil && len(reply.Entries) != 1 {
		err = errors.WithType(errors.Errorf("response with %d entries, want 1", len(reply.Entries)), ErrUnavailable)
	}
	if err != nil {
		return Entry{}, err
	}
	return reply.Entries[0], nil
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, prefix string) (entries []Entry, err error) {
	defer errors.DeferredAnnotatef(&err, "list %q", prefix)
	reply, err := h.read(ctx, "List", WireRequest{Prefix: prefix})
	return reply.Entries, err
}

// Put implements Client.
func (h *HTTP) Put(ctx context.Context, request PutRequest) (version uint64, err error) {
	defer errors.DeferredAnnotatef(&err, "put %q", request.Key)
	if len(request.Value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	reply, err := h.write(ctx, "Put", WireRequest{
		Key: request.Key, Value: request.Value, IfVersion: request.IfVersion, Lease: request.Lease,
	})
	return reply.Version, err
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, key string, ifVersion uint64) (err error) {
	defer errors.DeferredAnnotatef(&err, "delete %q", key)
	_, err = h.write(ctx, "Delete", WireRequest{Key: key, IfVersion: ifVersion})
	return err
}

// Grant implements Client.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	defer errors.DeferredAnnotatef(&err, "grant lease")
	reply, err := h.write(ctx, "Grant", WireRequest{TTL: ttl})
	return reply.Lease, err
}

// KeepAlive implements Client.
func (h *HTTP) KeepAlive(ctx context.Context, id LeaseID) (ttl time.Duration, err error) {
	defer errors.DeferredAnnotatef(&err, "keep lease %d alive", id)
	reply, err := h.write(ctx, "KeepAlive", WireRequest{Lease: id})
	return reply.TTL, err
}

// Revoke implements Client.
func (h *HTTP) Revoke(ctx context.Context, id LeaseID) (err error) {
	defer errors.DeferredAnnotatef(&err, "revoke lease %d", id)
	_, err = h.write(ctx, "Revoke", WireRequest{Lease: id})
	return err
}

// Watch implements Client.
func (h *HTTP) Watch(ctx context.Context, request WatchRequest) (events []Event, revision uint64, err error) {
	defer errors.DeferredAnnotatef(&err, "watch %q", request.Prefix)
	reply, err := h.read(ctx, "Watch", WireRequest{Prefix: request.Prefix, After: request.After})
	return reply.Events, reply.Revision, err
}

// write makes a call that changes something. If there is no valid response, the
// error is ErrUnknownOutcome if the request may have been sent, and
// ErrUnavailable otherwise.
func (h *HTTP) write(ctx context.Context, call string, request WireRequest) (reply WireReply, err error) {
	reply, sent, err := h.call(ctx, call, request)
	switch {
	case err == nil:
		return reply, replyError(reply)
	case sent:
		return WireReply{}, errors.WithType(err, ErrUnknownOutcome)
	default:
		return WireReply{}, errors.WithType(err, ErrUnavailable)
	}
}

// read makes a call that changes nothing. If there is no valid response, the
// error is ErrUnavailable, even if the request was sent, since a read may be
// repeated.
func (h *HTTP) read(ctx context.Context, call string, request WireRequest) (reply WireReply, err error) {
	reply, _, err = h.call(ctx, call, request)
	if err != nil {
		return WireReply{}, errors.WithType(err, ErrUnavailable)
	}
	return reply, replyError(reply)
}

// call sends a request and returns the response. sent is true if the request had
// a connection, even if it wasn't written to it: a write then counts as possibly
// applied. An error that the service returned is in reply.Error, not in err.
func (h *HTTP) call(ctx context.Context, call string, request WireRequest) (reply WireReply, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	body, err := json.Marshal(request)
	if err != nil {
		return reply, false, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+h.address.String()+PathPrefix+call, bytes.NewReader(body))
	if err != nil {
		return reply, false, err
	}
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set(ClientHeader, h.name)
	response, err := h.client.Do(post)
	if err != nil {
		return reply, connected.Load(), err
	}
	defer response.Body.Close()
	if err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return reply, true, errors.Annotatef(err, "decode response with status %s", response.Status)
	}
	if response.StatusCode != http.StatusOK && reply.Error == "" {
		return reply, true, errors.Errorf("response with status %s", response.Status)
	}
	return reply, true, nil
}

// replyError returns the error that the service returned in a response, if any.
// An unknown error counts as ErrUnknownOutcome, even of a read.
func replyError(reply WireReply) error {
	if reply.Error == "" {
		return nil
	}
	if err := errorByName(reply.Error); err != nil {
		return err
	}
	return errors.WithType(errors.Errorf("response with unknown error %q", reply.Error), ErrUnknownOutcome)
}
