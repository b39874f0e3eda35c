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
	// surveyTimeoutFraction is the fraction of the remaining time after which a
	// call to a node of the tree times out, so that there is time left to call
	// another one in its place.
	surveyTimeoutFraction = 0.4
)

type (
	// NodeStatus is the revision that is in force on one node.
	NodeStatus struct {
		Name string `cbor:"1,keyasint,omitzero"`
		// Reachable is false if the node didn't reply in time, or if the time was
		// up before it was called.
		Reachable bool   `cbor:"2,keyasint,omitzero"`
		Revision  uint64 `cbor:"3,keyasint,omitzero"`
		// RejectedRevision is the newest revision that the node's validation
		// rejected, 0 if none.
		RejectedRevision uint64 `cbor:"4,keyasint,omitzero"`
	}

	// RolloutStatus lists the live members by whether they have a given
	// revision or a newer one (Updated), an older one (Behind), or didn't reply.
	RolloutStatus struct {
		Updated, Behind, Unreachable []string
		// Rejected lists the members of Behind whose validation rejected the
		// revision or a newer one.
		Rejected []string
	}

	// SurveyArgs are the arguments of Survey. Others are the members whose
	// status the receiver collects besides its own.
	SurveyArgs struct {
		Others  []Member      `cbor:"1,keyasint,omitzero"`
		Timeout time.Duration `cbor:"2,keyasint,omitzero"`
	}

	// SurveyReply holds the status of the receiver and of each of the others.
	SurveyReply struct {
		Statuses []NodeStatus `cbor:"1,keyasint,omitzero"`
	}
)

// RolloutStatus asks all live members for their revision and compares it with
// the given one. The calls form a tree, so that no node makes more than FanOut
// calls at a time.
func (f *Follower) RolloutStatus(ctx context.Context, revision uint64) (result RolloutStatus, err error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, surveyTimeout)
		defer cancel()
	}
	others := slices.DeleteFunc(slices.Clone(f.options.Members()), func(m Member) bool { return m.Name == f.options.Self.Name })
	statuses := append(f.survey(ctx, others), f.status())
	slices.SortFunc(statuses, func(a, b NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range statuses {
		switch {
		case !s.Reachable:
			result.Unreachable = append(result.Unreachable, s.Name)
		case s.Revision >= revision:
			result.Updated = append(result.Updated, s.Name)
		default:
			result.Behind = append(result.Behind, s.Name)
			if s.RejectedRevision >= revision {
				result.Rejected = append(result.Rejected, s.Name)
			}
		}
	}
	return result, nil
}

// Survey returns the status of this node and of the others in args.
func (r *Receiver) Survey(args *SurveyArgs, reply *SurveyReply) (err error) {
	ctx, cancel := context.WithTimeout(r.follower.ctx, args.Timeout)
	defer cancel()
	reply.Statuses = append(r.follower.survey(ctx, args.Others), r.follower.status())
	return r.follower.ctx.Err()
}

func (f *Follower) status() NodeStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.document.Load().Revision
	if f.options.Applied != nil {
		revision = f.options.Applied()
	}
	return NodeStatus{Name: f.options.Self.Name, Reachable: true, Revision: revision, RejectedRevision: f.rejectedRevision}
}

// survey divides the members into at most FanOut groups and surveys these
// concurrently.
func (f *Follower) survey(ctx context.Context, members []Member) (statuses []NodeStatus) {
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

// surveyGroup calls the first member of the group, which surveys the rest. If
// that member doesn't reply, the next one is called.
func (f *Follower) surveyGroup(ctx context.Context, group []Member) (statuses []NodeStatus) {
	for len(group) > 0 && ctx.Err() == nil {
		first := group[0]
		group = group[1:]
		deadline, _ := ctx.Deadline()
		timeout := time.Duration(float64(time.Until(deadline)) * surveyTimeoutFraction)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		var reply SurveyReply
		args := &SurveyArgs{Others: group, Timeout: timeout * 9 / 10}
		err := f.options.Peers.Call(callCtx, first.Address, Service+".Survey", args, &reply)
		cancel()
		if err == nil {
			return append(statuses, reply.Statuses...)
		}
		statuses = append(statuses, NodeStatus{Name: first.Name})
	}
	for _, m := range group {
		statuses = append(statuses, NodeStatus{Name: m.Name})
	}
	return statuses
}
