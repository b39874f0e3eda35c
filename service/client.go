package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/transport"
	"github.com/guavagauge/guavagauge/upstream"
)

const defaultMaxAnswerBytes = 8 << 20

type (
	// Options of an HTTP client. Zero values mean defaults.
	Options struct {
		// MaxResponseBytes bounds the body of an answer. The default is 8 MiB.
		MaxResponseBytes int64
	}

	// HTTP is the Client of one worker's HTTP interface.
	HTTP struct {
		http    *http.Client
		base    string
		options Options
	}
)

// NewClient returns a client of the worker at address. It connects when it is
// used.
func NewClient(network transport.Network, address netip.AddrPort, options Options) *HTTP {
	if options.MaxResponseBytes == 0 {
		options.MaxResponseBytes = defaultMaxAnswerBytes
	}
	return &HTTP{http: transport.HTTPClient(network), base: "http://" + address.String(), options: options}
}

// Close drops the idle connections. Running calls end with their contexts.
func (h *HTTP) Close() { h.http.CloseIdleConnections() }

// Call implements Client. The worker's answer is passed on whatever its status,
// except for a refusal that promises that the call didn't run.
func (h *HTTP) Call(ctx context.Context, call upstream.Call) (answer upstream.Answer, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, attempt := upstream.TraceAttempt(ctx, len(call.Method)+len(call.Target))
	request, err := newRequest(ctx, h.base, call)
	if err != nil {
		return answer, &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
	}
	response, err := h.http.Do(request)
	if err != nil {
		return answer, broken(attempt.Failure(ctx, err))
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusSwitchingProtocols {
		return answer, badAnswer("unexpected change of protocol")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, h.options.MaxResponseBytes+1))
	if err != nil {
		return answer, broken(attempt.Failure(ctx, err))
	}
	if int64(len(body)) > h.options.MaxResponseBytes {
		return answer, badAnswer(fmt.Sprintf("answer over %d bytes", h.options.MaxResponseBytes))
	}
	if failure := upstream.ParseRefusal(response.StatusCode, response.Header, fmt.Sprintf("status %d", response.StatusCode)); failure != nil {
		return answer, failure
	}
	header := endToEnd(response.Header)
	if call.Method != http.MethodHead {
		header.Del("Content-Length")
	}
	return upstream.Answer{Status: response.StatusCode, Header: header, Body: body}, nil
}

// broken marks a failure as a crash of the worker. A plain service doesn't show
// when it begins to run a call, so a connection that breaks after the call was
// written counts.
func broken(failure *upstream.Failure) *upstream.Failure {
	failure.Crashed = failure.Reason == upstream.ReasonBroken && failure.Progress >= upstream.Written
	return failure
}

// newRequest builds a request that net/http doesn't send again by itself once a
// byte of it was written. The transport does so after its connection closed if
// the body can be read again and the method is safe or there is an
// Idempotency-Key header, although the worker may have run the call. A body that
// can't be read again prevents this for safe methods, and the header's name in
// lower case for the others.
func newRequest(ctx context.Context, base string, call upstream.Call) (request *http.Request, err error) {
	if !strings.HasPrefix(call.Target, "/") {
		// Appended to the address, it could name another host.
		return nil, errors.Errorf("target %q isn't a path", call.Target)
	}
	request, err = http.NewRequestWithContext(ctx, call.Method, base+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if safe(call.Method) {
		// The transport finds out by itself when the body is empty.
		request.Body, request.GetBody = io.NopCloser(bytes.NewReader(call.Body)), nil
	}
	request.Header = endToEnd(call.Header)
	request.Header.Del("Content-Length")
	request.Header.Del("Host")
	request.Header.Del("Expect")
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := request.Header[name]; ok {
			delete(request.Header, name)
			request.Header[strings.ToLower(name)] = values
		}
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil // net/http adds its own otherwise
	}
	return request, nil
}

// safe reports whether the transport takes a method for safe.
func safe(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func badAnswer(detail string) *upstream.Failure {
	return &upstream.Failure{Reason: upstream.ReasonBadAnswer, Progress: upstream.Answered, Detail: detail}
}
