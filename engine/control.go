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
	// HeaderRefusal of an answer with status 409 names why an order was refused.
	HeaderRefusal = "Refusal"

	maxControlBytes = 64 << 20 // an exported KV cache is the largest answer
)

var (
	_ Client        = (*HTTP)(nil)
	_ ControlClient = (*HTTP)(nil)

	// refusals maps HeaderRefusal to errors.
	refusals = map[string]error{
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

func (h *HTTP) call(ctx context.Context, method, target string, args, reply any) (err error) {
	var body io.Reader
	if args != nil {
		text, err := json.Marshal(args)
		if err != nil {
			return &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
		}
		body = bytes.NewReader(text)
	}
	ctx, attempt := upstream.TraceAttempt(ctx, len(method)+len(target))
	request, err := http.NewRequestWithContext(ctx, method, h.base+target, body)
	if err != nil {
		return &upstream.Failure{Reason: upstream.ReasonBadRequest, Detail: err.Error()}
	}
	response, err := h.http.Do(request)
	if err != nil {
		return attempt.Failure(ctx, err)
	}
	defer response.Body.Close()
	if refused := refusals[response.Header.Get(HeaderRefusal)]; refused != nil && response.StatusCode == http.StatusConflict {
		return refused
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	if err != nil {
		return attempt.Failure(ctx, err)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return badAnswer("%s: %v", target, err)
	}
	return nil
}
