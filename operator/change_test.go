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

// refusal returns how a call was refused, and fails the test if the status is
// another one.
func refusal(t *testing.T, err error, status int) (reply operator.ErrorReply) {
	t.Helper()
	var failure *operator.CallError
	if !errors.As(err, &failure) || failure.Status != status {
		t.Errorf("got %v, want status %d", err, status)
		return reply
	}
	return failure.Reply
}

// Guards against an operator's change that overwrites one made meanwhile, and
// against a conflict that doesn't say what has changed.
func TestApplyOnOldBase(t *testing.T) {
	inFixture(t, func(f *fixture) {
		base, _ := f.config()
		first := strings.Replace(firstText, `Name = "beta"`, "Name = \"beta\"\nWeight = 7", 1)
		f.apply(operator.ApplyRequest{Text: first, Base: base, Author: "amani"})
		second := firstText + "[[Workspace]]\nOwner = \"o\"\nName = \"gamma\"\n"
		for _, dryRun := range []bool{true, false} {
			_, err := f.clients[1].Apply(f.ctx, operator.ApplyRequest{Text: second, Base: base, DryRun: dryRun})
			reply := refusal(t, err, http.StatusConflict)
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

// Guards against a base that no revision has yet being reported as changed
// meanwhile.
func TestApplyOnFutureBase(t *testing.T) {
	inFixture(t, func(f *fixture) {
		_, err := f.clients[0].Apply(f.ctx, operator.ApplyRequest{Text: firstText, Base: 99})
		if reply := refusal(t, err, http.StatusBadRequest); !strings.Contains(reply.Error, "99") || !strings.Contains(reply.Error, "1") {
			t.Errorf("reply %+v, want both revisions", reply)
		}
	})
}

// Guards against small changes made at the same time through different nodes
// of which one is lost.
func TestRacingLabels(t *testing.T) {
	inFixture(t, func(f *fixture) {
		f.store.SetDelay(10 * time.Millisecond) // each change reads before the others write
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

// Guards against a dry run that writes, or that shows another difference than
// the change itself.
func TestDryRun(t *testing.T) {
	inFixture(t, func(f *fixture) {
		request := operator.ApplyRequest{Text: firstText + "[[Workspace]]\nOwner = \"o\"\nName = \"gamma\"\n", DryRun: true}
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

// Guards against a faulty configuration that is accepted, and against problems
// that an operator only sees after correcting others.
func TestFaultyConfiguration(t *testing.T) {
	inFixture(t, func(f *fixture) {
		text := firstText + "[[Workspace]]\nOwner = \"p\"\nName = \"gamma\"\n[[Model]]\nOwner = \"o\"\nName = \"a b\"\nColour = 1\n"
		for _, dryRun := range []bool{true, false} {
			_, err := f.clients[0].Apply(f.ctx, operator.ApplyRequest{File: "my.toml", Text: text, DryRun: dryRun})
			problems := strings.Join(refusal(t, err, http.StatusUnprocessableEntity).Problems, "\n")
			for _, want := range []string{"my.toml:11", `"p"`, `"a b"`, "Colour"} {
				if !strings.Contains(problems, want) {
					t.Errorf("dry run %t: problems don't name %s:\n%s", dryRun, want, problems)
				}
			}
		}
		if revision, _ := f.config(); revision != 1 {
			t.Errorf("revision %d, want 1", revision)
		}
	})
}

// Guards against a change that took effect and is reported as failed, or made
// twice, because the store's answer was lost.
func TestLostAnswers(t *testing.T) {
	calls := map[string]func(f *fixture) (revision uint64, err error){
		"apply": func(f *fixture) (revision uint64, err error) {
			reply, err := f.clients[0].Apply(f.ctx, operator.ApplyRequest{Text: firstText + "[[Owner]]\nName = \"p\"\n", Base: 1})
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
			t.Run(fmt.Sprint(name, " with ", lost, " lost"), func(t *testing.T) {
				inFixture(t, func(f *fixture) {
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

// Guards against a rollback or a file without keys that brings a withdrawn key
// back or drops one in use.
func TestKeysStay(t *testing.T) {
	inFixture(t, func(f *fixture) {
		f.issue("withdrawn")
		old, _ := f.config()
		f.withdraw("withdrawn")
		f.issue("used")
		reply, err := f.clients[0].Rollback(f.ctx, operator.RollbackRequest{To: old, Author: "amani"})
		f.check(err)
		if keys := f.keys(); !slices.Equal(keys, []string{"used"}) || len(reply.Changes) > 0 {
			t.Errorf("keys %v with changes %v after the rollback, want only: used", keys, reply.Changes)
		}
		f.apply(operator.ApplyRequest{Text: firstText + "[[Owner]]\nName = \"p\"\n"})
		if keys := f.keys(); !slices.Equal(keys, []string{"used"}) {
			t.Errorf("keys %v after a file without keys, want: used", keys)
		}
		_, err = f.clients[0].Rollback(f.ctx, operator.RollbackRequest{To: 1, Author: "amani"})
		f.check(err)
		if _, config := f.config(); len(config.Owners) != 1 || !slices.Equal(f.keys(), []string{"used"}) {
			t.Errorf("owners %v and keys %v after the rollback, want o and used", config.Owners, f.keys())
		}
		_, err = f.clients[0].Rollback(f.ctx, operator.RollbackRequest{To: 99})
		refusal(t, err, http.StatusNotFound)
	})
}

// Guards against a key that replaces another of its name, a withdrawal that
// reports success for a name that no key has, and keys for nobody.
func TestKeyNames(t *testing.T) {
	inFixture(t, func(f *fixture) {
		f.issue("used")
		_, err := f.clients[1].IssueKey(f.ctx, operator.KeyRequest{Owner: "o", Name: "used", Workspace: "beta"})
		refusal(t, err, http.StatusBadRequest)
		_, err = f.clients[0].IssueKey(f.ctx, operator.KeyRequest{Owner: "o", Name: "other", Workspace: "gamma"})
		refusal(t, err, http.StatusUnprocessableEntity)
		_, err = f.clients[0].WithdrawKey(f.ctx, operator.KeyRequest{Owner: "o", Name: "unknown"})
		refusal(t, err, http.StatusNotFound)
		if revision, _ := f.config(); revision != 2 || !slices.Equal(f.keys(), []string{"used"}) {
			t.Errorf("revision %d with keys %v, want 2 with: used", revision, f.keys())
		}
	})
}

// Guards against a change that is reported in force while a node is behind.
func TestInForceNamesNodesBehind(t *testing.T) {
	inFixture(t, func(f *fixture) {
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
				t.Errorf("node %d while one is cut off: %+v, %v; want %+v and an error", i, reply, err, want)
			}
		}
		f.network.Heal("10.0.0.1", "10.0.0.2")
		f.network.Heal("10.0.0.2", "10.0.0.1")
		f.store.Heal("node-10.0.0.2")
		ctx, cancel = context.WithTimeout(f.ctx, time.Minute)
		defer cancel()
		if reply, err = f.clients[0].AwaitInForce(ctx, 2); err != nil {
			t.Errorf("after the cut: %+v, %v", reply, err)
		}
	})
}

// Guards against a withdrawn key that comes back with a file from before its
// withdrawal, and against a file of its own printing that drops the keys.
func TestOldFileBringsNoKeyBack(t *testing.T) {
	inFixture(t, func(f *fixture) {
		f.issue("old")
		withKeys, err := f.clients[0].Config(f.ctx, true)
		f.check(err)
		f.withdraw("old")
		before := f.keys()
		f.apply(operator.ApplyRequest{File: "old.toml", Text: withKeys.Text})
		if after := f.keys(); !slices.Equal(after, before) {
			t.Errorf("keys after an old file: %v, want %v", after, before)
		}
		printed, err := f.clients[0].Config(f.ctx, false)
		f.check(err)
		if strings.Contains(printed.Text, "SHA256") {
			t.Error("the configuration is printed with the hashes of keys")
		}
		f.apply(operator.ApplyRequest{File: "printed.toml", Text: printed.Text})
		if after := f.keys(); !slices.Equal(after, before) {
			t.Errorf("keys after a file without keys: %v, want %v", after, before)
		}
		f.apply(operator.ApplyRequest{File: "old.toml", Text: withKeys.Text, Keys: true})
		if after := f.keys(); !slices.Contains(after, "old") {
			t.Errorf("keys after a file whose keys were asked for: %v, want old among them", after)
		}
	})
}
