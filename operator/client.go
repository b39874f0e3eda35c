package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/transport"
)

// pollInterval is the pause between two queries of whether a revision is in
// force, also after a failed one.
const pollInterval = 200 * time.Millisecond

type (
	// Client calls the operator API of one node. The context of a call is its
	// only time limit on the client's side.
	Client struct {
		network    transport.Network
		http       *http.Client
		base       string
		credential string
	}

	// CallError reports a response with a status other than 200.
	CallError struct {
		Status int
		Reply  ErrorReply
	}
)

// Error returns the error message of the reply, followed by its problems and
// changes, one on each line.
func (e *CallError) Error() string {
	lines := append([]string{e.Reply.Error}, e.Reply.Problems...)
	if len(e.Reply.Changes) > 0 {
		lines = append(lines, "changed since the base revision:")
	}
	return strings.Join(append(lines, e.Reply.Changes...), "\n  ")
}

// NewClient returns a client of the node at address. It connects on the first
// call.
func NewClient(network transport.Network, address netip.AddrPort, credential string) *Client {
	return &Client{network: network, http: transport.HTTPClient(network), base: "http://" + address.String(), credential: credential}
}

// UseTLS makes the client connect with TLS. It must be called before any
// other method; these are safe for concurrent use.
func (c *Client) UseTLS(config *tls.Config) {
	c.base = "https://" + strings.TrimPrefix(c.base, "http://")
	c.http = transport.HTTPSClient(c.network, config)
}

// Config returns the newest configuration. It includes the keys, with their
// hashes, only if keys is true.
func (c *Client) Config(ctx context.Context, keys bool) (reply ConfigReply, err error) {
	path := PathConfig
	if keys {
		path += "?keys=1"
	}
	return reply, c.call(ctx, http.MethodGet, path, nil, &reply)
}

// Apply replaces the configuration, or only lists the changes in a dry run.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (reply ApplyReply, err error) {
	return reply, c.call(ctx, http.MethodPost, PathConfig, request, &reply)
}

// History lists up to limit revisions, the newest first.
func (c *Client) History(ctx context.Context, limit int) (reply HistoryReply, err error) {
	return reply, c.call(ctx, http.MethodGet, fmt.Sprintf("%s?limit=%d", PathHistory, limit), nil, &reply)
}

// Rollback makes a new revision from an older one, but keeps the current keys.
func (c *Client) Rollback(ctx context.Context, request RollbackRequest) (reply ApplyReply, err error) {
	return reply, c.call(ctx, http.MethodPost, PathRollback, request, &reply)
}

// Label sets or removes a label of an object.
func (c *Client) Label(ctx context.Context, request LabelRequest) (reply ApplyReply, err error) {
	return reply, c.call(ctx, http.MethodPost, PathLabel, request, &reply)
}

// Keys lists all keys, without their secrets and hashes.
func (c *Client) Keys(ctx context.Context) (reply KeysReply, err error) {
	return reply, c.call(ctx, http.MethodGet, PathKeys, nil, &reply)
}

// IssueKey makes a new key for a workspace and returns its secret.
func (c *Client) IssueKey(ctx context.Context, request KeyRequest) (reply KeyReply, err error) {
	return reply, c.call(ctx, http.MethodPost, PathKeys, request, &reply)
}

// WithdrawKey removes the key with the owner and name of the request.
func (c *Client) WithdrawKey(ctx context.Context, request KeyRequest) (reply ApplyReply, err error) {
	return reply, c.call(ctx, http.MethodDelete, PathKeys, request, &reply)
}

// AwaitInForce polls until a revision is in force on all live nodes or ctx ends,
// and returns the last reply. It repeats failed calls too, unless the node refuses
// them with a status 4xx, for example because of a wrong credential. It waits on
// if a node has rejected the revision, so ctx needs a deadline. The error is that
// of ctx, with the text of the last call's error if that call failed.
func (c *Client) AwaitInForce(ctx context.Context, revision uint64) (reply InForceReply, err error) {
	var failed error // of the last call that ctx didn't end
	for {
		var latest InForceReply
		err = c.call(ctx, http.MethodGet, fmt.Sprintf("%s?revision=%d", PathInForce, revision), nil, &latest)
		var refused *CallError
		switch {
		case err == nil:
			reply, failed = latest, nil
			if len(reply.Behind)+len(reply.Unreached) == 0 {
				return reply, nil
			}
		case errors.As(err, &refused) && refused.Status/100 == http.StatusBadRequest/100:
			return reply, err
		case ctx.Err() == nil:
			failed = err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			if failed != nil {
				return reply, errors.Annotate(ctx.Err(), failed.Error())
			}
			return reply, ctx.Err()
		}
	}
}

// call makes a call and decodes its reply, of up to maxBodyBytes.
func (c *Client) call(ctx context.Context, method, path string, request, reply any) (err error) {
	defer errors.DeferredAnnotatef(&err, "%s %s", method, path)
	var body bytes.Buffer
	if request != nil {
		if err = json.NewEncoder(&body).Encode(request); err != nil {
			return err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, &body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.credential)
	response, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxBodyBytes {
		return errors.Errorf("status %d: the reply is larger than %d bytes", response.StatusCode, maxBodyBytes)
	}
	if response.StatusCode != http.StatusOK {
		failure := &CallError{Status: response.StatusCode}
		if json.Unmarshal(text, &failure.Reply) != nil {
			failure.Reply.Error = fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
		}
		return failure
	}
	return json.Unmarshal(text, reply)
}
