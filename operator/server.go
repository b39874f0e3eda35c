// Package operator implements the HTTP API for operators: health checks, metrics
// and changes of the fleet configuration. Package node serves it on a separate
// listener, and package command calls it.
//
// # Usage
//
//	server := operator.NewServer(operator.Options{
//		Repository: repository, Follower: follower, Metrics: set, Logger: logger, Ready: ready,
//	})
//	http.Serve(listener, server.Handler())
//
//	client := operator.NewClient(network, address, credential)
//	reply, err := client.Apply(ctx, operator.ApplyRequest{File: "fleet.toml", Text: text})
//
// /healthz, /readyz and /metrics need no credential. All other calls need the
// operator credential as a bearer token. A successful call has stored its change,
// which then spreads to all nodes. Client.AwaitInForce waits until they have it.
//
// # Failures
//
// The server has no state of its own: the configuration is in the store. If the
// store can't be reached, a call fails with status 503, or with 504 if the store's
// response was lost, in which case a change may be in force. The health and
// readiness checks, the metrics and the rollout status don't need the store. A
// call based on an old revision fails with 409, and a faulty configuration with
// 422. Other invalid requests fail with 400, 401, 404 or 413, and all other errors
// give 503. Nodes that don't respond are listed in the rollout status and don't
// fail a call.
//
// If the node fails during a call, the client's method returns the error of the
// connection, and a change may be in force. Only AwaitInForce repeats calls.
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
	defaultHistory = 20       // revisions listed if the call has no limit
	// callTimeout bounds a call. Without it, a change whose outcome can't be read
	// back from the store would get no reply for as long as the store is down.
	callTimeout = 30 * time.Second
)

type (
	// Follower reports which nodes have a revision.
	Follower interface {
		RolloutStatus(ctx context.Context, revision uint64) (result distribution.RolloutStatus, err error)
	}

	// Options configures a Server. All fields but Removed and CredentialSHA256
	// are required.
	Options struct {
		Repository *distribution.Repository
		Follower   Follower
		Metrics    *metrics.Set
		Logger     *slog.Logger
		Ready      func() bool
		// Removed returns the names of the nodes that were removed from the live
		// members because they failed or are cut off. It may be nil.
		Removed func() (names []string)
		// CredentialSHA256 is the SHA-256 hash of the operator credential in
		// hexadecimal. If it is empty, all calls that need the credential are
		// refused.
		CredentialSHA256 string
	}

	// Server serves the operator API. It is safe for concurrent use.
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
	return "the configuration has changed since the base revision; revision " + strconv.FormatUint(e.current, 10) + " is the newest"
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

// Handler returns the HTTP handler of the API.
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
			writeReply(w, http.StatusUnauthorized, ErrorReply{Error: "the operator credential is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handle returns the handler of a call without a body.
func handle[T any](call func(r *http.Request) (reply T, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		reply, err := call(r.WithContext(ctx))
		writeResult(w, reply, err)
	}
}

// handleBody returns the handler of a call with a JSON body.
func handleBody[Q, T any](call func(ctx context.Context, request Q) (reply T, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if status, err := readBody(http.MaxBytesReader(w, r.Body, maxBodyBytes), &request); err != nil {
			writeReply(w, status, ErrorReply{Error: "invalid request body: " + err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		reply, err := call(ctx, request)
		writeResult(w, reply, err)
	}
}

// readBody decodes a body that consists of one JSON value. On an error, it also
// returns the HTTP status to respond with.
func readBody(body io.Reader, request any) (status int, err error) {
	text, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, errors.Errorf("larger than %d bytes", tooLarge.Limit)
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
		return http.StatusBadRequest, errors.New("more than one JSON value")
	}
	return http.StatusOK, nil
}

// writeResult responds with reply, or with an ErrorReply and a status for err.
func writeResult(w http.ResponseWriter, reply any, err error) {
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
			Error: "the store's response was lost, so the change may be in force; check the history before trying again: " + err.Error(),
		})
	default:
		writeReply(w, http.StatusServiceUnavailable, ErrorReply{Error: err.Error()})
	}
}

func writeReply(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(reply) // fails if the operator has disconnected
}
