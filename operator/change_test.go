package operator_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/operator"
	"github.com/guavagauge/guavagauge/storetest"
)

// refusalReply returns the reply of a refused call. It fails the test unless err
// is a CallError with the given status.
func refusalReply(t *testing.T, err error, status int) (reply operator.ErrorReply) {
	t.Helper()
	var failure *operator.CallError
	if !errors.As(err, &failure) || failure.Status != status {
		t.Errorf("got %v, want status %d", err, status)
		return reply
	}
	return failure.Reply
}

// Guards against an apply that overwrites a concurrent change, and against a
// conflict error that doesn't list what has changed since the base revision.
func TestApplyOnOldBaseIsConflict(t *testing.T) {
	withFixture(t, func(f *fixture) {
		base, _ := f.config()
		first := strings.Replace(firstConfig, `Name = "beta"`, "Name = \"beta\"\nWeight = 7", 1)
		f.apply(operator.ApplyRequest{Text: first, Base: base, Author: "amani"})
		second := firstConfig + "[[Workspace]]\nOwner = \"o\"\nName = \"gamma\"\n"
		for _, dryRun := range []bool{true, false} {
			_, err := f.clients[1].Apply(f.ctx, operator.ApplyRequest{Text: second, Base: base, DryRun: dryRun})
			reply := refusalReply(t, err, http.StatusConflict)
			if reply.Current != base+1 || len(reply.Changes) != 1 || !strings.Contains(reply.Changes[0], "beta") || !strings.Contains(reply.Changes[0], "7") {
				t.Errorf("conflict with dry run %t: %+v, want revision %d and the change of beta", dryRun, reply, base+1)
			}
		}
		revision, config := f.config()
		if revision != base+1 || len(config.Workspaces) != 2 || config.Workspaces[1].Weight != 7 {
			t.Errorf("revision %d holds %+v, want the first operator's change", revision, config.Workspaces)
		}
	})
}

// Guards against reporting a conflict for a base revision that doesn't exist
// yet.
func TestApplyOnFutureBaseIsBadRequest(t *testing.T) {
	withFixture(t, func(f *fixture) {
		_, err := f.clients[0].Apply(f.ctx, operator.ApplyRequest{Text: firstConfig, Base: 99})
		if reply := refusalReply(t, err, http.StatusBadRequest); !strings.Contains(reply.Error, "99") || !strings.Contains(reply.Error, "1") {
			t.Errorf("reply %+v, want both revisions", reply)
		}
	})
}

// Guards against losing one of several labels that are set at the same time
// through different nodes.
func TestConcurrentLabelsAreAllStored(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.store.SetDelay(10 * time.Millisecond) // each change is read before the others are written
		const changes = 4
		var wait sync.WaitGroup
		for i := range changes {
			wait.Go(func() {
				_, err := f.clients[i%2].Label(f.ctx, operator.LabelRequest{
					Kind: "workspace", Owner: "o", Name: "alpha", Key: fmt.Sprint("k", i), Value: "v", Author: "amani",
				})
				if err != nil {
					t.Errorf("label %d: %v", i, err)
				}
			})
		}
		wait.Wait()
		revision, config := f.config()
		if labels := config.Workspaces[0].Labels; len(labels) != changes || revision != 1+changes {
			t.Errorf("revision %d has labels %v, want %d labels in revision %d", revision, labels, changes, 1+changes)
		}
	})
}

// Guards against a dry run that writes to the store, or that lists other changes
// than the apply itself.
func TestDryRunWritesNothing(t *testing.T) {
	withFixture(t, func(f *fixture) {
		request := operator.ApplyRequest{Text: firstConfig + "[[Workspace]]\nOwner = \"o\"\nName = \"gamma\"\n", DryRun: true}
		puts, written := f.store.Calls(storetest.Put), f.store.Revision()
		dry, err := f.clients[0].Apply(f.ctx, request)
		f.check(err)
		if f.store.Calls(storetest.Put) != puts || f.store.Revision() != written {
			t.Error("the dry run wrote to the store")
		}
		request.DryRun = false
		made, err := f.clients[0].Apply(f.ctx, request)
		f.check(err)
		if dry.Revision != 1 || made.Revision != 2 || len(dry.Changes) != 1 || !slices.Equal(dry.Changes, made.Changes) {
			t.Errorf("dry run %+v, change %+v", dry, made)
		}
	})
}

// Guards against accepting a faulty configuration, and against reporting some of
// its problems only after others were corrected.
func TestFaultyConfigurationIsRefusedWithAllProblems(t *testing.T) {
	withFixture(t, func(f *fixture) {
		text := firstConfig + "[[Workspace]]\nOwner = \"p\"\nName = \"gamma\"\n[[Model]]\nOwner = \"o\"\nName = \"a b\"\nColour = 1\n"
		for _, dryRun := range []bool{true, false} {
			_, err := f.clients[0].Apply(f.ctx, operator.ApplyRequest{File: "my.toml", Text: text, DryRun: dryRun})
			problems := strings.Join(refusalReply(t, err, http.StatusUnprocessableEntity).Problems, "\n")
			for _, want := range []string{"my.toml:11", `"p"`, `"a b"`, "Colour"} {
				if !strings.Contains(problems, want) {
					t.Errorf("dry run %t: problems don't contain %s:\n%s", dryRun, want, problems)
				}
			}
		}
		if revision, _ := f.config(); revision != 1 {
			t.Errorf("revision %d, want 1", revision)
		}
	})
}

// Guards against a change that took effect but is reported as failed or applied
// twice because the store's response was lost. Each call changes one object, which
// takes three writes: the chunk, the record and the head.
func TestLostStoreResponses(t *testing.T) {
	calls := map[string]func(f *fixture) (revision uint64, err error){
		"apply": func(f *fixture) (revision uint64, err error) {
			reply, err := f.clients[0].Apply(f.ctx, operator.ApplyRequest{Text: firstConfig + "[[Owner]]\nName = \"p\"\n", Base: 1})
			return reply.Revision, err
		},
		"label": func(f *fixture) (revision uint64, err error) {
			reply, err := f.clients[0].Label(f.ctx, operator.LabelRequest{Kind: "Workspace", Owner: "o", Name: "beta", Key: "k", Value: "v"})
			return reply.Revision, err
		},
		"issue": func(f *fixture) (revision uint64, err error) {
			reply, err := f.clients[0].IssueKey(f.ctx, operator.KeyRequest{Owner: "o", Name: "k", Workspace: "alpha"})
			return reply.Revision, err
		},
	}
	for name, call := range calls {
		for _, lost := range []int{1, 3, 6} {
			t.Run(fmt.Sprint(name, " with ", lost, " responses lost"), func(t *testing.T) {
				withFixture(t, func(f *fixture) {
					f.store.DropResponses(storetest.Put, lost)
					revision, err := call(f)
					if stored, _ := f.config(); err != nil || revision != 2 || stored != 2 {
						t.Errorf("reply: revision %d, %v; stored: revision %d; want 2", revision, err, stored)
					}
				})
			})
		}
	}
}

// Guards against a rollback, or an applied file without keys, that restores a
// withdrawn key or deletes a key in use.
func TestRollbackAndApplyKeepCurrentKeys(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.issue("withdrawn")
		old, _ := f.config()
		f.withdraw("withdrawn")
		f.issue("used")
		reply, err := f.clients[0].Rollback(f.ctx, operator.RollbackRequest{To: old, Author: "amani"})
		f.check(err)
		if keys := f.keys(); !slices.Equal(keys, []string{"used"}) || len(reply.Changes) > 0 {
			t.Errorf("keys %v with changes %v after the rollback, want only key \"used\"", keys, reply.Changes)
		}
		f.apply(operator.ApplyRequest{Text: firstConfig + "[[Owner]]\nName = \"p\"\n"})
		if keys := f.keys(); !slices.Equal(keys, []string{"used"}) {
			t.Errorf("keys %v after applying a file without keys, want only key \"used\"", keys)
		}
		_, err = f.clients[0].Rollback(f.ctx, operator.RollbackRequest{To: 1, Author: "amani"})
		f.check(err)
		if _, config := f.config(); len(config.Owners) != 1 || !slices.Equal(f.keys(), []string{"used"}) {
			t.Errorf("owners %v and keys %v after the rollback, want owner o and key \"used\"", config.Owners, f.keys())
		}
		_, err = f.clients[0].Rollback(f.ctx, operator.RollbackRequest{To: 99})
		refusalReply(t, err, http.StatusNotFound)
	})
}

// Guards against a key that replaces another one of the same name, a key for an
// unknown workspace, and a withdrawal of an unknown key that reports success.
func TestKeyNamesAreUniqueAndKnown(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.issue("used")
		_, err := f.clients[1].IssueKey(f.ctx, operator.KeyRequest{Owner: "o", Name: "used", Workspace: "beta"})
		refusalReply(t, err, http.StatusBadRequest)
		_, err = f.clients[0].IssueKey(f.ctx, operator.KeyRequest{Owner: "o", Name: "other", Workspace: "gamma"})
		refusalReply(t, err, http.StatusUnprocessableEntity)
		_, err = f.clients[0].WithdrawKey(f.ctx, operator.KeyRequest{Owner: "o", Name: "unknown"})
		refusalReply(t, err, http.StatusNotFound)
		if revision, _ := f.config(); revision != 2 || !slices.Equal(f.keys(), []string{"used"}) {
			t.Errorf("revision %d with keys %v, want revision 2 with only key \"used\"", revision, f.keys())
		}
	})
}

// Guards against reporting a change as in force while a node doesn't have it.
func TestAwaitInForceListsNodesBehind(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
		defer cancel()
		reply, err := f.clients[0].AwaitInForce(ctx, 1)
		f.check(err)
		if !slices.Equal(reply.Have, []string{"10.0.0.1", "10.0.0.2"}) {
			t.Errorf("revision 1: %+v, want it on both nodes", reply)
		}
		f.network.Cut("10.0.0.1", "10.0.0.2")
		f.network.Cut("10.0.0.2", "10.0.0.1")
		f.store.Partition("node-10.0.0.2", storetest.Both)
		f.issue("new")
		for i, want := range []operator.InForceReply{
			{Have: []string{"10.0.0.1"}, Unreached: []string{"10.0.0.2"}},
			{Behind: []string{"10.0.0.2"}, Unreached: []string{"10.0.0.1"}},
		} {
			ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
			defer cancel()
			reply, err := f.clients[i].AwaitInForce(ctx, 2)
			if err == nil || fmt.Sprint(reply) != fmt.Sprint(want) {
				t.Errorf("node %d while one node is cut off: %+v, %v; want %+v and an error", i, reply, err, want)
			}
		}
		f.network.Heal("10.0.0.1", "10.0.0.2")
		f.network.Heal("10.0.0.2", "10.0.0.1")
		f.store.Heal("node-10.0.0.2")
		ctx, cancel = context.WithTimeout(f.ctx, time.Minute)
		defer cancel()
		if reply, err = f.clients[0].AwaitInForce(ctx, 2); err != nil {
			t.Errorf("after the partition has healed: %+v, %v", reply, err)
		}
	})
}

// Guards against restoring a withdrawn key by applying a file printed before the
// withdrawal, and against deleting all keys by applying a file printed without
// them.
func TestApplyingOldFileRestoresNoWithdrawnKey(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.issue("old")
		withKeys, err := f.clients[0].Config(f.ctx, true)
		f.check(err)
		f.withdraw("old")
		before := f.keys()
		f.apply(operator.ApplyRequest{File: "old.toml", Text: withKeys.Text})
		if after := f.keys(); !slices.Equal(after, before) {
			t.Errorf("keys after applying an old file: %v, want %v", after, before)
		}
		printed, err := f.clients[0].Config(f.ctx, false)
		f.check(err)
		if strings.Contains(printed.Text, "SHA256") {
			t.Error("the configuration without keys contains a hash of a key")
		}
		f.apply(operator.ApplyRequest{File: "printed.toml", Text: printed.Text})
		if after := f.keys(); !slices.Equal(after, before) {
			t.Errorf("keys after applying a file without keys: %v, want %v", after, before)
		}
		f.apply(operator.ApplyRequest{File: "old.toml", Text: withKeys.Text, Keys: true})
		if after := f.keys(); !slices.Contains(after, "old") {
			t.Errorf("keys after applying a file with Keys set: %v, want key \"old\" among them", after)
		}
	})
}
