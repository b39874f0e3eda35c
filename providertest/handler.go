package providertest

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/provider"
)

const maxBodyBytes = 1 << 20

// Handler serves the platform over HTTP. A lost answer closes the connection.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(provider.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.VMs(r.Context())
		answer(w, vms, err)
	})
	router.Get(provider.PathUpstreams, func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.Upstreams(r.Context(), r.URL.Query().Get("FailureDomain"))
		answer(w, vms, err)
	})
	router.Get(provider.PathNotices, func(w http.ResponseWriter, r *http.Request) {
		leaving, err := s.Notices(r.Context(), r.URL.Query().Get("FailureDomain"))
		answer(w, leaving, err)
	})
	router.Post(provider.PathStart, func(w http.ResponseWriter, r *http.Request) {
		var order provider.StartOrder
		if read(w, r, &order) {
			started, err := s.Start(r.Context(), order)
			answer(w, started, err)
		}
	})
	router.Post(provider.PathStop, func(w http.ResponseWriter, r *http.Request) {
		var order provider.StopOrder
		if read(w, r, &order) {
			answer(w, struct{}{}, s.Stop(r.Context(), order))
		}
	})
	router.Post(provider.PathWeights, func(w http.ResponseWriter, r *http.Request) {
		var request provider.WeightsRequest
		if read(w, r, &request) {
			wait, err := s.ReserveWeights(r.Context(), request)
			answer(w, provider.WeightsReply{Wait: wait}, err)
		}
	})
	router.Post(provider.PathUsage, func(w http.ResponseWriter, r *http.Request) {
		var report provider.UsageReport
		if read(w, r, &report) {
			answer(w, struct{}{}, s.ReportUsage(r.Context(), report))
		}
	})
	return router
}

func read(w http.ResponseWriter, r *http.Request, value any) (ok bool) {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, value any, err error) {
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
