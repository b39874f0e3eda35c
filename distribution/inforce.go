package distribution

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	surveyTimeout = 5 * time.Second // when the caller's context has no deadline
	// surveyShare of the remaining time is given to one node and all below it,
	// so that another one can be asked when it doesn't answer.
	surveyShare = 0.4
)

type (
	// Status is one node's position.
	Status struct {
		Name string `cbor:"1,keyasint,omitzero"`
		// Reachable is false when the node didn't answer in time.
		Reachable bool   `cbor:"2,keyasint,omitzero"`
		Revision  uint64 `cbor:"3,keyasint,omitzero"`
		// Rejected is the newest revision that the node refused, 0 if none.
		Rejected uint64 `cbor:"4,keyasint,omitzero"`
	}

	// RolloutStatus tells which live members have a revision or a newer one.
	RolloutStatus struct {
		Updated, Behind, Unreachable []string
		// Rejected members refused the revision or a newer one. They are among
		// Behind.
		Rejected []string
	}

	// SurveyArgs ask a node for its own position and for that of others.
	SurveyArgs struct {
		Others  []Member      `cbor:"1,keyasint,omitzero"`
		Timeout time.Duration `cbor:"2,keyasint,omitzero"`
	}

	// SurveyReply holds one status for each node asked for.
	SurveyReply struct {
		Statuses []Status `cbor:"1,keyasint,omitzero"`
	}
)

// RolloutStatus asks all live members which revision they have. The question
// travels down a tree, so that no node makes more than FanOut calls at a time.
func (f *Follower) RolloutStatus(ctx context.Context, revision uint64) (result RolloutStatus, err error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, surveyTimeout)
		defer cancel()
	}
	others := slices.DeleteFunc(slices.Clone(f.options.Members()), func(m Member) bool { return m.Name == f.options.Self.Name })
	statuses := append(f.survey(ctx, others), f.status())
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range statuses {
		switch {
		case !s.Reachable:
			result.Unreachable = append(result.Unreachable, s.Name)
		case s.Revision >= revision:
			result.Updated = append(result.Updated, s.Name)
		default:
			result.Behind = append(result.Behind, s.Name)
			if s.Rejected >= revision {
				result.Rejected = append(result.Rejected, s.Name)
			}
		}
	}
	return result, nil
}

// Survey answers with the positions of this node and the given others.
func (r *Receiver) Survey(args *SurveyArgs, reply *SurveyReply) (err error) {
	ctx, cancel := context.WithTimeout(r.follower.ctx, args.Timeout)
	defer cancel()
	reply.Statuses = append(r.follower.survey(ctx, args.Others), r.follower.status())
	return r.follower.ctx.Err()
}

func (f *Follower) status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Name: f.options.Self.Name, Reachable: true, Revision: f.document.Load().Revision, Rejected: f.rejected}
}

// survey splits the members among FanOut of them.
func (f *Follower) survey(ctx context.Context, members []Member) (statuses []Status) {
	var (
		mu   sync.Mutex
		wait sync.WaitGroup
	)
	size := (len(members) + f.options.FanOut - 1) / f.options.FanOut
	for group := range slices.Chunk(members, max(1, size)) {
		wait.Go(func() {
			result := f.surveyGroup(ctx, group)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, result...)
		})
	}
	wait.Wait()
	return statuses
}

// surveyGroup asks the first member that answers about the rest.
func (f *Follower) surveyGroup(ctx context.Context, group []Member) (statuses []Status) {
	for len(group) > 0 && ctx.Err() == nil {
		first := group[0]
		group = group[1:]
		deadline, _ := ctx.Deadline()
		timeout := time.Duration(float64(time.Until(deadline)) * surveyShare)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		var reply SurveyReply
		args := &SurveyArgs{Others: group, Timeout: timeout * 9 / 10}
		err := f.options.Peers.Call(callCtx, first.Address, Service+".Survey", args, &reply)
		cancel()
		if err == nil {
			return append(statuses, reply.Statuses...)
		}
		statuses = append(statuses, Status{Name: first.Name})
	}
	for _, m := range group {
		statuses = append(statuses, Status{Name: m.Name})
	}
	return statuses
}
