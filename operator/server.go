// Package operator is the interface for the people who run the fleet: health,
// metrics, and changes of the configuration. It serves on a listener of its own.
//
// # Usage
//
//	server := operator.NewServer(operator.Options{Repository: repository, Follower: follower, Metrics: set})
//	http.Serve(listener, server.Handler())
//
//	client := operator.NewClient(network, address, credential)
//	reply, err := client.Apply(ctx, operator.ApplyRequest{File: "fleet.toml", Text: text})
//
// /healthz, /readyz and /metrics are open. All other calls need the operator's
// credential as a bearer token. Accepted means stored: a change is then brought
// to all nodes, and InForce tells where it has arrived.
package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/store"
)

const (
	maxBodyBytes   = 16 << 20 // a fleet of the target size has about 4 MB of TOML
	defaultHistory = 20
	// callTimeout bounds a call. Without it, a change whose outcome can't be read
	// back would stay unanswered for as long as the store is down.
	callTimeout = 30 * time.Second
)

type (
	// Follower tells where a revision is in force.
	Follower interface {
		RolloutStatus(ctx context.Context, revision uint64) (result distribution.RolloutStatus, err error)
	}

	// Options of a Server.
	Options struct {
		Repository *distribution.Repository
		Follower   Follower
		Metrics    *metrics.Set
		Logger     *slog.Logger
		Ready      func() bool
		// Removed returns the nodes that were taken off the live ones without
		// having left. It may be nil.
		Removed func() (names []string)
		// CredentialSHA256 is the hash of the operators' credential in
		// hexadecimal. Without one, all calls that need it are refused.
		CredentialSHA256 string
	}

	// Server serves operators.
	Server struct {
		options Options
		handler http.Handler
	}

	// problemsError reports a configuration that can't be accepted.
	problemsError struct{ problems []string }

	// conflictError reports a change that is based on an old revision.
	conflictError struct {
		current uint64
		changes []string
	}
)

func (e *problemsError) Error() string { return "the configuration has problems" }

func (e *conflictError) Error() string {
	return "the configuration has changed to revision " + strconv.FormatUint(e.current, 10) + " meanwhile"
}

// NewServer returns a Server.
func NewServer(options Options) *Server {
	s := &Server{options: options}
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	router.Get("/readyz", s.readyz)
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		options.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	router.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Get(PathConfig, handle(s.get))
		r.Post(PathConfig, handleBody(s.apply))
		r.Get(PathHistory, handle(s.history))
		r.Post(PathRollback, handleBody(s.rollback))
		r.Post(PathLabel, handleBody(s.label))
		r.Get(PathKeys, handle(s.listKeys))
		r.Post(PathKeys, handleBody(s.issueKey))
		r.Delete(PathKeys, handleBody(s.withdrawKey))
		r.Get(PathInForce, handle(s.inForce))
	})
	s.handler = router
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.handler }

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.options.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		given := []byte(hex.EncodeToString(sum[:]))
		want := []byte(strings.ToLower(s.options.CredentialSHA256))
		if !bearer || subtle.ConstantTimeCompare(given, want) != 1 {
			s.options.Logger.Warn("operator call refused", "Method", r.Method, "Path", r.URL.Path, "Remote", r.RemoteAddr)
			writeReply(w, http.StatusUnauthorized, ErrorReply{Error: "the operator's credential is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handle serves a call without a body.
func handle[T any](call func(r *http.Request) (reply T, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		reply, err := call(r.WithContext(ctx))
		answer(w, reply, err)
	}
}

// handleBody serves a call with a JSON body.
func handleBody[Q, T any](call func(ctx context.Context, request Q) (reply T, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if status, err := readBody(http.MaxBytesReader(w, r.Body, maxBodyBytes), &request); err != nil {
			writeReply(w, status, ErrorReply{Error: "the body can't be read: " + err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		reply, err := call(ctx, request)
		answer(w, reply, err)
	}
}

// readBody reads one JSON value up to the end of the body, and returns the
// status for a body that holds anything else.
func readBody(body io.Reader, request any) (status int, err error) {
	text, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, errors.Errorf("it is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return http.StatusBadRequest, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(request); err != nil {
		return http.StatusBadRequest, err
	}
	if rest := bytes.TrimSpace(text[decoder.InputOffset():]); len(rest) > 0 {
		return http.StatusBadRequest, errors.New("there is more than one JSON value")
	}
	return http.StatusOK, nil
}

func answer(w http.ResponseWriter, reply any, err error) {
	var problems *problemsError
	var conflict *conflictError
	switch {
	case err == nil:
		writeReply(w, http.StatusOK, reply)
	case errors.As(err, &problems):
		writeReply(w, http.StatusUnprocessableEntity, ErrorReply{Error: err.Error(), Problems: problems.problems})
	case errors.As(err, &conflict):
		writeReply(w, http.StatusConflict, ErrorReply{Error: err.Error(), Current: conflict.current, Changes: conflict.changes})
	case errors.Is(err, errors.NotFound), errors.Is(err, distribution.ErrNoRevision):
		writeReply(w, http.StatusNotFound, ErrorReply{Error: err.Error()})
	case errors.Is(err, errors.BadRequest):
		writeReply(w, http.StatusBadRequest, ErrorReply{Error: err.Error()})
	case errors.Is(err, store.ErrUnknownOutcome):
		writeReply(w, http.StatusGatewayTimeout, ErrorReply{
			Error: "the store's answer was lost and the change may be in force; look at the history before trying again: " + err.Error(),
		})
	default:
		writeReply(w, http.StatusServiceUnavailable, ErrorReply{Error: err.Error()})
	}
}

func writeReply(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(reply) // the operator may have left
}
