package providertest

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/provider"
)

const maxBodyBytes = 1 << 20

// Handler returns a handler that serves the platform over HTTP. A call with an
// unknown outcome closes the connection without a response.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(provider.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.VMs(r.Context())
		writeReply(w, vms, err)
	})
	router.Get(provider.PathUpstreams, func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.Upstreams(r.Context(), r.URL.Query().Get("FailureDomain"))
		writeReply(w, vms, err)
	})
	router.Get(provider.PathNotices, func(w http.ResponseWriter, r *http.Request) {
		leaving, err := s.Notices(r.Context(), r.URL.Query().Get("FailureDomain"))
		writeReply(w, leaving, err)
	})
	router.Post(provider.PathStart, func(w http.ResponseWriter, r *http.Request) {
		var order provider.StartOrder
		if readJSON(w, r, &order) {
			started, err := s.Start(r.Context(), order)
			writeReply(w, started, err)
		}
	})
	router.Post(provider.PathStop, func(w http.ResponseWriter, r *http.Request) {
		var order provider.StopOrder
		if readJSON(w, r, &order) {
			writeReply(w, struct{}{}, s.Stop(r.Context(), order))
		}
	})
	router.Post(provider.PathWeights, func(w http.ResponseWriter, r *http.Request) {
		var request provider.WeightsRequest
		if readJSON(w, r, &request) {
			wait, err := s.ReserveWeights(r.Context(), request)
			writeReply(w, provider.WeightsReply{Wait: wait}, err)
		}
	})
	router.Post(provider.PathUsage, func(w http.ResponseWriter, r *http.Request) {
		var report provider.UsageReport
		if readJSON(w, r, &report) {
			writeReply(w, struct{}{}, s.ReportUsage(r.Context(), report))
		}
	})
	return router
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) (ok bool) {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeReply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(value)
	case errors.Is(err, provider.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case errors.Is(err, provider.ErrNoneAvailable):
		w.Header().Set(provider.HeaderRefusal, provider.RefusalNoneAvailable)
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, provider.ErrConflict):
		w.Header().Set(provider.HeaderRefusal, provider.RefusalConflict)
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, provider.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
