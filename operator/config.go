package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/fleet"
)

const (
	// maxEditAttempts bounds the attempts of an edit that conflicts with
	// concurrent changes; after the last one, the call fails with status 503.
	// callTimeout bounds them too.
	maxEditAttempts = 10
	// rolloutStatusTimeout bounds a query of which nodes have a revision. Nodes
	// query each other in a tree, and each one that doesn't respond uses up a
	// fraction of the time left. Client.AwaitInForce repeats the query.
	rolloutStatusTimeout = 5 * time.Second
)

func (s *Server) get(r *http.Request) (reply ConfigReply, err error) {
	document, config, err := s.latest(r.Context())
	if err != nil {
		return reply, err
	}
	if r.URL.Query().Get("keys") == "" {
		config.Keys = nil
	}
	return ConfigReply{Revision: document.Revision, Text: string(fleet.Format(config))}, nil
}

// apply replaces the configuration. Keys are issued and withdrawn by separate
// calls, and an old file would restore withdrawn ones. So the keys of the file
// are applied only on request or to a store that has no configuration yet. Keys of
// workspaces that the file doesn't have are deleted. If nothing differs, no
// revision is stored, and the reply has the current one.
func (s *Server) apply(ctx context.Context, request ApplyRequest) (reply ApplyReply, err error) {
	config, problems := fleet.Parse(request.File, []byte(request.Text))
	if len(problems) > 0 {
		return reply, &problemsError{toStrings(problems)}
	}
	document, current, err := s.latest(ctx)
	if err != nil {
		return reply, err
	}
	if request.Base > document.Revision {
		return reply, errors.WithType(errors.Errorf("base revision %d is newer than the newest revision, %d",
			request.Base, document.Revision), errors.BadRequest)
	}
	if request.Base != 0 && request.Base != document.Revision {
		return reply, s.conflict(ctx, request.Base, document.Revision)
	}
	if !request.Keys && document.Revision > 0 {
		config.Keys = keysOfWorkspaces(current.Keys, config.Workspaces)
	}
	changes := toStrings(fleet.Diff(current, config))
	if request.DryRun {
		return ApplyReply{Revision: document.Revision, Changes: changes}, nil
	}
	revision, err := s.commit(ctx, document.Revision, config, request.Author, request.Comment)
	return ApplyReply{Revision: revision, Changes: changes}, err
}

// rollback stores the objects of an older revision with the current keys of their
// workspaces. edit checks the result like any other change.
func (s *Server) rollback(ctx context.Context, request RollbackRequest) (reply ApplyReply, err error) {
	old, err := s.options.Repository.Read(ctx, request.To)
	if err != nil {
		return reply, err
	}
	config, err := fleet.FromEntries(old.Entries)
	if err != nil {
		return reply, err
	}
	comment := "rollback to revision " + strconv.FormatUint(request.To, 10)
	return s.edit(ctx, request.Author, comment, func(current *fleet.Config) (next *fleet.Config, err error) {
		restored := *config
		restored.Keys = keysOfWorkspaces(current.Keys, restored.Workspaces)
		return &restored, nil
	})
}

func (s *Server) label(ctx context.Context, request LabelRequest) (reply ApplyReply, err error) {
	comment := "label " + request.Kind + " " + request.Owner + "/" + request.Name + " " + request.Key + "=" + request.Value
	return s.edit(ctx, request.Author, comment, func(config *fleet.Config) (next *fleet.Config, err error) {
		kind := parseKind(request.Kind)
		if err = fleet.SetLabel(config, kind, request.Owner, request.Name, request.Key, request.Value); err != nil {
			return nil, errors.WithType(err, errors.BadRequest)
		}
		return config, nil
	})
}

// history lists as many revisions as the call asks for. Only callTimeout and the
// records that the store still has bound the number.
func (s *Server) history(r *http.Request) (reply HistoryReply, err error) {
	limit, err := queryNumber(r, "limit", defaultHistory)
	if err != nil {
		return reply, err
	}
	document, err := s.options.Repository.Latest(r.Context())
	if err != nil {
		return reply, err
	}
	records, err := s.options.Repository.History(r.Context(), document.Revision, int(limit))
	for _, record := range records {
		reply.Revisions = append(reply.Revisions, HistoryEntry{
			Revision: record.Revision, Time: record.Time, Author: record.Author, Comment: record.Comment,
			Changed: record.Changed, Deleted: record.Deleted,
		})
	}
	return reply, err
}

func (s *Server) inForce(r *http.Request) (reply InForceReply, err error) {
	revision, err := queryNumber(r, "revision", 0)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), rolloutStatusTimeout)
	defer cancel()
	result, err := s.options.Follower.RolloutStatus(ctx, revision)
	reply = InForceReply{Have: result.Updated, Behind: result.Behind, Unreached: result.Unreachable, Rejected: result.Rejected}
	if s.options.Removed != nil {
		reply.Removed = s.options.Removed()
	}
	return reply, err
}

// edit applies change to the newest configuration and stores the result. After
// a conflict it applies change again to the configuration that is newest then,
// so that the small edits of two operators don't conflict. change may modify
// current.
func (s *Server) edit(ctx context.Context, author, comment string, change func(current *fleet.Config) (next *fleet.Config, err error)) (reply ApplyReply, err error) {
	for range maxEditAttempts {
		document, current, err := s.latest(ctx)
		if err != nil {
			return reply, err
		}
		before, err := fleet.FromEntries(document.Entries)
		if err != nil {
			return reply, err
		}
		next, err := change(current)
		if err != nil {
			return reply, err
		}
		if problems := fleet.Check("configuration", next); len(problems) > 0 {
			return reply, &problemsError{toStrings(problems)}
		}
		revision, err := s.commit(ctx, document.Revision, next, author, comment)
		var conflict *conflictError
		if errors.As(err, &conflict) {
			continue
		}
		return ApplyReply{Revision: revision, Changes: toStrings(fleet.Diff(before, next))}, err
	}
	return reply, errors.Errorf("the edit conflicted with concurrent changes %d times; try again", maxEditAttempts)
}

// commit stores a configuration that was derived from revision base. It returns
// a conflictError if base is no longer the newest revision.
func (s *Server) commit(ctx context.Context, base uint64, config *fleet.Config, author, comment string) (revision uint64, err error) {
	revision, err = s.options.Repository.Apply(ctx, base, fleet.Entries(config), distribution.ChangeInfo{Author: author, Comment: comment})
	var conflict *distribution.ConflictError
	if errors.As(err, &conflict) {
		return 0, s.conflict(ctx, base, conflict.Current)
	}
	if err == nil {
		s.options.Logger.Info("configuration accepted", "Revision", revision, "Author", author, "Comment", comment)
	}
	return revision, err
}

// conflict returns a conflictError with the changes since revision base, or
// without changes if they can't be read.
func (s *Server) conflict(ctx context.Context, base, current uint64) (err error) {
	e := &conflictError{current: current}
	old, err := s.options.Repository.Read(ctx, base)
	if err != nil {
		return e // the base revision can't be read, so the changes are unknown
	}
	before, err := fleet.FromEntries(old.Entries)
	if err != nil {
		return e
	}
	if document, after, err := s.latest(ctx); err == nil {
		e.current, e.changes = document.Revision, toStrings(fleet.Diff(before, after))
	}
	return e
}

func (s *Server) latest(ctx context.Context) (document *distribution.Document, config *fleet.Config, err error) {
	document, err = s.options.Repository.Latest(ctx)
	if err != nil {
		return nil, nil, err
	}
	config, err = fleet.FromEntries(document.Entries)
	return document, config, err
}

// keysOfWorkspaces returns the keys whose workspaces are configured.
func keysOfWorkspaces(keys []fleet.Key, workspaces []fleet.Workspace) (kept []fleet.Key) {
	for _, key := range keys {
		if slices.ContainsFunc(workspaces, func(w fleet.Workspace) bool { return w.Owner == key.Owner && w.Name == key.Workspace }) {
			kept = append(kept, key)
		}
	}
	return kept
}

// parseKind returns the kind of objects that text names in any letter case, as
// on a command line. It returns an unknown kind unchanged.
func parseKind(text string) fleet.Kind {
	kinds := []fleet.Kind{
		fleet.KindOwner, fleet.KindUpstream, fleet.KindWorkspace, fleet.KindRoute, fleet.KindService, fleet.KindModel,
		fleet.KindRule, fleet.KindKey,
	}
	for _, kind := range kinds {
		if strings.EqualFold(string(kind), text) {
			return kind
		}
	}
	return fleet.Kind(text)
}

// queryNumber returns the value of a query parameter, or fallback if the request
// doesn't have it.
func queryNumber(r *http.Request, name string, fallback uint64) (value uint64, err error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err = strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errors.WithType(errors.Errorf("query parameter %s=%q: want a non-negative integer", name, text), errors.BadRequest)
	}
	return value, nil
}

func toStrings[T interface{ String() string }](items []T) (list []string) {
	for _, item := range items {
		list = append(list, item.String())
	}
	return list
}
