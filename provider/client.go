package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/transport"
)

// Paths of the platform's HTTP interface. Bodies are JSON, with durations in
// nanoseconds.
const (
	PathVMs       = "/platform/vms"
	PathUpstreams = "/platform/upstreams"
	PathNotices   = "/platform/notices"
	PathStart     = "/platform/start"
	PathStop      = "/platform/stop"
	PathWeights   = "/platform/weights"
	PathUsage     = "/platform/usage"

	// HeaderRefusal is the header that names the error in responses with status
	// 409.
	HeaderRefusal = "Refusal"
	// RefusalNoneAvailable is the header value for ErrNoneAvailable.
	RefusalNoneAvailable = "NoneAvailable"
	// RefusalConflict is the header value for ErrConflict.
	RefusalConflict = "Conflict"

	defaultTimeout          = 5 * time.Second // as the default of the setting Platform.CallTimeout
	defaultMaxResponseBytes = 8 << 20         // enough for a list of tens of thousands of VMs
)

type (
	// Options configures an HTTP client. Zero values mean the defaults.
	Options struct {
		// Timeout bounds each call. An order or usage report that hits it after the
		// connection was established has an unknown outcome. The default is 5 s.
		Timeout time.Duration
		// MaxResponseBytes bounds a response body. A longer reply fails with
		// ErrUnknownOutcome. The default is 8 MiB.
		MaxResponseBytes int64
	}

	// HTTP implements Client with the platform's HTTP interface.
	HTTP struct {
		http    *http.Client
		base    string
		options Options
	}

	// WeightsReply is the response to a WeightsRequest.
	WeightsReply struct{ Wait time.Duration }
)

var _ Client = (*HTTP)(nil)

// NewClient returns a client of the platform at address.
func NewClient(network transport.Network, address netip.AddrPort, options Options) *HTTP {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.MaxResponseBytes == 0 {
		options.MaxResponseBytes = defaultMaxResponseBytes
	}
	return &HTTP{http: transport.HTTPClient(network), base: "http://" + address.String(), options: options}
}

// Close closes the idle connections. Calls in flight end with their contexts.
func (h *HTTP) Close() { h.http.CloseIdleConnections() }

// VMs implements Client.
func (h *HTTP) VMs(ctx context.Context) (vms []VM, err error) {
	return vms, h.call(ctx, http.MethodGet, PathVMs, nil, &vms)
}

// Upstreams implements Client.
func (h *HTTP) Upstreams(ctx context.Context, failureDomain string) (vms []VM, err error) {
	query := url.Values{"FailureDomain": {failureDomain}}
	return vms, h.call(ctx, http.MethodGet, PathUpstreams+"?"+query.Encode(), nil, &vms)
}

// Notices implements Client.
func (h *HTTP) Notices(ctx context.Context, failureDomain string) (leaving []VM, err error) {
	query := url.Values{"FailureDomain": {failureDomain}}
	return leaving, h.call(ctx, http.MethodGet, PathNotices+"?"+query.Encode(), nil, &leaving)
}

// Start implements Client.
func (h *HTTP) Start(ctx context.Context, order StartOrder) (started []VM, err error) {
	return started, h.call(ctx, http.MethodPost, PathStart, order, &started)
}

// Stop implements Client.
func (h *HTTP) Stop(ctx context.Context, order StopOrder) (err error) {
	return h.call(ctx, http.MethodPost, PathStop, order, nil)
}

// ReserveWeights implements Client.
func (h *HTTP) ReserveWeights(ctx context.Context, request WeightsRequest) (wait time.Duration, err error) {
	var reply WeightsReply
	err = h.call(ctx, http.MethodPost, PathWeights, request, &reply)
	return reply.Wait, err
}

// ReportUsage implements Client.
func (h *HTTP) ReportUsage(ctx context.Context, report UsageReport) (err error) {
	return h.call(ctx, http.MethodPost, PathUsage, report, nil)
}

// call sends a request and decodes the response into reply. If the request fails
// before a connection was established, it had no effect, and the error is
// ErrUnavailable. If it fails later, or the body can't be read, the error is
// ErrUnknownOutcome. A status other than 200 decides the error even if its body
// was only read in part.
func (h *HTTP) call(ctx context.Context, method, target string, args, reply any) (err error) {
	defer errors.DeferredAnnotatef(&err, "platform %s %s", method, target)
	ctx, cancel := context.WithTimeout(ctx, h.options.Timeout)
	defer cancel()
	payload := []byte{}
	if args != nil {
		if payload, err = json.Marshal(args); err != nil {
			return errors.WithType(err, ErrInvalid)
		}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, method, h.base+target, bytes.NewReader(payload))
	if err != nil {
		return errors.WithType(err, ErrInvalid)
	}
	response, err := h.http.Do(request)
	switch {
	case err != nil && !connected.Load():
		return errors.WithType(err, ErrUnavailable)
	case err != nil:
		return errors.WithType(err, ErrUnknownOutcome)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, h.options.MaxResponseBytes))
	if statusErr := statusError(response); statusErr != "" {
		return errors.WithType(fmt.Errorf("status %d: %.200q", response.StatusCode, body), statusErr)
	}
	if err == nil && reply != nil {
		err = json.Unmarshal(body, reply)
	}
	if err != nil {
		return errors.WithType(err, ErrUnknownOutcome)
	}
	return nil
}

// statusError returns the error for the status of a response, or "" for success.
// Only 503 and 4xx mean that the call had no effect.
func statusError(response *http.Response) (err errors.ConstError) {
	refusal := response.Header.Get(HeaderRefusal)
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return ""
	case status == http.StatusConflict && refusal == RefusalNoneAvailable:
		return ErrNoneAvailable
	case status == http.StatusConflict && refusal == RefusalConflict:
		return ErrConflict
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return ErrInvalid
	default:
		return ErrUnknownOutcome
	}
}
