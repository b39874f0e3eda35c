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

// defaultMaxResponseBytes bounds the memory per call, since a response is read
// completely before it is passed on.
const defaultMaxResponseBytes = 8 << 20

type (
	// Options configures an HTTP client. Zero values mean defaults.
	Options struct {
		// MaxResponseBytes limits the body of a response. The default is 8 MiB. A
		// call with a larger one fails with ReasonBadResponse, although it ran.
		MaxResponseBytes int64
	}

	// HTTP is the Client of one upstream, over HTTP.
	HTTP struct {
		http    *http.Client
		baseURL string
		options Options
	}
)

// NewClient returns a client of the upstream at address. It opens connections on
// demand.
func NewClient(network transport.Network, address netip.AddrPort, options Options) *HTTP {
	if options.MaxResponseBytes == 0 {
		options.MaxResponseBytes = defaultMaxResponseBytes
	}
	return &HTTP{http: transport.HTTPClient(network), baseURL: "http://" + address.String(), options: options}
}

// Close closes the idle connections. Running calls continue until they complete
// or their contexts end.
func (h *HTTP) Close() { h.http.CloseIdleConnections() }

// Call implements Client. It returns a response of any status without error,
// except for a refusal which states that the call did not run: that is a failure.
func (h *HTTP) Call(ctx context.Context, call upstream.Call) (answer upstream.Response, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, trace := upstream.TraceAttempt(ctx, len(call.Method)+len(call.Target))
	request, err := newRequest(ctx, h.baseURL, call)
	if err != nil {
		return answer, &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
	}
	response, err := h.http.Do(request)
	if err != nil {
		return answer, markCrashed(trace.Failure(ctx, err))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, h.options.MaxResponseBytes+1))
	if err != nil {
		return answer, markCrashed(trace.Failure(ctx, err))
	}
	if int64(len(body)) > h.options.MaxResponseBytes {
		return answer, badResponse(fmt.Sprintf("response body exceeds %d bytes", h.options.MaxResponseBytes))
	}
	if failure := upstream.ParseRefusal(response.StatusCode, response.Header, fmt.Sprintf("status %d", response.StatusCode)); failure != nil {
		return answer, failure
	}
	if len(body) == 0 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		// The body ends with the connection, as if the worker stopped after the head.
		return answer, markCrashed(trace.Failure(ctx, io.ErrUnexpectedEOF))
	}
	header := endToEndHeaders(response.Header)
	if call.Method != http.MethodHead {
		header.Del("Content-Length")
	}
	return upstream.Response{Status: response.StatusCode, Header: header, Body: body}, nil
}

// markCrashed sets Crashed if the connection broke after a part of the call was
// written, and returns the failure. A plain service doesn't show when it begins
// to run a call, so every such break counts as a crash of the upstream.
func markCrashed(failure *upstream.Failure) *upstream.Failure {
	failure.Crashed = failure.Reason == upstream.ReasonBroken && failure.Progress >= upstream.Written
	return failure
}

// newRequest returns a request that net/http doesn't retry by itself once a byte
// of it was written. After a connection closed, the transport retries a request,
// although the upstream may have run it, if its body can be read again and either
// its method is safe or it has an Idempotency-Key header. newRequest prevents
// both cases:
//   - A safe method gets a body that can't be read again.
//   - The header gets a lower-case name, which the transport doesn't recognize.
func newRequest(ctx context.Context, base string, call upstream.Call) (request *http.Request, err error) {
	if !strings.HasPrefix(call.Target, "/") {
		// Such a target, appended to the address, could name another host.
		return nil, errors.Errorf("target %q isn't a path", call.Target)
	}
	request, err = http.NewRequestWithContext(ctx, call.Method, base+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if isSafeMethod(call.Method) {
		// The transport reads ahead to detect an empty body, and sends none then.
		request.Body, request.GetBody = io.NopCloser(bytes.NewReader(call.Body)), nil
	}
	request.Header = endToEndHeaders(call.Header)
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
		request.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return request, nil
}

// isSafeMethod reports whether net/http's transport treats a method as safe to
// retry.
func isSafeMethod(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func badResponse(detail string) *upstream.Failure {
	return &upstream.Failure{Reason: upstream.ReasonBadResponse, Progress: upstream.Answered, Detail: detail}
}
