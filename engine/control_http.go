package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/guavagauge/guavagauge/upstream"
)

const (
	// HeaderRefusal is the header of a response with status 409 that says why an
	// order was refused.
	HeaderRefusal = "Refusal"

	// maxControlResponseBytes limits the memory for a response. An exported KV
	// cache is the largest one. The rest of a longer response is ignored, so that
	// it can't be decoded.
	maxControlResponseBytes = 64 << 20
)

var (
	_ Client        = (*HTTP)(nil)
	_ ControlClient = (*HTTP)(nil)

	// orderErrors maps values of HeaderRefusal to errors.
	orderErrors = map[string]error{
		"StaleEpoch": ErrStaleEpoch, "Restarted": ErrRestarted, "Changing": ErrChanging, "Overtaken": ErrOvertaken,
	}
)

// Report implements ControlClient.
func (h *HTTP) Report(ctx context.Context) (report Report, err error) {
	return report, h.call(ctx, http.MethodGet, PathReport, nil, &report)
}

// State implements ControlClient.
func (h *HTTP) State(ctx context.Context) (state State, err error) {
	return state, h.call(ctx, http.MethodGet, PathState, nil, &state)
}

// Order implements ControlClient.
func (h *HTTP) Order(ctx context.Context, order Order) (err error) {
	return h.call(ctx, http.MethodPost, PathOrder, order, nil)
}

// ExportKV implements ControlClient.
func (h *HTTP) ExportKV(ctx context.Context, model string, prefix []uint64) (kv KV, err error) {
	return kv, h.call(ctx, http.MethodPost, PathExport, ExportRequest{Model: model, Prefix: prefix}, &kv)
}

// ImportKV implements ControlClient.
func (h *HTTP) ImportKV(ctx context.Context, kv KV) (err error) {
	return h.call(ctx, http.MethodPost, PathImport, kv, nil)
}

// CacheEvents implements ControlClient.
func (h *HTTP) CacheEvents(ctx context.Context, after uint64) (events CacheEvents, err error) {
	return events, h.call(ctx, http.MethodGet, fmt.Sprintf("%s?After=%d", PathCacheEvents, after), nil, &events)
}

// call sends args as JSON and decodes the response into reply, if that isn't nil.
func (h *HTTP) call(ctx context.Context, method, target string, args, reply any) (err error) {
	var body io.Reader
	if args != nil {
		text, err := json.Marshal(args)
		if err != nil {
			return &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
		}
		body = bytes.NewReader(text)
	}
	ctx, trace := upstream.TraceAttempt(ctx, len(method)+len(target))
	request, err := http.NewRequestWithContext(ctx, method, h.baseURL+target, body)
	if err != nil {
		return &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
	}
	response, err := h.http.Do(request)
	if err != nil {
		return trace.Failure(ctx, err)
	}
	defer response.Body.Close()
	if orderErr := orderErrors[response.Header.Get(HeaderRefusal)]; orderErr != nil && response.StatusCode == http.StatusConflict {
		return orderErr
	}
	if response.StatusCode != http.StatusOK {
		return statusFailure(response)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes))
	if err != nil {
		return trace.Failure(ctx, err)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return badResponse("can't decode the response to %s: %v", target, err)
	}
	return nil
}
