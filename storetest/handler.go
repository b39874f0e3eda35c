package storetest

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/store"
)

// maxRequestBytes allows for a value of maximum size in base64.
const maxRequestBytes = 2 * store.MaxValueBytes

// Handler returns a handler for the calls of store.HTTP. Faults and call counters
// refer to the client name in the request. A write with an unknown outcome closes
// the connection without a response.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.Error(w, "use POST", http.StatusMethodNotAllowed)
			return
		}
		var request store.WireRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		kind := Kind(r.URL.Path[min(len(store.PathPrefix), len(r.URL.Path)):])
		reply, err := s.serveCall(r, kind, request)
		switch {
		case errors.Is(err, store.ErrUnknownOutcome), r.Context().Err() != nil:
			panic(http.ErrAbortHandler)
		case errors.Is(err, errors.NotFound):
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		case err != nil:
			reply.Error = store.ErrorName(err)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(statusCode(err))
		json.NewEncoder(w).Encode(reply)
	})
}

func (s *Server) serveCall(r *http.Request, kind Kind, request store.WireRequest) (reply store.WireReply, err error) {
	ctx, client := r.Context(), s.Client(r.Header.Get(store.ClientHeader))
	switch kind {
	case Get:
		var entry store.Entry
		entry, err = client.Get(ctx, request.Key)
		reply.Entries = []store.Entry{entry}
	case List:
		reply.Entries, err = client.List(ctx, request.Prefix)
	case Put:
		reply.Version, err = client.Put(ctx, store.PutRequest{
			Key: request.Key, Value: request.Value, IfVersion: request.IfVersion, Lease: request.Lease,
		})
	case Delete:
		err = client.Delete(ctx, request.Key, request.IfVersion)
	case Grant:
		reply.Lease, err = client.Grant(ctx, request.TTL)
	case KeepAlive:
		reply.TTL, err = client.KeepAlive(ctx, request.Lease)
	case Revoke:
		err = client.Revoke(ctx, request.Lease)
	case Watch:
		reply.Events, reply.Revision, err = client.Watch(ctx, store.WatchRequest{Prefix: request.Prefix, After: request.After})
	default:
		err = errors.NotFoundf("call %q", kind)
	}
	return reply, err
}

func statusCode(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, store.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, store.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, store.ErrLeaseExpired), errors.Is(err, store.ErrCompacted):
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}
